#ifndef ORIOLETALLY_CORE_FLEET_ADDRESS_DOUBT_H
#define ORIOLETALLY_CORE_FLEET_ADDRESS_DOUBT_H

#include <absl/time/time.h>

namespace orioletally::core::fleet {

/// This node's doubt that a backend server still has its address, because
/// another one answered there.
///
/// Calls state whom they are meant for, so asking again is safe. It costs an
/// attempt, though, so only one trial call at a time is sent until the backend
/// server itself executes a call.
class AddressDoubt {
public:
  /// Records that another backend server answered. Returns false if the address
  /// was in doubt before.
  bool begin(absl::Time now);

  /// Records that the backend server itself executed a call.
  void end() { TrialAt = absl::InfinitePast(); }

  /// Records that a call is about to be sent; it may be the trial.
  void recordSend(absl::Time now);

  /// Whether calls may be sent.
  bool acceptsCalls(absl::Time now) const { return now >= TrialAt; }

private:
  bool isActive() const { return TrialAt != absl::InfinitePast(); }

  /// When the next trial call may be sent; infinite past without a doubt.
  absl::Time TrialAt = absl::InfinitePast();
};

} // namespace orioletally::core::fleet

#endif

#ifndef ORIOLETALLY_CORE_FLEET_WARM_UP_H
#define ORIOLETALLY_CORE_FLEET_WARM_UP_H

#include <absl/time/time.h>
#include <optional>

namespace orioletally::core::fleet {

/// What the configuration says about the cold backend servers of a service.
struct ColdPolicy {
  /// Requests a second that a cold backend server accepts from all nodes
  /// together; 0 if the service has no cold phase.
  double PerSecond = 0;
  /// How long a backend server is cold after its start.
  absl::Duration StartDuration = absl::ZeroDuration();

  bool isEnabled() const { return PerSecond > 0; }
};

/// Determines until when one start of a backend server is cold.
class WarmUp {
public:
  /// Records a start at \p now that the list shows without stating how long
  /// the backend server remains cold.
  void recordStart(absl::Time now);

  /// Records that the backend server remains cold for \p remaining, 0 for one
  /// that isn't cold. Replaces what was known.
  void recordRemaining(absl::Duration remaining, absl::Time now);

  /// Until when it is cold under \p policy; infinite past if it never was.
  absl::Time coldUntil(const ColdPolicy &policy) const;

  /// Until when it is cold by its latest statement, under any policy.
  absl::Time statedUntil() const { return Until; }

  /// When the present or latest cold phase began, as far as this node knows.
  absl::Time beganAt() const { return BeganAt; }

private:
  /// Empty once the backend server has stated its remaining time.
  std::optional<absl::Time> StartedAt;
  absl::Time Until = absl::InfinitePast();
  absl::Time BeganAt = absl::InfinitePast();
};

} // namespace orioletally::core::fleet

#endif

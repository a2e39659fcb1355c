#ifndef ORIOLETALLY_CORE_RELAY_START_WAIT_H
#define ORIOLETALLY_CORE_RELAY_START_WAIT_H

#include <absl/time/time.h>

namespace orioletally::core::relay {

/// Decides how long a call waits that arrives at a node which has just started
/// and hasn't read its fleet yet: the configuration and the list of backend
/// servers. Without the wait it would be refused.
///
/// Matters after a power loss of all nodes: their callers retry in the same few
/// milliseconds in which the nodes read the configuration. Most callers have
/// one attempt left, so a refusal would fail their call for good.
class StartWait {
public:
  explicit StartWait(absl::Time startedAt) : StartedAt(startedAt) {}

  /// Ends the wait for good: the fleet has been read, can't be read or is no
  /// longer needed.
  void end() { IsOver = true; }
  bool isOver() const { return IsOver; }

  /// Returns the time until which a call that arrives at \p now may wait if its
  /// caller waits for \p callerTimeout. Not after \p now if it may not wait.
  absl::Time waitUntil(absl::Time now, absl::Duration callerTimeout) const;

private:
  absl::Time StartedAt;
  bool IsOver = false;
};

} // namespace orioletally::core::relay

#endif

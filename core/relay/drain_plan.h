#ifndef ORIOLETALLY_CORE_RELAY_DRAIN_PLAN_H
#define ORIOLETALLY_CORE_RELAY_DRAIN_PLAN_H

#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>

namespace orioletally::core::relay {

/// Decides when a node that has received SIGTERM closes its callers'
/// connections and exits.
class DrainPlan {
public:
  /// \p outOfRotation is the time that the load balancer needs to remove a node
  /// whose shutdown began at \p since; calls must have ended by \p until.
  DrainPlan(absl::Time since, absl::Duration outOfRotation, absl::Time until)
      : OutOfRotationAt(since + outOfRotation), Until(until) {}

  /// Whether connections without a call are closed at \p now.
  bool closesIdle(absl::Time now) const { return now >= OutOfRotationAt; }

  /// Whether the node stops serving at \p now, with \p inProgress calls in
  /// progress and \p unanswered connections on which a call has begun to
  /// arrive.
  bool isOver(absl::Time now, int64_t inProgress, size_t unanswered) const {
    const bool isQuiet = inProgress == 0 && unanswered == 0;
    return now >= Until || (closesIdle(now) && isQuiet);
  }

private:
  absl::Time OutOfRotationAt;
  absl::Time Until;
};

} // namespace orioletally::core::relay

#endif

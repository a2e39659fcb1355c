#ifndef ORIOLETALLY_CORE_RELAY_DRAIN_PLAN_H
#define ORIOLETALLY_CORE_RELAY_DRAIN_PLAN_H

#include "core/relay/connection_state.h"

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

  /// Whether new connections are no longer accepted at \p now, with
  /// \p inProgress calls in progress and \p arriving calls that have begun to
  /// arrive. The calls of the last ones have time to arrive before the end.
  bool stopsAccepting(absl::Time now, int64_t inProgress,
                      size_t arriving) const {
    return now >= Until - ConnectionState::ArrivalTime ||
           (closesIdle(now) && inProgress == 0 && arriving == 0);
  }

  /// Whether the node stops serving at \p now, with \p inProgress calls in
  /// progress and \p unanswered connections whose call isn't answered or may
  /// still arrive.
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

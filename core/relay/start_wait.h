#ifndef ORIOLETALLY_CORE_RELAY_START_WAIT_H
#define ORIOLETALLY_CORE_RELAY_START_WAIT_H

#include <absl/time/time.h>

namespace orioletally::core::relay {

/// Decides how long a call that comes to a node that has just started waits
/// for the node to know its fleet, instead of being turned away.
///
/// Load answered: all nodes lose power at once, and their callers come back in
/// the very milliseconds in which the nodes read the configuration. Most have
/// one try left; turned away then, they are lost.
class StartWait {
public:
  explicit StartWait(absl::Time startedAt) : StartedAt(startedAt) {}

  /// The fleet is known, can't be read now, or isn't of use any more: nothing
  /// is worth waiting for from here on.
  void end() { IsOver = true; }
  bool isOver() const { return IsOver; }

  /// Returns until when a call that comes at \p now, whose caller waits for
  /// \p callerTimeout, waits at most; not after \p now if it mustn't wait.
  absl::Time waitUntil(absl::Time now, absl::Duration callerTimeout) const;

private:
  absl::Time StartedAt;
  bool IsOver = false;
};

} // namespace orioletally::core::relay

#endif

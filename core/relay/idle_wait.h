#ifndef ORIOLETALLY_CORE_RELAY_IDLE_WAIT_H
#define ORIOLETALLY_CORE_RELAY_IDLE_WAIT_H

#include <absl/time/time.h>

namespace orioletally::core::relay {

/// Decides how long a caller's connection stays open between two calls.
///
/// Callers reuse it within the idle timeout of the configuration that they
/// follow: the one in force when the wait began, or a newer one.
class IdleWait {
public:
  /// Starts a wait at \p now under the idle timeout \p inForce.
  IdleWait(absl::Time now, absl::Duration inForce)
      : StartedAt(now), Timeout(inForce) {}

  /// Returns when the wait ends unless a newer configuration extends it.
  absl::Time endsAt() const { return StartedAt + Timeout; }

  /// Whether the wait is over at \p now, while the idle timeout \p inForce
  /// applies; a longer one extends the wait, a shorter one doesn't end it.
  bool isOver(absl::Time now, absl::Duration inForce);

private:
  absl::Time StartedAt;
  absl::Duration Timeout;
};

} // namespace orioletally::core::relay

#endif

#ifndef ORIOLETALLY_CORE_RELAY_RECENT_IDLE_TIMEOUT_H
#define ORIOLETALLY_CORE_RELAY_RECENT_IDLE_TIMEOUT_H

#include <absl/time/time.h>

namespace orioletally::core::relay {

/// The idle timeout that callers may rely on: the one in force, or a longer one
/// that was in force shortly before, because callers learn of a shorter one
/// later than the node does.
class RecentIdleTimeout {
public:
  /// Time in which callers may still follow an earlier configuration.
  static constexpr absl::Duration CallerDelay = absl::Seconds(5);

  /// Returns the timeout of a wait that begins at \p now, while the idle
  /// timeout \p inForce applies.
  absl::Duration forWait(absl::Time now, absl::Duration inForce);

private:
  absl::Duration Last = absl::ZeroDuration();
  absl::Duration Longer = absl::ZeroDuration();
  absl::Time LongerUntil = absl::InfinitePast();
};

} // namespace orioletally::core::relay

#endif

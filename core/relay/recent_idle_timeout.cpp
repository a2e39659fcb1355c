#include "core/relay/recent_idle_timeout.h"

#include <algorithm>

namespace orioletally::core::relay {

absl::Duration RecentIdleTimeout::forWait(absl::Time now,
                                          absl::Duration inForce) {
  if (now >= LongerUntil)
    Longer = absl::ZeroDuration();
  if (inForce < Last) {
    Longer = std::max(Longer, Last);
    LongerUntil = now + CallerDelay;
  }
  Last = inForce;
  return std::max(inForce, Longer);
}

} // namespace orioletally::core::relay

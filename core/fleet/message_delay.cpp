#include "core/fleet/message_delay.h"

#include <algorithm>

namespace orioletally::core::fleet {

absl::Duration MessageDelay::record(absl::Time sentAt, absl::Time readAt) {
  if (readAt >= WindowEnd) {
    LeastBefore = Least;
    Least = absl::InfiniteDuration();
    WindowEnd = readAt + Window;
  }
  const absl::Duration difference = readAt - sentAt;
  Least = std::min(Least, difference);
  return difference - std::min(Least, LeastBefore);
}

} // namespace orioletally::core::fleet

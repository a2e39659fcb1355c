#include "core/relay/idle_wait.h"

#include <algorithm>

namespace orioletally::core::relay {

bool IdleWait::isOver(absl::Time now, absl::Duration inForce) {
  Timeout = std::max(Timeout, inForce);
  return now >= endsAt();
}

} // namespace orioletally::core::relay

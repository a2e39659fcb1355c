#include "core/fleet/list_position.h"

#include <algorithm>
#include <utility>

namespace orioletally::core::fleet {

bool ListPosition::readWhole(uint64_t version, uint64_t newestRow) {
  if (version < Known)
    return false;
  Known = version;
  Changed = std::max(Changed, newestRow);
  FedAt = std::max(FedAt, newestRow);
  return true;
}

uint64_t ListPosition::fed(uint64_t newest) {
  return std::exchange(FedAt, std::max(FedAt, newest));
}

void ListPosition::took(uint64_t version) {
  Known = std::max(Known, version);
  Changed = std::max(Changed, version);
}

} // namespace orioletally::core::fleet

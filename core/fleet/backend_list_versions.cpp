#include "core/fleet/backend_list_versions.h"

#include <algorithm>
#include <utility>

namespace orioletally::core::fleet {

bool BackendListVersions::acceptSnapshot(uint64_t version, uint64_t newestRow) {
  if (version < Applied)
    return false;
  Applied = version;
  NewestChange = std::max(NewestChange, newestRow);
  StoreVersion = std::max(StoreVersion, newestRow);
  return true;
}

uint64_t BackendListVersions::advanceStore(uint64_t newest) {
  return std::exchange(StoreVersion, std::max(StoreVersion, newest));
}

void BackendListVersions::recordApplied(uint64_t version) {
  Applied = std::max(Applied, version);
  NewestChange = std::max(NewestChange, version);
}

} // namespace orioletally::core::fleet

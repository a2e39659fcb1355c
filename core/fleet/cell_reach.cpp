#include "core/fleet/cell_reach.h"

#include <algorithm>

namespace orioletally::core::fleet {

void CellReach::recordMessage(std::string_view name, absl::Time now) {
  const bool wasConnected = isConnected(now);
  const auto found = HeardAt.find(name);
  if (found != HeardAt.end()) {
    found->second = now;
  } else {
    std::erase_if(HeardAt, [now](const auto &it) {
      return now - it.second >= MaxSilence;
    });
    HeardAt.emplace(name, now);
  }
  if (!wasConnected)
    ConnectedSince = now;
}

CellView CellReach::view(absl::Time now) const {
  CellView result;
  if (Registered == 0)
    return result;
  // A node that sends messages may be missing in this node's list.
  result.Nodes = std::max(Registered, heardCount(now) + 1);
  if (isConnected(now))
    result.ConnectedSince = ConnectedSince;
  return result;
}

size_t CellReach::heardCount(absl::Time now) const {
  return static_cast<size_t>(
      std::count_if(HeardAt.begin(), HeardAt.end(), [now](const auto &it) {
        return now - it.second < MaxSilence;
      }));
}

bool CellReach::isConnected(absl::Time now) const {
  return Registered > 0 && 2 * (heardCount(now) + 1) >= Registered;
}

} // namespace orioletally::core::fleet

#include "core/fleet/home_nodes.h"

#include "core/fleet/name_hash.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace orioletally::core::fleet {

std::vector<std::string> homeNodes(std::string_view key,
                                   const std::vector<std::string> &addresses) {
  std::vector<std::pair<uint64_t, std::string>> ranked;
  ranked.reserve(addresses.size());
  for (const std::string &it : addresses)
    ranked.emplace_back(nameHash(it + std::string(key)), it);
  const size_t count = std::min(HomeNodeCount, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<ptrdiff_t>(count),
                    ranked.end());
  std::vector<std::string> result;
  for (size_t n = 0; n < count; ++n)
    result.push_back(std::move(ranked[n].second));
  return result;
}

} // namespace orioletally::core::fleet

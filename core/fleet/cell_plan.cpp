#include "core/fleet/cell_plan.h"

#include "core/fleet/name_hash.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace orioletally::core::fleet {

namespace {

struct Region {
  std::set<std::string> Zones;
  std::set<std::string> Names;
};

/// Returns \p n / \p unit, rounded to the nearest integer.
size_t rounded(size_t n, size_t unit) { return (n + unit / 2) / unit; }

/// Returns the number of cells, a power of two, of a region with \p nodes nodes
/// and \p backends backend servers.
size_t cellsFor(size_t nodes, size_t backends, size_t splitNodes) {
  size_t count = 1;
  while (nodes >= count * splitNodes ||
         (backends > count * CellPlan::CellSplitBackends &&
          nodes >= 2 * count * CellPlan::MinCellNodes))
    count *= 2;
  return count;
}

} // namespace

CellPlan::CellPlan(std::string_view self, const std::vector<NodePlace> &nodes,
                   size_t backends, size_t splitNodes)
    : Nodes(nodes.size()) {
  std::map<std::string, Region> regions;
  for (const NodePlace &it : nodes) {
    regions[it.Region].Zones.insert(it.Zone);
    regions[it.Region].Names.insert(it.Name);
  }
  for (const auto &[regionName, region] : regions) {
    const size_t count =
        cellsFor(region.Names.size(),
                 backends * region.Names.size() / nodes.size(), splitNodes);
    std::vector<std::vector<std::string>> members(count);
    for (const std::string &name : region.Names)
      members[nameHash(name) % count].push_back(name);
    const bool isOwn = region.Names.contains(std::string(self));
    for (size_t n = 0; n < count; ++n) {
      if (std::find(members[n].begin(), members[n].end(), self) !=
          members[n].end()) {
        SelfCell = Cells.size();
        Members = members[n];
      } else if (isOwn && !members[n].empty()) {
        OtherCells.push_back(members[n]);
      }
      Cells.push_back({regionName + "/" + std::to_string(n),
                       {region.Zones.begin(), region.Zones.end()},
                       members[n].size()});
    }
  }
}

std::vector<size_t> CellPlan::quotas(size_t backends) const {
  // Rounding cumulative sums keeps the total exact, and one node more or less
  // moves at most one backend server from each cell to the next.
  std::vector<size_t> result;
  size_t seen = 0;
  size_t assigned = 0;
  for (const Cell &it : Cells) {
    seen += it.Nodes;
    const size_t upTo = rounded(backends * seen, Nodes);
    result.push_back(upTo - assigned);
    assigned = upTo;
  }
  return result;
}

std::vector<bool>
CellPlan::assignedToCell(const std::vector<BackendPlace> &backends) const {
  if (!isPartitioned(backends.size()))
    return std::vector<bool>(backends.size(), true);
  std::vector<size_t> left = quotas(backends.size());
  std::vector<size_t> order(backends.size());
  std::vector<bool> result(backends.size(), false);
  std::vector<bool> isAssigned(backends.size(), false);
  for (size_t n = 0; n < order.size(); ++n)
    order[n] = n;
  std::sort(order.begin(), order.end(), [&](size_t l, size_t r) {
    return std::pair(nameHash(backends[l].Id), l) <
           std::pair(nameHash(backends[r].Id), r);
  });
  // The first pass assigns within the region, the second assigns the rest to
  // any region. The highest rendezvous hash wins.
  for (const bool isAnyRegion : {false, true}) {
    for (const size_t n : order) {
      if (isAssigned[n])
        continue;
      size_t best = Cells.size();
      uint64_t bestHash = 0;
      for (size_t cell = 0; cell < Cells.size(); ++cell) {
        const std::vector<std::string> &zones = Cells[cell].Zones;
        const bool isNear = std::find(zones.begin(), zones.end(),
                                      backends[n].Zone) != zones.end();
        if (left[cell] == 0 || (!isAnyRegion && !isNear))
          continue;
        const uint64_t hash = nameHash(Cells[cell].Name + backends[n].Id);
        if (best != Cells.size() && hash <= bestHash)
          continue;
        best = cell;
        bestHash = hash;
      }
      if (best == Cells.size())
        continue;
      isAssigned[n] = true;
      --left[best];
      result[n] = best == SelfCell;
    }
  }
  return result;
}

double CellPlan::limitShare(std::string_view backend) const {
  if (Cells.size() < 2)
    return 1;
  const auto hash = [&](const Cell &it) {
    return nameHash(it.Name + std::string(backend));
  };
  const uint64_t own = hash(Cells[SelfCell]);
  const auto higher =
      std::count_if(Cells.begin(), Cells.end(),
                    [&](const Cell &it) { return hash(it) > own; });
  return static_cast<size_t>(higher) < MaxLimitCells
             ? 1.0 / static_cast<double>(std::min(Cells.size(), MaxLimitCells))
             : 0;
}

} // namespace orioletally::core::fleet

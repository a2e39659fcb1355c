#include "core/fleet/cell_plan.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally::core::fleet;

namespace {

/// Returns nodes in \p zones availability zones, \p perZone in each.
std::vector<NodePlace> nodesIn(int zones, int perZone) {
  std::vector<NodePlace> result;
  for (int zone = 0; zone < zones; ++zone)
    for (int n = 0; n < perZone; ++n)
      result.push_back({fmt::format("node-{}-{}", zone, n),
                        fmt::format("zone-{}", zone), "region"});
  return result;
}

std::vector<BackendPlace> backendsIn(int zones, int perZone) {
  std::vector<BackendPlace> result;
  for (int zone = 0; zone < zones; ++zone)
    for (int n = 0; n < perZone; ++n)
      result.push_back(
          {fmt::format("i-{}-{}", zone, n), fmt::format("zone-{}", zone)});
  return result;
}

/// Maps the index of each backend server to the number of cells it is assigned
/// to.
std::map<size_t, int>
cellCountByBackend(const std::vector<NodePlace> &nodes,
                   const std::vector<BackendPlace> &backends) {
  std::map<size_t, int> result;
  std::set<std::vector<std::string>> seen;
  for (const NodePlace &it : nodes) {
    const CellPlan plan(it.Name, nodes, backends.size());
    if (!seen.insert(plan.members()).second)
      continue;
    const std::vector<bool> assigned = plan.assignedToCell(backends);
    for (size_t n = 0; n < assigned.size(); ++n)
      result[n] += assigned[n] ? 1 : 0;
  }
  return result;
}

size_t countOf(const std::vector<bool> &flags) {
  return static_cast<size_t>(std::count(flags.begin(), flags.end(), true));
}

} // namespace

TEST_GROUP(CellPlan){};

TEST(CellPlan, ASmallFleetIsOneCellWithAllBackendServers) {
  const auto nodes = nodesIn(3, 9);
  const CellPlan plan("node-0-0", nodes, 21);
  LONGS_EQUAL(1, plan.cellCount());
  LONGS_EQUAL(27, plan.members().size());
  LONGS_EQUAL(21, countOf(plan.assignedToCell(backendsIn(3, 7))));
}

TEST(CellPlan, CellsOfALargeFleetAreBoundedAndSpanAllZones) {
  const auto nodes = nodesIn(5, 39);
  for (const NodePlace &it : nodes) {
    const CellPlan plan(it.Name, nodes, 172);
    LONGS_EQUAL(4, plan.cellCount());
    LONGS_EQUAL(195, plan.nodeCount());
    CHECK(plan.members().size() >= 30 && plan.members().size() <= 70);
    CHECK(std::binary_search(plan.members().begin(), plan.members().end(),
                             it.Name));
    std::set<char> zones;
    for (const std::string &name : plan.members())
      zones.insert(name[5]);
    LONGS_EQUAL(5, zones.size());
  }
}

TEST(CellPlan, GrowthSplitsCellsWithoutMovingNodesBetweenThem) {
  const auto before = nodesIn(5, 40);
  const auto after = nodesIn(5, 60);
  for (const NodePlace &it : before) {
    const auto membersBefore = CellPlan(it.Name, before, 172).members();
    const auto membersAfter = CellPlan(it.Name, after, 172).members();
    for (const std::string &name : membersAfter)
      for (const NodePlace &other : before)
        if (other.Name == name)
          CHECK(std::binary_search(membersBefore.begin(), membersBefore.end(),
                                   name));
  }
}

TEST(CellPlan, EachBackendServerHasExactlyOneCell) {
  auto nodes = nodesIn(5, 30);
  for (int n = 0; n < 40; ++n)
    nodes.push_back({fmt::format("more-{}", n), "zone-4", "region"});
  const auto backends = backendsIn(5, 35);
  for (const auto &[n, count] : cellCountByBackend(nodes, backends))
    LONGS_EQUAL(1, count);
}

TEST(CellPlan, ACellHasBackendServersInProportionToItsNodes) {
  const auto nodes = nodesIn(5, 39);
  const auto backends = backendsIn(5, 35);
  for (const NodePlace &it : nodes) {
    const CellPlan plan(it.Name, nodes, backends.size());
    const double share = static_cast<double>(plan.members().size()) / 195.0;
    const auto assigned =
        static_cast<double>(countOf(plan.assignedToCell(backends)));
    CHECK(std::abs(assigned - share * 175.0) <= 1.0);
  }
}

TEST(CellPlan, RemovingANodeReassignsFewBackendServers) {
  const auto nodes = nodesIn(5, 39);
  const auto backends = backendsIn(5, 35);
  auto fewer = nodes;
  fewer.erase(fewer.begin() + 60);
  size_t moved = 0;
  for (const NodePlace &it : fewer) {
    const auto before = CellPlan(it.Name, nodes, 175).assignedToCell(backends);
    const auto after = CellPlan(it.Name, fewer, 175).assignedToCell(backends);
    for (size_t n = 0; n < before.size(); ++n)
      moved += before[n] != after[n] ? 1 : 0;
  }
  // At most one in a hundred of all pairs of a node and a backend server.
  CHECK(moved <= fewer.size() * 175 / 10 / 10);
}

TEST(CellPlan, AServiceWithFewBackendServersIsNotDivided) {
  const auto nodes = nodesIn(5, 39);
  const CellPlan plan("node-3-3", nodes, 172);
  LONGS_EQUAL(5, countOf(plan.assignedToCell(backendsIn(5, 1))));
}

TEST(CellPlan, CellsStayInTheirRegion) {
  auto nodes = nodesIn(4, 10);
  for (int n = 0; n < 30; ++n)
    nodes.push_back({fmt::format("far-{}", n), "zone-far", "other-region"});
  const CellPlan far("far-1", nodes, 60);
  LONGS_EQUAL(2, far.cellCount());
  for (const std::string &name : far.members())
    CHECK(name.starts_with("far-"));
  // Backend servers in the zones of a region are assigned there first, so the
  // far cell has none of the other region's.
  auto backends = backendsIn(4, 10);
  for (int n = 0; n < 30; ++n)
    backends.push_back({fmt::format("f-{}", n), "zone-far"});
  const std::vector<bool> assigned = far.assignedToCell(backends);
  for (size_t n = 0; n < 40; ++n)
    CHECK_FALSE(assigned[n]);
}

TEST(CellPlan, ManyBackendServersMakeMoreCells) {
  // About 330 nodes and 4,100 backend servers in 23 zones of one region.
  const auto nodes = nodesIn(23, 14);
  const auto backends = backendsIn(23, 178);
  size_t maxAssigned = 0;
  for (const NodePlace &it : nodes)
    maxAssigned =
        std::max(maxAssigned, countOf(CellPlan(it.Name, nodes, backends.size())
                                          .assignedToCell(backends)));
  CHECK(maxAssigned < 200);
}

TEST(CellPlan, NodeWithoutACellUsesAllBackendServers) {
  const CellPlan plan;
  LONGS_EQUAL(0, plan.cellCount());
  LONGS_EQUAL(10, countOf(plan.assignedToCell(backendsIn(1, 10))));
  // A node that isn't on the list yet.
  const CellPlan unlisted("new", nodesIn(5, 39), 172);
  LONGS_EQUAL(0, unlisted.members().size());
  LONGS_EQUAL(10, countOf(unlisted.assignedToCell(backendsIn(1, 10))));
}

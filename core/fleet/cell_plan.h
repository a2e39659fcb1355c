#ifndef ORIOLETALLY_CORE_FLEET_CELL_PLAN_H
#define ORIOLETALLY_CORE_FLEET_CELL_PLAN_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::fleet {

/// The location of a node.
struct NodePlace {
  std::string Name;
  std::string Zone;
  std::string Region;
};

/// A backend server to be assigned to a cell, and its location.
struct BackendPlace {
  std::string Id;
  std::string Zone;
};

/// Partitions the fleet into cells. A cell consists of nodes of one region,
/// spread over its availability zones, and of the backend servers assigned to
/// it. Nodes send load updates to the nodes of their own cell only: with
/// hundreds of nodes, an update per prompt to every node would use up the whole
/// capacity of small nodes.
///
/// Every node computes the partition by itself from the list of nodes. Nodes
/// whose lists differ temporarily disagree about a few nodes and backend
/// servers only. The number of cells of a region is a power of two, so that
/// growth splits cells in half and moves nothing else.
class CellPlan {
public:
  /// Average nodes per cell at which cells are split. Smaller cells send fewer
  /// updates to each node; larger ones balance their load better.
  static constexpr size_t CellSplitNodes = 56;
  /// Average backend servers per cell above which cells are split as well,
  /// since each call compares all of them.
  static constexpr size_t CellSplitBackends = 48;
  /// A split because of backend servers must leave at least this many nodes per
  /// cell on average.
  static constexpr size_t MinCellNodes = 4;
  /// A service with fewer backend servers per cell than this isn't partitioned:
  /// every cell uses all of them.
  static constexpr size_t MinCellBackends = 4;
  /// At most this many cells share the request limit of a backend server that
  /// all cells use, because each may begin with a whole request.
  static constexpr size_t MaxLimitCells = 4;

  CellPlan() = default;

  /// Computes the plan as the node \p self sees it. \p nodes may include it;
  /// \p backends is the number of backend servers of the largest service.
  /// Tests of small fleets pass a smaller \p splitNodes.
  CellPlan(std::string_view self, const std::vector<NodePlace> &nodes,
           size_t backends, size_t splitNodes = CellSplitNodes);

  /// Number of cells; 0 while no list of nodes is known.
  size_t cellCount() const { return Cells.size(); }

  /// Number of nodes of the whole fleet.
  size_t nodeCount() const { return Nodes; }

  /// Names of the nodes of this node's cell, itself included, sorted.
  const std::vector<std::string> &members() const { return Members; }

  /// Names of the nodes of each other cell in this node's region.
  const std::vector<std::vector<std::string>> &otherCells() const {
    return OtherCells;
  }

  /// Returns for each of \p backends, the backend servers of one service,
  /// whether it is assigned to this node's cell. Each is assigned to exactly
  /// one cell, unless the service isn't partitioned.
  std::vector<bool>
  assignedToCell(const std::vector<BackendPlace> &backends) const;

  /// Whether \p backends backend servers of one service are divided among the
  /// cells; otherwise every cell uses all of them.
  bool isPartitioned(size_t backends) const {
    return Cells.size() >= 2 && !Members.empty() &&
           backends >= MinCellBackends * Cells.size();
  }

  /// Returns which share of the request limit of \p backend, which all cells
  /// use, this node's cell has: the same for MaxLimitCells cells, 0 for others.
  double limitShare(std::string_view backend) const;

private:
  struct Cell {
    /// "region/number", the same on all nodes.
    std::string Name;
    std::vector<std::string> Zones;
    size_t Nodes = 0;
  };

  std::vector<size_t> quotas(size_t backends) const;

  std::vector<Cell> Cells;
  size_t SelfCell = 0;
  size_t Nodes = 0;
  std::vector<std::string> Members;
  std::vector<std::vector<std::string>> OtherCells;
};

} // namespace orioletally::core::fleet

#endif

#ifndef ORIOLETALLY_CORE_FLEET_CELL_PLAN_H
#define ORIOLETALLY_CORE_FLEET_CELL_PLAN_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::fleet {

/// Where a node runs.
struct NodePlace {
  std::string Name;
  std::string Zone;
  std::string Region;
};

/// A backend server that is to be given to a cell.
struct BackendPlace {
  std::string Id;
  std::string Zone;
};

/// Divides a fleet into cells: nodes of one region, mixed over its availability
/// zones, each cell with backend servers of its own. Nodes tell each other of
/// load inside their cell only, so what a node sends and hears doesn't grow
/// with the fleet. Every node works the division out by itself from the list of
/// nodes; nodes whose lists differ for a while differ about a few nodes and
/// backend servers. Cells are halves of larger ones, so that growth divides
/// them and moves nothing else.
///
/// Load answered: hundreds of nodes that place prompts together, where news of
/// each prompt to each node takes up small nodes whole.
class CellPlan {
public:
  /// A cell with this many nodes is divided: what a node hears grows with its
  /// cell, and so does how well the cell evens out its load.
  static constexpr size_t CellSplitNodes = 56;
  /// A cell with more backend servers than this is divided as well, for what
  /// it costs to weigh them for each call, ...
  static constexpr size_t CellSplitBackends = 48;
  /// ... unless fewer nodes than this would be left in a half.
  static constexpr size_t MinCellNodes = 4;
  /// A service with fewer backend servers a cell than this isn't divided.
  static constexpr size_t MinCellBackends = 4;

  CellPlan() = default;

  /// Plans for the node \p self, for \p nodes (it may be among them) and a
  /// largest service of \p backends backend servers.
  CellPlan(std::string_view self, const std::vector<NodePlace> &nodes,
           size_t backends);

  /// Number of cells; 0 while no list of nodes is known.
  size_t cellCount() const { return Cells.size(); }

  /// Nodes of the whole fleet.
  size_t nodeCount() const { return Nodes; }

  /// Names of the nodes of this node's cell, itself included, sorted.
  const std::vector<std::string> &members() const { return Members; }

  /// Returns for each of \p backends, the backend servers of one service,
  /// whether this node's cell has it. Every one has exactly one cell.
  std::vector<bool>
  assignedToCell(const std::vector<BackendPlace> &backends) const;

private:
  struct Cell {
    /// "region/number", the same at all nodes.
    std::string Name;
    std::vector<std::string> Zones;
    size_t Nodes = 0;
  };

  std::vector<size_t> quotas(size_t backends) const;

  std::vector<Cell> Cells;
  size_t SelfCell = 0;
  size_t Nodes = 0;
  std::vector<std::string> Members;
};

} // namespace orioletally::core::fleet

#endif

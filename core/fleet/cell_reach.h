#ifndef ORIOLETALLY_CORE_FLEET_CELL_REACH_H
#define ORIOLETALLY_CORE_FLEET_CELL_REACH_H

#include <absl/time/time.h>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace orioletally::core::fleet {

/// How much of its cell a node hears at one moment.
struct CellView {
  /// Nodes of the cell, this one included; 0 while no list of nodes is known.
  size_t Nodes = 0;
  /// Since when messages from at least half of the nodes arrive; empty while
  /// fewer do.
  std::optional<absl::Time> ConnectedSince;
};

/// Observes from how many nodes of the cell messages arrive.
class CellReach {
public:
  /// Two heartbeats and some delay.
  static constexpr absl::Duration MaxSilence = absl::Milliseconds(2'500);

  /// Sets the number of registered nodes of the cell, this one included.
  void setRegistered(size_t n) { Registered = n; }

  /// Records that a message from the node \p name of the cell arrived.
  void recordMessage(std::string_view name, absl::Time now);

  CellView view(absl::Time now) const;

private:
  size_t heardCount(absl::Time now) const;
  bool isConnected(absl::Time now) const;

  size_t Registered = 0;
  std::map<std::string, absl::Time, std::less<>> HeardAt;
  /// When messages from half of the nodes last began to arrive.
  absl::Time ConnectedSince = absl::InfinitePast();
};

} // namespace orioletally::core::fleet

#endif

#ifndef ORIOLETALLY_CORE_FLEET_NODE_ROSTER_H
#define ORIOLETALLY_CORE_FLEET_NODE_ROSTER_H

#include "core/platform/fleet_source.h"

#include <absl/time/time.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::fleet {

/// Decides which registered nodes have gone for good, so that the list by which
/// new nodes join doesn't grow forever.
///
/// Hundreds of VMs are replaced every day, most without unregistering, and
/// network partitions between regions last for minutes.
class NodeRoster {
public:
  /// Longer than any partition between regions.
  static constexpr absl::Duration ExpiryTime = absl::Minutes(30);

  explicit NodeRoster(std::string self) : Self(std::move(self)) {}

  /// Replaces the list of registered nodes.
  void update(const std::vector<platform::NodeEntry> &nodes, absl::Time now);

  /// Records that a message from the node \p name arrived.
  void recordMessage(std::string_view name, absl::Time now);

  /// Returns the nodes that this one should unregister: those from which
  /// nothing has arrived for ExpiryTime. Only the first by name of the
  /// remaining nodes does so, and only while messages arrive from at least half
  /// of the others; otherwise it may itself be partitioned.
  std::vector<platform::NodeEntry> expired(absl::Time now) const;

private:
  struct Row {
    platform::NodeEntry Entry;
    /// When this incarnation was first listed or last sent a message.
    absl::Time SeenAt;
  };

  std::string Self;
  std::map<std::string, Row, std::less<>> Rows;
};

} // namespace orioletally::core::fleet

#endif

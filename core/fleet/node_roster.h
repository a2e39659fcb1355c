#ifndef ORIOLETALLY_CORE_FLEET_NODE_ROSTER_H
#define ORIOLETALLY_CORE_FLEET_NODE_ROSTER_H

#include "core/platform/fleet_source.h"

#include <absl/time/time.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::fleet {

/// Decides which registered nodes are gone for good, so that the list that new
/// nodes join by doesn't grow without end.
///
/// Load answered: hundreds of VMs replaced a day, most without a word, while
/// regions lose each other for minutes.
class NodeRoster {
public:
  /// Longer than regions lose each other.
  static constexpr absl::Duration ExpiryTime = absl::Minutes(30);

  explicit NodeRoster(std::string self) : Self(std::move(self)) {}

  /// Takes in all registered nodes.
  void update(const std::vector<platform::NodeEntry> &nodes, absl::Time now);

  /// The node \p name said something.
  void recordMessage(std::string_view name, absl::Time now);

  /// The nodes that this one should take off the list: those that it hasn't
  /// heard of for ExpiryTime. One node of those that are heard does
  /// it, by the order of names; none does while it hears less than half of the
  /// others, as it may be cut off itself.
  std::vector<platform::NodeEntry> expired(absl::Time now) const;

private:
  struct Row {
    platform::NodeEntry Entry;
    /// When it was read first or heard last.
    absl::Time SeenAt;
  };

  std::string Self;
  std::map<std::string, Row, std::less<>> Rows;
};

} // namespace orioletally::core::fleet

#endif

#ifndef ORIOLETALLY_DRIVERS_RELAY_NODE_UPDATE_H
#define ORIOLETALLY_DRIVERS_RELAY_NODE_UPDATE_H

#include "core/fleet/backend_entry.h"
#include "core/relay/load_news.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::drivers::relay {

/// What one node tells others of its cell in one message.
struct NodeUpdate {
  std::string Node;
  /// "ip:port" that the sender is reached under.
  std::string PeerAddress;
  uint64_t Incarnation = 0;
  /// Version of the sender's configuration; 0 for none.
  uint64_t ConfigVersion = 0;
  /// When the store last answered the sender about the configuration and about
  /// the backend servers, by the receiver's clock; infinite past for never.
  absl::Time ConfigAnsweredAt = absl::InfinitePast();
  absl::Time BackendsAnsweredAt = absl::InfinitePast();
  /// Version of the newest change of the backend servers that the sender knows.
  uint64_t BackendsVersion = 0;
  std::vector<core::relay::PromptNews> LoadUpdates;
  /// Changes of the backend servers, all those after BackendsSince.
  std::vector<core::fleet::BackendChange> Backends;
  uint64_t BackendsSince = 0;
  /// Ids of backend servers that take no new work.
  std::vector<std::string> Leaving;
  /// The sender wants the receiver's configuration.
  bool WantsConfig = false;
  /// The sender's configuration as the platform keeps it; mostly empty.
  std::string Config;
};

/// Returns the bytes that tell \p news at \p now.
std::string encodeNodeUpdate(const NodeUpdate &update, absl::Time now);

/// Reads a message that came at \p now; empty when it isn't one.
std::optional<NodeUpdate> decodeNodeUpdate(std::string_view bytes,
                                           absl::Time now);

} // namespace orioletally::drivers::relay

#endif

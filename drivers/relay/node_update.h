#ifndef ORIOLETALLY_DRIVERS_RELAY_NODE_UPDATE_H
#define ORIOLETALLY_DRIVERS_RELAY_NODE_UPDATE_H

#include "core/fleet/backend_entry.h"
#include "core/fleet/request_limit.h"
#include "core/fleet/zone_evacuations.h"
#include "core/relay/load_update.h"
#include "core/relay/placement_message.h"
#include "core/relay/prompt_quarantine.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::drivers::relay {

/// A message from one node to the other nodes of its cell.
struct NodeUpdate {
  std::string Node;
  /// "ip:port" at which other nodes reach the sender.
  std::string PeerAddress;
  uint64_t Incarnation = 0;
  /// When the message was sent, by the sender's steady clock; empty if it
  /// doesn't say so.
  std::optional<absl::Time> SentAt;
  /// Version of the sender's configuration; 0 for none.
  uint64_t ConfigVersion = 0;
  /// When the store last answered the sender about the configuration and about
  /// the backend servers, by the receiver's clock, as if the message had been
  /// received when it was sent; infinite past for never.
  absl::Time ConfigAnsweredAt = absl::InfinitePast();
  absl::Time BackendsAnsweredAt = absl::InfinitePast();
  /// Versions of the store up to which the sender has all changes of the
  /// configuration and of the backend servers; 0 for none.
  uint64_t ConfigStoreVersion = 0;
  uint64_t BackendsStoreVersion = 0;
  /// Version of the newest change of the backend servers that the sender has.
  uint64_t BackendsVersion = 0;
  std::vector<core::relay::LoadUpdate> LoadUpdates;
  /// All changes of the backend servers after version BackendsSince.
  std::vector<core::fleet::BackendChange> Backends;
  uint64_t BackendsSince = 0;
  /// Ids of backend servers that accept no new calls.
  std::vector<std::string> Leaving;
  /// Asks the receiver to reply with its configuration.
  bool WantsConfig = false;
  /// Text of the sender's configuration as stored by the platform; empty
  /// unless the receiver asked for it.
  std::string Config;
  std::vector<core::relay::CrashReport> Crashes;
  /// Ids of prompt parts that the sender knows to be sound.
  std::vector<std::string> SoundParts;
  std::vector<core::relay::QuarantinedPart> Quarantined;
  std::vector<core::fleet::BackendLimit> Limits;
  core::relay::PlacementMessages Placement;
  /// ZoneEvacuations::statement() of the sender; empty if the message doesn't
  /// state it.
  std::vector<core::fleet::EvacuationChange> Evacuations;
  /// ZoneEvacuations::newestChange() of the sender.
  uint64_t EvacuationsVersion = 0;
  /// Whether nodes of other cells receive the message, which use nothing but
  /// Crashes, SoundParts, Quarantined, Limits and Placement.
  bool IsFleetWide = false;
};

/// Serializes \p update, to be sent at \p now: times become ages.
std::string encodeNodeUpdate(NodeUpdate update, absl::Time now);

/// Parses a message received at \p now; empty when it is malformed.
std::optional<NodeUpdate> decodeNodeUpdate(std::string_view bytes,
                                           absl::Time now);

} // namespace orioletally::drivers::relay

#endif

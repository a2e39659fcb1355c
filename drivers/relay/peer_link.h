#ifndef ORIOLETALLY_DRIVERS_RELAY_PEER_LINK_H
#define ORIOLETALLY_DRIVERS_RELAY_PEER_LINK_H

#include "core/fleet/backend_entry.h"
#include "core/fleet/catch_up.h"
#include "core/fleet/message_delay.h"
#include "core/fleet/node_roster.h"
#include "core/fleet/store_watch_policy.h"
#include "core/fleet/zone_evacuations.h"
#include "core/platform/fleet_source.h"
#include "core/relay/config_refusal.h"
#include "core/relay/load_update.h"
#include "drivers/loop/asio_use.h"
#include "drivers/peer/peer_transport.h"
#include "drivers/relay/node_update.h"

#include <absl/time/time.h>
#include <boost/leaf.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace orioletally::drivers::relay {

/// Callbacks of a PeerLink to its node. All are called on the event loop.
struct PeerLinkHandlers {
  std::function<void(const core::relay::LoadUpdate &)> OnPeerLoadUpdate;
  /// A message from a node of the cell, by name, arrived.
  std::function<void(const std::string &)> OnPeerMessage;
  std::function<void(const std::vector<std::string> &)> OnPeerLeavingBackends;
  /// The text of a newer configuration than this node's, and its version.
  std::function<void(uint64_t version, std::string text)> OnPeerConfig;
  /// All changes of the backend servers after version \p since.
  std::function<void(uint64_t since, std::vector<core::fleet::BackendChange>)>
      OnPeerBackendChanges;
  /// Requests a read of a topic from the store.
  std::function<void(core::platform::FleetTopic)> Refresh;
  /// When this node's latest calls of the store about a topic ended.
  std::function<core::fleet::StoreCallTimes(core::platform::FleetTopic)>
      StoreCalls;
  /// Version of the store up to which this node has all changes of a topic.
  std::function<uint64_t(core::platform::FleetTopic)> StoreVersion;
  /// The store answered the sender of an update about a topic at a time, and
  /// this node has all that the sender has.
  std::function<void(core::platform::FleetTopic, absl::Time,
                     const NodeUpdate &)>
      OnPeerStoreAnswer;
  /// Version up to which all changes of the backend servers are applied.
  std::function<uint64_t()> BackendsAppliedVersion;
  /// Version of the newest change of the backend servers.
  std::function<uint64_t()> NewestBackendChange;
  /// Version of this node's configuration; 0 for none.
  std::function<uint64_t()> ConfigVersion;
  /// Whether this node has received a configuration that it is still reading.
  std::function<bool()> IsReadingConfig;
  /// Text of this node's configuration as stored by the platform.
  std::function<std::string()> ConfigText;
  /// Ids of all backend servers known to be leaving.
  std::function<std::vector<std::string>()> LeavingBackendIds;
  std::function<void(const core::relay::CrashReport &)> OnPeerCrash;
  std::function<void(const std::vector<std::string> &)> OnPeerSoundParts;
  std::function<void(const std::vector<core::relay::QuarantinedPart> &)>
      OnPeerQuarantine;
  /// All prompt parts in quarantine.
  std::function<std::vector<core::relay::QuarantinedPart>()> QuarantinedParts;
  std::function<void(const std::vector<core::fleet::BackendLimit> &)>
      OnPeerLimits;
  /// The request limits of backend servers, with those lifted recently.
  std::function<std::vector<core::fleet::BackendLimit>()> RequestLimits;
  /// An update has messages about placement across cells.
  std::function<void(const NodeUpdate &)> OnPlacement;
  /// The evacuations that a peer states and their version.
  std::function<void(const std::vector<core::fleet::EvacuationChange> &,
                     uint64_t version)>
      OnPeerEvacuations;
  /// The evacuations of availability zones that this node knows.
  std::function<const core::fleet::ZoneEvacuations &()> Evacuations;
};

/// Exchanges updates with the other nodes of the cell: prompts sent to engines,
/// changes of the backend servers, leaving backend servers, their request
/// limits, crashes under prompts, evacuations and the version of the
/// configuration. Updates
/// that affect placement are sent within a few milliseconds. Any message may be
/// lost.
class PeerLink {
public:
  PeerLink(asio::io_context &loop, core::platform::NodeEntry self,
           PeerLinkHandlers handlers);

  /// Binds the address and starts exchanging messages with nodes that have the
  /// same \p key (40 characters, Z85). Fails with a
  /// drivers::peer::TransportError.
  boost::leaf::result<void> start(const std::string &key);
  void stop();

  /// Queues \p update to be sent to the cell.
  void announceLoadUpdate(const core::relay::LoadUpdate &update);

  /// Queues the ids of leaving backend servers to be sent to the cell.
  void announceLeaving();

  /// Queues the version of a new configuration to be sent to the cell, if this
  /// node is one of those that watch the store for the cell.
  void announceConfig();

  /// Immediately sends the evacuations to the cell.
  void announceEvacuations();

  /// Immediately sends changes that came from the store to the cell: all those
  /// after version \p since.
  void announceBackendChanges(
      uint64_t since, const std::vector<core::fleet::BackendChange> &changes);

  /// Queues a report of a crash, or ids of sound prompt parts, to be sent to
  /// the cell. What concerns a call, which comes again at any node, is also
  /// sent to the call's home nodes in other cells.
  void announceCrash(const core::relay::CrashReport &report);
  void announceSoundParts(const std::vector<std::string> &parts);

  /// Queues the request limits of backend servers to be sent to the cell.
  void announceLimits();

  /// Immediately sends \p limit to all registered nodes, because all cells use
  /// the backend server.
  void announceSharedLimit(const core::fleet::BackendLimit &limit);

  /// Immediately sends \p messages to the node at \p address, of any cell.
  void sendPlacement(const std::string &address,
                     core::relay::PlacementMessages messages);

  /// Immediately sends the quarantined prompt parts to all registered nodes,
  /// because the cells don't learn of each other's crashes.
  void announceQuarantine();

  /// Updates the peers from all registered nodes. \p cell holds the sorted
  /// names of the nodes in this node's cell; when it is empty, all nodes are
  /// peers.
  void nodesRead(const std::vector<core::platform::NodeEntry> &nodes,
                 const std::vector<std::string> &cell, absl::Time now);

  /// Queues an update that tells the cell that the store has answered this node
  /// about \p topic, if it reads for the cell.
  void announceStoreAnswer(core::platform::FleetTopic topic);

  /// Whether other nodes of the cell rely on what this node reads from the
  /// store about \p topic now.
  bool readsForCell(core::platform::FleetTopic topic) const;

  /// Whether few nodes of the cell watch the store for all of them.
  bool isWatchShared() const { return WatchPolicy.isWatchShared(); }

  /// Whether this node must watch \p topic at the store itself.
  bool shouldWatchStore(core::platform::FleetTopic topic,
                        absl::Time now) const {
    return WatchPolicy.shouldWatchStore(
        topic, Handlers.StoreCalls(topic).AnsweredAt, now);
  }

  /// Whether this node must read the changes of \p topic now, because nothing
  /// shows that it has the newest; records that it does.
  bool takeRead(core::platform::FleetTopic topic, absl::Time now) {
    return WatchPolicy.takeRead(topic, Handlers.StoreCalls(topic), now);
  }

  /// Returns how up to date this node's configuration is.
  core::relay::ConfigCurrency configCurrency(absl::Time now) const;

  /// Returns registered nodes that are gone and that this node should
  /// unregister.
  std::vector<core::platform::NodeEntry> expiredNodes(absl::Time now) const {
    return Roster.expired(now);
  }

  /// Number of connections refused because the peer didn't have the key.
  uint64_t refusedConnections() const {
    return Transport == nullptr ? 0
                                : Transport->counts().RefusedConnections.load();
  }

private:
  struct Peer {
    std::string Address;
    uint64_t Incarnation = 0;
    /// When it last sent a message or was listed with a new incarnation.
    absl::Time LastSeenAt;
    /// Whether this incarnation has sent a message; false if it is only listed.
    bool HasSentMessage = false;
    core::fleet::MessageDelay Delay;
  };

  void receive(const std::string &bytes);
  void updatePeer(const NodeUpdate &update, absl::Time now);
  /// Sets back the times in \p update by how long it was on its way.
  void correctTimes(NodeUpdate &update, absl::Time now);
  void recordReportedConfig(uint64_t version, absl::Time now);
  void recordStoreAnswers(const NodeUpdate &update, absl::Time now);
  /// Reads the store or asks the sender if this node is behind it, and replies
  /// with the configuration if the sender asked for it.
  void catchUp(const NodeUpdate &update, absl::Time now);
  void sendToCell(const NodeUpdate &update);
  void sendToOtherCells(NodeUpdate update);
  void sendToHomeNodes(const std::string &key, NodeUpdate update);
  /// Returns an update with this node's identity and versions only.
  NodeUpdate makeNodeUpdate() const;
  void send(const std::string &address, std::string bytes);
  void flush();
  void flushWithin(absl::Duration time);
  asio::awaitable<void> sendHeartbeats();

  asio::io_context &Loop;
  core::platform::NodeEntry Self;
  PeerLinkHandlers Handlers;
  /// Null until start().
  std::unique_ptr<peer::PeerTransport> Transport;
  std::map<std::string, Peer> Peers;
  core::fleet::NodeRoster Roster;
  core::fleet::StoreWatchPolicy WatchPolicy;
  /// Newest version of the configuration that another node has reported.
  uint64_t ReportedConfig = 0;
  absl::Time ConfigReportedAt = absl::InfinitePast();
  core::fleet::CatchUp ConfigCatchUp;
  core::fleet::CatchUp BackendsCatchUp;
  core::fleet::CatchUp EvacuationsCatchUp;
  /// Addresses of the registered nodes in other cells.
  std::vector<std::string> OtherCellAddresses;
  /// Addresses of all registered nodes.
  std::vector<std::string> FleetAddresses;
  std::vector<core::relay::LoadUpdate> PendingLoadUpdates;
  std::vector<core::relay::CrashReport> PendingCrashes;
  std::set<std::string> PendingSoundParts;
  asio::steady_timer FlushTimer;
  asio::steady_timer HeartbeatTimer;
  absl::Time FlushAt = absl::InfiniteFuture();
  bool IsLeavingPending = false;
  bool IsQuarantinePending = false;
  bool AreLimitsPending = false;
  bool AreEvacuationsPending = false;
  bool Stopping = false;
};

} // namespace orioletally::drivers::relay

#endif

#ifndef ORIOLETALLY_DRIVERS_RELAY_PEER_LINK_H
#define ORIOLETALLY_DRIVERS_RELAY_PEER_LINK_H

#include "core/fleet/backend_entry.h"
#include "core/fleet/catch_up.h"
#include "core/fleet/follow_duty.h"
#include "core/fleet/node_roster.h"
#include "core/platform/fleet_source.h"
#include "core/relay/load_news.h"
#include "drivers/loop/asio_use.h"
#include "drivers/peer/peer_transport.h"
#include "drivers/relay/node_update.h"

#include <absl/time/time.h>
#include <boost/leaf.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace orioletally::drivers::relay {

/// What a PeerLink needs of the node and does for it. All are called on the
/// event loop.
struct PeerLinkHandlers {
  std::function<void(const core::relay::PromptNews &)> OnPeerLoadUpdate;
  std::function<void(const std::vector<std::string> &)> OnPeerLeaving;
  std::function<void(const std::string &)> OnPeerConfig;
  /// Changes of the backend servers, all those after a version.
  std::function<void(uint64_t since, std::vector<core::fleet::BackendChange>)>
      OnPeerBackendChanges;
  /// Reads a topic from the store.
  std::function<void(core::platform::FleetTopic)> Refresh;
  /// When the store last told this node about a topic.
  std::function<absl::Time(core::platform::FleetTopic)> StoreAnsweredAt;
  /// Version up to which all changes of the backend servers are known.
  std::function<uint64_t()> BackendsAppliedVersion;
  /// Version of the newest change of the backend servers.
  std::function<uint64_t()> NewestBackendChange;
  std::function<uint64_t()> ConfigVersion;
  std::function<std::string()> ConfigText;
  std::function<std::vector<std::string>()> Leaving;
};

/// Tells the other nodes of the cell what this one sends to engines, how the
/// list of backend servers changes, which of them leave and which configuration
/// it has, and hears the same of them. What concerns placement goes out within
/// a few milliseconds; everything may be lost.
class PeerLink {
public:
  PeerLink(asio::io_context &loop, core::platform::NodeEntry self,
           PeerLinkHandlers handlers);

  /// Binds the address and begins to talk to those that know \p key, 40
  /// characters of Z85, too. Fails with a drivers::peer::TransportError.
  boost::leaf::result<void> start(const std::string &key);
  void stop();

  /// Tells the others of \p news soon.
  void announceLoadUpdate(const core::relay::PromptNews &update);

  /// Tells the others of leaving backend servers soon.
  void announceLeaving();

  /// Tells the others of a configuration soon, if they count on this node.
  void announceConfig();

  /// Tells the others of changes that the store told this node of: all those
  /// after \p since.
  void announceBackendChanges(
      uint64_t since, const std::vector<core::fleet::BackendChange> &changes);

  /// Takes in the nodes that have registered themselves; \p cell names those of
  /// this node's cell, none when that isn't known.
  void nodesRead(const std::vector<core::platform::NodeEntry> &nodes,
                 const std::vector<std::string> &cell, absl::Time now);

  /// Whether this node is to follow \p topic at the store itself.
  bool mustFollow(core::platform::FleetTopic topic, absl::Time now) const {
    return WatchPolicy.mustFollow(topic, Handlers.StoreAnsweredAt(topic), now);
  }

  /// Registered nodes that this one should take off the list.
  std::vector<core::platform::NodeEntry> expiredNodes(absl::Time now) const {
    return Roster.gone(now);
  }

  /// Connections of strangers that were turned away.
  uint64_t strangers() const {
    return Transport == nullptr ? 0 : Transport->counts().Strangers.load();
  }

private:
  struct Peer {
    std::string Address;
    uint64_t Incarnation = 0;
    absl::Time LastSeenAt;
    bool IsContacted = false;
  };

  void receive(const std::string &bytes);
  void updatePeer(const NodeUpdate &update, absl::Time now);
  void catchUp(const NodeUpdate &update, absl::Time now);
  void sendToCell(const NodeUpdate &update);
  /// News that say who sends them and what it knows.
  NodeUpdate makeNodeUpdate() const;
  void send(const std::string &address, std::string bytes);
  void flush();
  void flushWithin(absl::Duration time);
  asio::awaitable<void> sendHeartbeats();

  asio::io_context &Loop;
  core::platform::NodeEntry Self;
  PeerLinkHandlers Handlers;
  /// Null until the key is known.
  std::unique_ptr<peer::PeerTransport> Transport;
  std::map<std::string, Peer> Peers;
  core::fleet::NodeRoster Roster;
  core::fleet::FollowDuty WatchPolicy;
  core::fleet::CatchUp ConfigCatchUp;
  core::fleet::CatchUp BackendsCatchUp;
  std::vector<core::relay::PromptNews> PendingLoadUpdates;
  asio::steady_timer FlushTimer;
  asio::steady_timer HeartbeatTimer;
  absl::Time FlushAt = absl::InfiniteFuture();
  bool IsLeavingPending = false;
  bool Stopping = false;
};

} // namespace orioletally::drivers::relay

#endif

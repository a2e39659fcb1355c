#ifndef ORIOLETALLY_DRIVERS_RELAY_PEER_LINK_H
#define ORIOLETALLY_DRIVERS_RELAY_PEER_LINK_H

#include "core/fleet/node_roster.h"
#include "core/platform/fleet_source.h"
#include "core/relay/load_news.h"
#include "drivers/loop/asio_use.h"
#include "drivers/peer/peer_transport.h"

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
  std::function<void(const core::relay::PromptNews &)> TakePrompt;
  std::function<void(const std::vector<std::string> &)> TakeLeaving;
  std::function<void(const std::string &)> TakeConfig;
  std::function<void(size_t nodes)> NodesChanged;
  std::function<uint64_t()> ConfigVersion;
  std::function<std::string()> ConfigText;
  std::function<std::vector<std::string>()> Leaving;
};

/// Tells the other nodes what this one sends to engines, which backend servers
/// leave and which configuration it has, and hears the same of them. What
/// concerns placement goes out within a few milliseconds; everything may be
/// lost.
class PeerLink {
public:
  PeerLink(asio::io_context &loop, core::platform::NodeEntry self,
           PeerLinkHandlers handlers);

  /// Binds the address and begins to talk to those that know \p key, 40
  /// characters of Z85, too. Fails with a drivers::peer::TransportError.
  boost::leaf::result<void> start(const std::string &key);
  void stop();

  /// Tells the others of \p news soon.
  void tell(const core::relay::PromptNews &news);

  /// Tells the others of leaving backend servers or a configuration soon.
  void tellFleet();

  /// Takes in the nodes that have registered themselves.
  void nodesRead(const std::vector<core::platform::NodeEntry> &nodes,
                 absl::Time now);

  /// Registered nodes that this one should take off the list.
  std::vector<core::platform::NodeEntry> gone(absl::Time now) const {
    return Roster.gone(now);
  }

  /// Connections of strangers that were turned away.
  uint64_t strangers() const {
    return Transport == nullptr ? 0 : Transport->counts().Strangers.load();
  }

  /// Nodes heard of lately, this one included.
  size_t nodes(absl::Time now) const;

private:
  struct Peer {
    std::string Address;
    uint64_t Incarnation = 0;
    absl::Time KnownAt;
    bool IsHeard = false;
  };

  void receive(const std::string &bytes);
  void send(const std::string &address, std::string bytes);
  void flush();
  void flushWithin(absl::Duration time);
  asio::awaitable<void> beat();

  asio::io_context &Loop;
  core::platform::NodeEntry Self;
  PeerLinkHandlers Handlers;
  /// Null until the key is known.
  std::unique_ptr<peer::PeerTransport> Transport;
  std::map<std::string, Peer> Peers;
  core::fleet::NodeRoster Roster;
  std::vector<core::relay::PromptNews> Pending;
  asio::steady_timer Flush;
  asio::steady_timer Beat;
  absl::Time FlushAt = absl::InfiniteFuture();
  bool IsFleetPending = false;
  bool Stopping = false;
};

} // namespace orioletally::drivers::relay

#endif

#ifndef ORIOLETALLY_DRIVERS_PEER_PEER_SERVICE_H
#define ORIOLETALLY_DRIVERS_PEER_PEER_SERVICE_H

#include "core/membership/failure_detector.h"
#include "drivers/peer/peer_transport.h"

#include <absl/container/flat_hash_set.h>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace orioletally::drivers::peer {

/// Callbacks of a PeerService to its node. They are called on threads of the
/// service and must not block for long.
struct PeerHandlers {
  /// Applies profiles in their stored form, received from another node.
  std::function<void(const core::membership::ProfileRecords &)> OnPeerProfiles;
  /// Returns the profiles that are newer than revision \p after.
  std::function<core::membership::ProfileRecords(uint64_t after)> ProfilesAfter;
  /// Returns the ids of all backend servers known to be leaving.
  std::function<std::vector<std::string>()> LeavingBackendIds;
  /// Marks backend servers as leaving; returns the ids that weren't marked yet.
  std::function<std::vector<std::string>(const std::vector<std::string> &)>
      OnPeerLeavingBackends;
  /// Applies load reports that another node received from engines.
  std::function<void(const core::membership::EngineLoads &)> OnPeerEngineLoads;
  /// Accounts for a request that another node submitted to an engine.
  std::function<void(const core::membership::Dispatch &)> OnPeerDispatch;
};

/// Maintains this node's view of the other entry nodes and exchanges messages
/// with them: membership, profiles, confirmations, leaving backend servers and
/// the load of engines. Any message may be lost.
class PeerService {
public:
  PeerService(core::membership::Member self,
              const core::membership::DetectorSettings &detector,
              const TransportSettings &transport, PeerHandlers handlers);
  ~PeerService();
  PeerService(const PeerService &) = delete;
  PeerService &operator=(const PeerService &) = delete;

  /// Binds the address and starts probing the other nodes. Fails with a
  /// TransportError.
  boost::leaf::result<void> start();

  /// Tells a few random nodes that this one is leaving, then stops.
  void stop();

  /// Adds a node, "ip:port", to join through.
  void addSeed(const std::string &address);

  /// Sets the revision and the hash of the profiles that this node uses. Like
  /// the two below, this is published in all further messages.
  void announceProfiles(uint64_t revision, uint64_t hash);
  void announceDraining();
  void announceHttpAddress(const std::string &address);

  /// Sends \p records to a few random nodes. Each node to which they are new
  /// does the same, if they ask for confirmations.
  void gossipProfiles(const core::membership::ProfileRecords &records);

  /// Sends the ids of leaving backend servers to a few random nodes, each of
  /// which forwards the ids that are new to it.
  void gossipLeaving(const std::vector<std::string> &ids);

  /// Sends load reports to the other nodes of this availability zone, or of the
  /// whole region while that is small.
  void shareLoads(const core::membership::EngineLoads &loads);

  /// Tells the same nodes about a submitted request. While there are many of
  /// them, only requests with a long prompt are sent.
  void shareDispatch(const core::membership::Dispatch &dispatch);

  /// Sends \p records directly to the named nodes.
  void sendTo(const std::vector<std::string> &names,
              const core::membership::ProfileRecords &records);

  /// Asks a few random nodes for the profiles that are newer than revision
  /// \p after and for the backend servers they know to be leaving.
  void requestProfiles(uint64_t after);

  core::membership::Member self() const;
  /// Returns all other known members, including dead ones.
  std::vector<core::membership::MemberView> members() const;
  /// Returns how long a member has had its status; 0 when it is unknown.
  absl::Duration statusAge(std::string_view name, absl::Time now) const;
  /// Whether this node is the first by name of the alive nodes in its zone.
  bool isZoneLeader() const;
  /// Whether the other nodes know this one; see FailureDetector::hasJoined().
  bool hasJoined() const;

  /// Waits until another node sends a message that may update the members, for
  /// at most \p timeout.
  void waitForUpdates(absl::Duration timeout);

  const std::string &address() const { return Transport.address(); }
  const TransportCounts &counts() const { return Transport.counts(); }

private:
  void run();
  void sendLeave();
  void receive(std::string_view bytes);
  void handle(const core::membership::PeerMessage &message,
              const core::membership::ProfileRequest &body);
  void handle(const core::membership::PeerMessage &message,
              const core::membership::ProfileRecords &body);
  void handle(const core::membership::PeerMessage &message,
              const core::membership::LeavingBackends &body);
  void handle(const core::membership::PeerMessage &message,
              const core::membership::EngineLoads &body);
  /// All other kinds are handled by the failure detector.
  template <typename Body>
  void handle(const core::membership::PeerMessage &, const Body &) {}
  /// Returns the addresses of the nodes that receive engines' load.
  std::vector<std::string> engineLoadPeers() const;
  /// Requests the profiles that the sender \p from has and this node lacks.
  void catchUp(const core::membership::Member &from);
  void send(const std::vector<core::membership::OutgoingMessage> &messages);
  void sendBody(const std::string &address, core::membership::PeerBody body);
  void sendToRandom(const core::membership::PeerBody &body);

  PeerHandlers Handlers;
  mutable std::mutex Guard;
  std::condition_variable Changed;
  uint64_t UpdateCount = 0;
  core::membership::FailureDetector Detector;
  absl::Duration TickInterval;
  bool Stopping = false;
  PeerTransport Transport;
  std::thread Ticker;
};

} // namespace orioletally::drivers::peer

#endif

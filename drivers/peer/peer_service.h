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

/// What the rest of the node does about news from other nodes. All are called
/// from threads of the service, and none may block for long.
struct PeerHandlers {
  /// Takes profiles in stored form; returns the revision now in force.
  std::function<void(const core::membership::ProfileRecords &)> OnPeerProfiles;
  /// Returns the profiles newer than a revision.
  std::function<core::membership::ProfileRecords(uint64_t after)> ProfilesAfter;
  /// Returns every backend server known to be leaving.
  std::function<std::vector<std::string>()> LeavingBackendIds;
  /// Takes marks of leaving backend servers; returns those that were news.
  std::function<std::vector<std::string>(const std::vector<std::string> &)>
      OnPeerLeavingBackends;
  /// Takes load reports that another node of the zone was told.
  std::function<void(const core::membership::EngineLoads &)> OnPeerEngineLoads;
  /// Takes a submit of another node to an engine.
  std::function<void(const core::membership::Dispatch &)> OnPeerDispatch;
};

/// The entry nodes as one node knows them, and what they tell each other:
/// membership, profiles, confirmations and leaving backend servers.
class PeerService {
public:
  PeerService(core::membership::Member self,
              const core::membership::DetectorSettings &detector,
              const TransportSettings &transport, PeerHandlers handlers);
  ~PeerService();
  PeerService(const PeerService &) = delete;
  PeerService &operator=(const PeerService &) = delete;

  boost::leaf::result<void> start();

  /// Tells a few nodes that this one leaves, and stops.
  void stop();

  void addSeed(const std::string &address);

  /// States what this node has in force, in all that it sends from now on.
  void announceProfiles(uint64_t revision, uint64_t hash);
  void announceDraining();
  void announceHttpAddress(const std::string &address);

  /// Passes \p records to a few nodes, each of which passes them on once.
  void gossipProfiles(const core::membership::ProfileRecords &records);
  void gossipLeaving(const std::vector<std::string> &ids);

  /// Tells the other nodes of this availability zone, or of the region while
  /// it is small, about engines' load.
  void shareLoads(const core::membership::EngineLoads &loads);

  /// Tells the same nodes of a submit.
  void shareDispatch(const core::membership::Dispatch &dispatch);

  /// Sends \p records straight to the named nodes.
  void sendTo(const std::vector<std::string> &names,
              const core::membership::ProfileRecords &records);

  /// Asks a few random nodes for profiles newer than \p after and for its marks
  /// of leaving backend servers.
  void requestProfiles(uint64_t after);

  core::membership::Member self() const;
  std::vector<core::membership::MemberView> members() const;
  absl::Duration statusAge(std::string_view name, absl::Time now) const;
  bool isZoneLeader() const;
  /// Whether the other nodes know this one, see FailureDetector::hasJoined().
  bool hasJoined() const;

  /// Waits until members' statements have changed, or for \p bound.
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
  /// The rest is the failure detector's.
  template <typename Body>
  void handle(const core::membership::PeerMessage &, const Body &) {}
  /// Addresses of the nodes that are told every detail of engines' load.
  std::vector<std::string> engineLoadPeers() const;
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

#ifndef ORIOLETALLY_DRIVERS_GATEWAY_PROFILE_SYNC_H
#define ORIOLETALLY_DRIVERS_GATEWAY_PROFILE_SYNC_H

#include "core/membership/peer_message.h"
#include "core/profiles/profile_store.h"
#include "drivers/gateway/profile_view.h"
#include "drivers/metrics/node_metrics.h"
#include "drivers/peer/peer_service.h"

#include <atomic>
#include <mutex>

namespace orioletally::drivers::gateway {

/// Keeps this node's profiles up to date, from the table and from its peers.
/// It catches up from the log where it can and takes a snapshot where it must,
/// and its log lines name the one that was really used: "To SST or Not To SST"
/// reports how a log that names the other one misleads its readers.
class ProfileSync {
public:
  ProfileSync(core::platform::TableService &table, ProfileView &view,
              metrics::NodeMetrics &nodeMetrics);

  /// Set once the peers run; before, nothing is announced.
  void setPeers(peer::PeerService *peers) { Peers = peers; }

  /// Reads what is new from the table; false when the table can't be reached
  /// or read. Calls from several threads take turns.
  bool refreshFromTable();

  /// Asks a peer for its profiles and, once this node has the highest revision
  /// that any live peer states, lets it serve although the table is down.
  void loadFromPeers();

  /// The revision in force here.
  uint64_t revision() const { return View.current()->revision(); }

  /// Takes a change that this node committed itself.
  void applyCommitted(const core::profiles::Profile &profile);

  /// Takes profiles from a peer.
  void applyRecords(const core::membership::ProfileRecords &records);

  /// Gives what is newer than \p after.
  core::membership::ProfileRecords recordsAfter(uint64_t after) const;

  /// How often a peer has given records; shows that one is within reach.
  uint64_t peerReplyCount() const { return PeerReplyCount; }

private:
  bool catchUp(uint64_t head);
  bool loadSnapshot();
  void merge(const std::vector<core::profiles::Profile> &profiles,
             std::optional<uint64_t> completeTo);

  core::profiles::ProfileStore Store;
  ProfileView &View;
  metrics::NodeMetrics &Metrics;
  peer::PeerService *Peers = nullptr;
  std::mutex RefreshGuard;
  std::atomic<uint64_t> PeerReplyCount = 0;
};

} // namespace orioletally::drivers::gateway

#endif

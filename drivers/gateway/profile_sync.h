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

/// Keeps this node's profiles up to date from the table service and from peers.
/// It catches up from the table's log if it isn't too far behind, and loads a
/// snapshot otherwise. Log lines name the method that was actually used. The
/// report "To SST or Not To SST" describes how a log that names the other
/// method misleads its readers.
class ProfileSync {
public:
  ProfileSync(core::platform::TableService &table, ProfileView &view,
              metrics::NodeMetrics &nodeMetrics);

  /// Sets the service that announces new revisions. Until it is set, nothing is
  /// announced.
  void setPeers(peer::PeerService *peers) { Peers = peers; }

  /// Reads new revisions from the table; returns false if the table can't be
  /// reached or a row can't be read. Calls from several threads are serialized.
  bool refreshFromTable();

  /// Does nothing once profiles are loaded. Until then, requests profiles from
  /// peers, and marks them as loaded without the table once this node has the
  /// highest revision that any live peer announces.
  void loadFromPeers();

  /// The revision of the profiles in force on this node.
  uint64_t revision() const { return View.current()->revision(); }

  /// Applies a change that this node committed itself.
  void applyCommitted(const core::profiles::Profile &profile);

  /// Applies profiles received from a peer.
  void applyRecords(const core::membership::ProfileRecords &records);

  /// Returns the profiles newer than revision \p after.
  core::membership::ProfileRecords recordsAfter(uint64_t after) const;

  /// Number of readable record messages received from peers; an increase shows
  /// that a peer is reachable.
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

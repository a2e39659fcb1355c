#ifndef ORIOLETALLY_CORE_FLEET_COLD_LIMIT_H
#define ORIOLETALLY_CORE_FLEET_COLD_LIMIT_H

#include "core/fleet/cell_reach.h"
#include "core/fleet/warm_up.h"

#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>

namespace orioletally::core::fleet {

/// This node's part in the limits on cold backend servers.
struct ColdShare {
  /// The cell's share of the limit, from 0 to 1.
  double Cell = 1;
  /// Registered nodes of the cell and this node's position among them; 0 nodes
  /// while they are unknown.
  size_t Nodes = 0;
  size_t Position = 0;
  /// Different on each node.
  uint64_t Seed = 0;
};

/// The limit on the requests of one cold backend server, kept without a
/// coordinator.
///
/// A node that hears at least half of its cell uses a token bucket that counts
/// the requests of all nodes of the cell. Since a node learns of the others'
/// requests with a delay, the nodes don't all use a token at the same moment:
/// each needs a random number of tokens, drawn anew for each request and each
/// slice of time, so that the share of nodes that may send grows with the
/// bucket's content. A node that hears less sends at most one request in each
/// of its own time slots, which the nodes have in turn and can't save up.
class ColdLimit {
public:
  void setPolicy(const ColdPolicy &policy) { Policy = policy; }
  void setShare(const ColdShare &share) { Share = share; }

  /// What is known of the backend server's cold phase.
  WarmUp &phase() { return Phase; }

  absl::Time coldUntil() const { return Phase.coldUntil(Policy); }
  bool isCold(absl::Time now) const { return now < coldUntil(); }

  /// When this node may send the next request: infinite past for now. A later
  /// time is an estimate, since it depends on the other nodes.
  absl::Time nextSendAt(const CellView &cell, absl::Time now) const;

  /// Records a request or a helper's part that this node (\p isOwn) or another
  /// node of the cell sends.
  void recordSend(const CellView &cell, bool isOwn, absl::Time now);

  /// Requests a second that one of the cell's nodes may send on average.
  double ratePerNode(const CellView &cell) const;

private:
  /// Requests a second of the cell.
  double rate() const;
  /// Tokens by which the needed number differs at most between nodes.
  double spread() const;
  /// Share of the nodes that may send when the bucket is full.
  double maxOpenShare(size_t nodes) const;
  /// When the bucket held nothing or will have paid off its debt.
  absl::Time emptyAt(const CellView &cell, absl::Time now) const;
  absl::Time nextSharedSendAt(const CellView &cell, absl::Time now) const;
  absl::Time nextSlotAt(size_t nodes, absl::Time now) const;
  absl::Duration slotInterval(size_t nodes) const;
  /// When slot 0 of this node begins.
  absl::Time firstSlotAt(size_t nodes) const;
  int64_t slotNumber(size_t nodes, absl::Time now) const;
  /// A number from 0 to below 1.
  double draw(absl::Time now) const;

  ColdPolicy Policy;
  ColdShare Share;
  WarmUp Phase;
  absl::Time EmptyAt = absl::InfinitePast();
  /// Number of recorded requests.
  uint64_t Sends = 0;
  int64_t LastOwnSlot = -1;
};

} // namespace orioletally::core::fleet

#endif

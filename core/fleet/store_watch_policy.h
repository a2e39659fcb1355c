#ifndef ORIOLETALLY_CORE_FLEET_STORE_WATCH_POLICY_H
#define ORIOLETALLY_CORE_FLEET_STORE_WATCH_POLICY_H

#include "core/platform/fleet_topic.h"

#include <absl/time/time.h>
#include <array>
#include <map>
#include <string>
#include <vector>

namespace orioletally::core::fleet {

/// Decides whether this node follows the store itself or hears of changes from
/// the nodes of its cell that do. The first few of each cell follow, by an
/// order that all of them share; one that the store hasn't answered lately
/// doesn't count. Places that are free are tried for in turns, of which each
/// node draws its own, so that a cell makes no more tries than it needs.
///
/// Load answered: hundreds of nodes that each wait for every change at the
/// store; followers that are cut off, frozen, or turned away by the store while
/// it serves others; and a store that is down for all, where each node would
/// try again every second.
class StoreWatchPolicy {
public:
  /// A cell of up to this many nodes has only followers.
  static constexpr size_t SmallCellNodes = 8;
  /// WatchersPerCell of a larger cell: all but one may be lost at once.
  static constexpr size_t WatchersPerCell = 4;
  /// A node that says nothing for this long can't be relied upon; nodes say
  /// something every second.
  static constexpr absl::Duration PeerTimeout = absl::Milliseconds(2500);
  /// The newest answer of the store that a node of the cell had must not be
  /// older: a follower's waiting call lasts up to 1.5 s, its news 1 s.
  static constexpr absl::Duration StoreAnswerMaxAge = absl::Milliseconds(2800);
  /// Length of a turn. As many nodes as places are free try in each, so that
  /// some node has news of the store's return within about a second.
  static constexpr absl::Duration RetrySlot = absl::Milliseconds(500);

  explicit StoreWatchPolicy(std::string self) : Self(std::move(self)) {}

  /// Sets the nodes of this node's cell, itself included.
  void setCell(const std::vector<std::string> &members);

  /// \p name said something.
  void recordMessage(const std::string &name, absl::Time now);

  /// \p name had an answer of the store about \p topic at \p at.
  void recordStoreAnswer(const std::string &name, platform::FleetTopic topic,
                         absl::Time at);

  /// Whether this node, which had an answer of the store about \p topic at
  /// \p ownAnsweredAt, is to follow the topic itself.
  bool shouldWatchStore(platform::FleetTopic topic, absl::Time ownAnsweredAt,
                        absl::Time now) const;

private:
  struct Peer {
    uint64_t Hash = 0;
    absl::Time LastReceivedAt = absl::InfinitePast();
    std::array<absl::Time, platform::FleetTopicCount> AnsweredAt;
  };

  /// How the other nodes of the cell stand with one topic.
  struct WatchCounts {
    size_t Watching = 0;
    size_t WatchingBefore = 0;
    size_t NotWatching = 0;
  };

  WatchCounts countWatchers(platform::FleetTopic topic, absl::Time now) const;
  bool isDrawnToRetry(size_t places, size_t nodes, platform::FleetTopic topic,
                      absl::Time now) const;

  std::string Self;
  uint64_t SelfHash = 0;
  std::map<std::string, Peer> Peers;
};

} // namespace orioletally::core::fleet

#endif

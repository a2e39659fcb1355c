#ifndef ORIOLETALLY_CORE_FLEET_STORE_WATCH_POLICY_H
#define ORIOLETALLY_CORE_FLEET_STORE_WATCH_POLICY_H

#include "core/platform/fleet_topic.h"

#include <absl/time/time.h>
#include <array>
#include <map>
#include <string>
#include <vector>

namespace orioletally::core::fleet {

/// Decides whether this node watches the store itself or receives changes from
/// the watchers in its cell. The watchers are the first few nodes of the cell
/// by the hash of their names, not counting nodes that the store hasn't
/// answered lately. While there are too few, time is divided into slots and in
/// each slot a pseudorandom choice by node and slot decides who tries to watch;
/// on average as many nodes try as watchers are missing.
///
/// This limits the load on the store when there are hundreds of nodes, replaces
/// watchers that are partitioned, frozen, or rejected by a store that serves
/// others, and keeps nodes from all retrying every second while the store is
/// down.
class StoreWatchPolicy {
public:
  /// In a cell of up to this many nodes all of them watch.
  static constexpr size_t SmallCellNodes = 8;
  /// Number of watchers in a larger cell; all but one may fail at the same
  /// time.
  static constexpr size_t WatchersPerCell = 4;
  /// A node that has sent nothing for this long isn't counted; nodes send a
  /// message at least every second.
  static constexpr absl::Duration PeerTimeout = absl::Milliseconds(2500);
  /// A node whose last answer from the store is older than this isn't counted
  /// as a watcher. A long poll waits up to 1.5 s, and its result may take
  /// another 1 s to reach the cell.
  static constexpr absl::Duration StoreAnswerMaxAge = absl::Milliseconds(2800);
  /// Length of a slot in which missing watchers are replaced. At this length
  /// some node notices within about a second that the store answers again.
  static constexpr absl::Duration RetrySlot = absl::Milliseconds(500);

  explicit StoreWatchPolicy(std::string self) : Self(std::move(self)) {}

  /// Sets the nodes of this node's cell, itself included.
  void setCell(const std::vector<std::string> &members);

  /// Records that a message from the node \p name arrived.
  void recordMessage(const std::string &name, absl::Time now);

  /// Records a report of the node \p name that the store last answered it about
  /// \p topic at \p at.
  void recordStoreAnswer(const std::string &name, platform::FleetTopic topic,
                         absl::Time at);

  /// Returns whether this node should watch \p topic at the store, which last
  /// answered it about the topic at \p ownAnsweredAt.
  bool shouldWatchStore(platform::FleetTopic topic, absl::Time ownAnsweredAt,
                        absl::Time now) const;

private:
  struct Peer {
    uint64_t Hash = 0;
    absl::Time LastReceivedAt = absl::InfinitePast();
    std::array<absl::Time, platform::FleetTopicCount> AnsweredAt;
  };

  /// The reachable other nodes of the cell, by whether they watch one topic.
  /// WatchingBefore counts the watchers whose hash is lower than this node's.
  struct WatchCounts {
    size_t Watching = 0;
    size_t WatchingBefore = 0;
    size_t NotWatching = 0;
  };

  WatchCounts countWatchers(platform::FleetTopic topic, absl::Time now) const;
  bool isDrawnToRetry(size_t missing, size_t candidates,
                      platform::FleetTopic topic, absl::Time now) const;

  std::string Self;
  uint64_t SelfHash = 0;
  std::map<std::string, Peer> Peers;
};

} // namespace orioletally::core::fleet

#endif

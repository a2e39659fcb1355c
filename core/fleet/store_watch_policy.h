#ifndef ORIOLETALLY_CORE_FLEET_STORE_WATCH_POLICY_H
#define ORIOLETALLY_CORE_FLEET_STORE_WATCH_POLICY_H

#include "core/platform/fleet_topic.h"

#include <absl/time/time.h>
#include <array>
#include <map>
#include <string>
#include <vector>

namespace orioletally::core::fleet {

/// When a node's latest calls of the store about one topic ended; infinite past
/// for never.
struct StoreCallTimes {
  absl::Time AnsweredAt = absl::InfinitePast();
  absl::Time FailedAt = absl::InfinitePast();
};

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
///
/// A node doesn't depend on the watchers, though: it is current as of the
/// newest store answer, its own or a peer's, after which it lacked nothing that
/// the peer had. Without such an answer for CurrentMaxAge it reads the store
/// itself, whatever has become of the others.
class StoreWatchPolicy {
public:
  /// In a cell of up to this many nodes all of them watch.
  static constexpr size_t SmallCellNodes = 8;
  /// Number of watchers in a larger cell.
  static constexpr size_t WatchersPerCell = 2;
  /// Longest long poll of the watchers in a larger cell. Each answer shows all
  /// nodes of the cell that they are current.
  static constexpr absl::Duration SharedPollTime = absl::Milliseconds(750);
  /// A node that has sent nothing for this long isn't counted; nodes send a
  /// message at least every second.
  static constexpr absl::Duration PeerTimeout = absl::Milliseconds(2500);
  /// A node whose last answer from the store is older than this isn't counted
  /// as a watcher. The result of a long poll may take a second to reach the
  /// cell.
  static constexpr absl::Duration StoreAnswerMaxAge = absl::Milliseconds(2000);
  /// Length of a slot in which missing watchers are replaced. At this length
  /// some node notices within about a second that the store answers again.
  static constexpr absl::Duration RetrySlot = absl::Milliseconds(500);
  /// A node that hasn't been current for this long reads the store. More than
  /// SharedPollTime and the way of an answer through the cell.
  static constexpr absl::Duration CurrentMaxAge = absl::Milliseconds(1100);
  /// Nodes read in groups, each twice as large as the one before and this much
  /// later, so that the answers to the first group spare the others theirs.
  static constexpr absl::Duration ReadStagger = absl::Milliseconds(100);
  static constexpr size_t FirstGroupNodes = 4;
  /// Longest delay of a group; with CurrentMaxAge and one read, less than the
  /// time within which a change must be in force (2 s).
  static constexpr absl::Duration MaxReadDelay = absl::Milliseconds(400);
  /// A read that took longer than this was slow.
  static constexpr absl::Duration SlowAnswerTime = absl::Milliseconds(500);
  /// Time from a read that failed or was slow until the next one, because a
  /// store in trouble gets them from every node. Less than the time for which
  /// the users' bounds don't hold after a trouble (3 s).
  static constexpr absl::Duration RetryInterval = absl::Milliseconds(2500);

  explicit StoreWatchPolicy(std::string self) : Self(std::move(self)) {}

  /// Sets the nodes of this node's cell, itself included.
  void setCell(const std::vector<std::string> &members);

  /// Records that a message from the node \p name arrived.
  void recordMessage(const std::string &name, absl::Time now);

  /// Records a report of the node \p name that the store last answered it about
  /// \p topic at \p at.
  void recordStoreAnswer(const std::string &name, platform::FleetTopic topic,
                         absl::Time at);

  /// Records that this node lacks nothing about \p topic that the store had at
  /// \p at, because it has all that a node has which the store answered then.
  void recordCurrent(platform::FleetTopic topic, absl::Time at);

  /// Returns when this node, which the store last answered about \p topic at
  /// \p ownAnsweredAt, last lacked nothing about it that the store had.
  absl::Time currentAt(platform::FleetTopic topic,
                       absl::Time ownAnsweredAt) const;

  /// Whether few nodes of the cell watch the store for all of them.
  bool isWatchShared() const { return Peers.size() >= SmallCellNodes; }

  /// Returns whether this node should watch \p topic at the store, which last
  /// answered it about the topic at \p ownAnsweredAt.
  bool shouldWatchStore(platform::FleetTopic topic, absl::Time ownAnsweredAt,
                        absl::Time now) const;

  /// Returns whether this node, whose calls of the store about \p topic ended
  /// at \p own, must now read the changes of the topic once, and records that
  /// it does. False for a node that watches the store.
  bool takeRead(platform::FleetTopic topic, const StoreCallTimes &own,
                absl::Time now);

  /// Whether takeRead() has begun a read of \p topic and not yet seen its end.
  bool isReading(platform::FleetTopic topic) const {
    return Topics[static_cast<size_t>(topic)].ReadingSince !=
           absl::InfinitePast();
  }

private:
  struct Peer {
    uint64_t Hash = 0;
    absl::Time LastReceivedAt = absl::InfinitePast();
    std::array<absl::Time, platform::FleetTopicCount> AnsweredAt;
  };

  /// The reachable other nodes of the cell, by whether they watch one topic.
  /// The counts "before" are of nodes whose hash is lower than this node's.
  struct WatchCounts {
    size_t Watching = 0;
    size_t WatchingBefore = 0;
    size_t NotWatching = 0;
    size_t NotWatchingBefore = 0;
  };

  /// What this node knows about one topic from others, and its reads of it.
  struct TopicState {
    absl::Time CurrentAt = absl::InfinitePast();
    /// When a read began that hasn't ended; infinite past for none.
    absl::Time ReadingSince = absl::InfinitePast();
    absl::Time NextReadAt = absl::InfinitePast();
  };

  WatchCounts countWatchers(platform::FleetTopic topic, absl::Time now) const;
  bool isDrawnToRetry(size_t missing, size_t candidates,
                      platform::FleetTopic topic, absl::Time now) const;
  absl::Duration readDelay(platform::FleetTopic topic, absl::Time now) const;
  static void endRead(TopicState &state, const StoreCallTimes &own);

  std::string Self;
  uint64_t SelfHash = 0;
  std::map<std::string, Peer> Peers;
  std::array<TopicState, platform::FleetTopicCount> Topics;
};

} // namespace orioletally::core::fleet

#endif

#include "core/fleet/store_watch_policy.h"

#include "core/fleet/name_hash.h"

#include <algorithm>

namespace orioletally::core::fleet {

void StoreWatchPolicy::setCell(const std::vector<std::string> &members) {
  SelfHash = nameHash(Self);
  std::map<std::string, Peer> fresh;
  for (const std::string &it : members) {
    if (it == Self)
      continue;
    const auto known = Peers.find(it);
    if (known != Peers.end()) {
      fresh.insert(*known);
      continue;
    }
    Peer peer;
    peer.Hash = nameHash(it);
    peer.AnsweredAt.fill(absl::InfinitePast());
    fresh.emplace(it, peer);
  }
  Peers = std::move(fresh);
}

void StoreWatchPolicy::recordMessage(const std::string &name, absl::Time now) {
  const auto it = Peers.find(name);
  if (it != Peers.end())
    it->second.LastReceivedAt = now;
}

void StoreWatchPolicy::recordStoreAnswer(const std::string &name,
                                         platform::FleetTopic topic,
                                         absl::Time at) {
  const auto it = Peers.find(name);
  if (it == Peers.end())
    return;
  absl::Time &known = it->second.AnsweredAt[static_cast<size_t>(topic)];
  known = std::max(known, at);
}

void StoreWatchPolicy::recordCurrent(platform::FleetTopic topic,
                                     absl::Time at) {
  absl::Time &known = Topics[static_cast<size_t>(topic)].CurrentAt;
  known = std::max(known, at);
}

absl::Time StoreWatchPolicy::currentAt(platform::FleetTopic topic,
                                       absl::Time ownAnsweredAt) const {
  return std::max(ownAnsweredAt, Topics[static_cast<size_t>(topic)].CurrentAt);
}

StoreWatchPolicy::WatchCounts
StoreWatchPolicy::countWatchers(platform::FleetTopic topic,
                                absl::Time now) const {
  WatchCounts result;
  for (const auto &[name, peer] : Peers) {
    if (now - peer.LastReceivedAt >= PeerTimeout)
      continue;
    if (now - peer.AnsweredAt[static_cast<size_t>(topic)] >=
        StoreAnswerMaxAge) {
      ++result.NotWatching;
      if (peer.Hash < SelfHash)
        ++result.NotWatchingBefore;
      continue;
    }
    ++result.Watching;
    if (peer.Hash < SelfHash)
      ++result.WatchingBefore;
  }
  return result;
}

bool StoreWatchPolicy::isDrawnToRetry(size_t missing, size_t candidates,
                                      platform::FleetTopic topic,
                                      absl::Time now) const {
  const std::array<uint64_t, 3> inputs = {
      SelfHash, static_cast<uint64_t>(topic),
      static_cast<uint64_t>((now - absl::UnixEpoch()) / RetrySlot)};
  const uint64_t draw = XXH3_64bits(inputs.data(), sizeof(inputs));
  return draw % candidates < missing;
}

bool StoreWatchPolicy::shouldWatchStore(platform::FleetTopic topic,
                                        absl::Time ownAnsweredAt,
                                        absl::Time now) const {
  if (!isWatchShared())
    return true;
  const WatchCounts counts = countWatchers(topic, now);
  if (now - ownAnsweredAt < StoreAnswerMaxAge)
    return counts.WatchingBefore < WatchersPerCell;
  return counts.Watching < WatchersPerCell &&
         isDrawnToRetry(WatchersPerCell - counts.Watching,
                        counts.NotWatching + 1, topic, now);
}

absl::Duration StoreWatchPolicy::readDelay(platform::FleetTopic topic,
                                           absl::Time now) const {
  absl::Duration delay;
  size_t groupEnd = FirstGroupNodes;
  size_t groupNodes = FirstGroupNodes;
  const size_t before = countWatchers(topic, now).NotWatchingBefore;
  while (before >= groupEnd && delay < MaxReadDelay) {
    delay += ReadStagger;
    groupNodes *= 2;
    groupEnd += groupNodes;
  }
  return delay;
}

void StoreWatchPolicy::endRead(TopicState &state, const StoreCallTimes &own) {
  const bool isQuick = own.AnsweredAt >= state.ReadingSince &&
                       own.AnsweredAt - state.ReadingSince <= SlowAnswerTime;
  if (!isQuick)
    state.NextReadAt = state.ReadingSince + RetryInterval;
  state.ReadingSince = absl::InfinitePast();
}

bool StoreWatchPolicy::takeRead(platform::FleetTopic topic,
                                const StoreCallTimes &own, absl::Time now) {
  TopicState &state = Topics[static_cast<size_t>(topic)];
  if (isReading(topic)) {
    if (std::max(own.AnsweredAt, own.FailedAt) < state.ReadingSince)
      return false;
    endRead(state, own);
  }
  const absl::Time current = currentAt(topic, own.AnsweredAt);
  // A node that was never current is still in its first read.
  const bool mayRead =
      current != absl::InfinitePast() && now >= state.NextReadAt;
  const absl::Duration age = now - current;
  if (!mayRead || age < CurrentMaxAge ||
      shouldWatchStore(topic, own.AnsweredAt, now) ||
      age < CurrentMaxAge + readDelay(topic, now))
    return false;
  state.ReadingSince = now;
  return true;
}

} // namespace orioletally::core::fleet

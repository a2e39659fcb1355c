#include "core/fleet/follow_duty.h"

#include "core/fleet/name_hash.h"

#include <algorithm>

namespace orioletally::core::fleet {

void FollowDuty::setCell(const std::vector<std::string> &members) {
  SelfOrder = nameHash(Self);
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
    peer.Order = nameHash(it);
    peer.FollowedAt.fill(absl::InfinitePast());
    fresh.emplace(it, peer);
  }
  Peers = std::move(fresh);
}

void FollowDuty::heard(const std::string &name, absl::Time now) {
  const auto it = Peers.find(name);
  if (it != Peers.end())
    it->second.HeardAt = now;
}

void FollowDuty::followed(const std::string &name, platform::FleetTopic topic,
                          absl::Time at) {
  const auto it = Peers.find(name);
  if (it == Peers.end())
    return;
  absl::Time &known = it->second.FollowedAt[static_cast<size_t>(topic)];
  known = std::max(known, at);
}

FollowDuty::Standing FollowDuty::standing(platform::FleetTopic topic,
                                          absl::Time now) const {
  Standing result;
  for (const auto &[name, peer] : Peers) {
    if (now - peer.HeardAt >= HeardBound)
      continue;
    if (now - peer.FollowedAt[static_cast<size_t>(topic)] >= FreshBound) {
      ++result.Stale;
      continue;
    }
    ++result.Fresh;
    if (peer.Order < SelfOrder)
      ++result.FreshBefore;
  }
  return result;
}

bool FollowDuty::hasTurn(size_t places, size_t nodes,
                         platform::FleetTopic topic, absl::Time now) const {
  const std::array<uint64_t, 3> drawn = {
      SelfOrder, static_cast<uint64_t>(topic),
      static_cast<uint64_t>((now - absl::UnixEpoch()) / Turn)};
  const uint64_t draw = XXH3_64bits(drawn.data(), sizeof(drawn));
  return draw % nodes < places;
}

bool FollowDuty::mustFollow(platform::FleetTopic topic,
                            absl::Time ownFollowedAt, absl::Time now) const {
  if (Peers.size() < AllFollow)
    return true;
  const Standing others = standing(topic, now);
  if (now - ownFollowedAt < FreshBound)
    return others.FreshBefore < Followers;
  return others.Fresh < Followers &&
         hasTurn(Followers - others.Fresh, others.Stale + 1, topic, now);
}

} // namespace orioletally::core::fleet

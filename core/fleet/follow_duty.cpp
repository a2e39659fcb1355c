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

bool FollowDuty::mustFollow(platform::FleetTopic topic, absl::Time now) const {
  if (Peers.size() < AllFollow)
    return true;
  const auto before =
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &it) {
        const Peer &peer = it.second;
        return peer.Order < SelfOrder && now - peer.HeardAt < HeardBound &&
               now - peer.FollowedAt[static_cast<size_t>(topic)] < FreshBound;
      });
  return static_cast<size_t>(before) < Followers;
}

} // namespace orioletally::core::fleet

#include "core/membership/acceptance.h"

#include <absl/algorithm/container.h>
#include <set>

namespace orioletally::core::membership {

namespace {

bool isListed(const ListedEntryNodes &listed, const std::string &name) {
  return listed.has_value() && absl::c_linear_search(*listed, name);
}

/// Returns whether the node may still be serving.
bool mayServe(const AgedMember &member, const ListedEntryNodes &listed) {
  switch (member.View.Status) {
  case MemberStatus::Alive:
  case MemberStatus::Suspect:
    return true;
  case MemberStatus::Left:
    return false;
  case MemberStatus::Dead:
    break;
  }
  // A dead node that isn't listed may be partitioned and have started after the
  // list was made. Once the list can't be that old, the node has gone.
  return !listed.has_value() || isListed(listed, member.View.Info.Name) ||
         member.StatusAge <= MaxVmListLag;
}

} // namespace

std::vector<std::string>
unconfirmedNodes(uint64_t revision, const std::string &self,
                 const std::vector<AgedMember> &members,
                 const ListedEntryNodes &listed) {
  std::set<std::string> waiting;
  if (listed.has_value())
    waiting.insert(listed->begin(), listed->end());
  for (const AgedMember &it : members) {
    const std::string &name = it.View.Info.Name;
    const bool isConfirmed = it.View.Info.ProfileRevision >= revision &&
                             it.View.Status != MemberStatus::Dead;
    if (isConfirmed || !mayServe(it, listed))
      waiting.erase(name);
    else
      waiting.insert(name);
  }
  waiting.erase(self);
  return {waiting.begin(), waiting.end()};
}

} // namespace orioletally::core::membership

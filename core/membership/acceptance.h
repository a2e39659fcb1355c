#ifndef ORIOLETALLY_CORE_MEMBERSHIP_ACCEPTANCE_H
#define ORIOLETALLY_CORE_MEMBERSHIP_ACCEPTANCE_H

#include "core/membership/member.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace orioletally::core::membership {

/// A member and for how long it has had its status.
struct AgedMember {
  MemberView View;
  absl::Duration StatusAge;
};

/// The entry VMs on the platform's list; empty before the first read.
using ListedEntryNodes = std::optional<std::vector<std::string>>;

/// How far the platform's list may lag behind the truth.
constexpr absl::Duration MaxVmListLag = absl::Seconds(60);

/// Returns the nodes that have yet to confirm \p revision before it counts as
/// accepted: all that are alive or suspect, all on the VM list, and the dead
/// ones for as long as the list may lag. A node that said goodbye doesn't
/// count. \p self is left out.
std::vector<std::string>
unconfirmedNodes(uint64_t revision, const std::string &self,
                 const std::vector<AgedMember> &members,
                 const ListedEntryNodes &listed);

} // namespace orioletally::core::membership

#endif

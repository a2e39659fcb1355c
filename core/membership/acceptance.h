#ifndef ORIOLETALLY_CORE_MEMBERSHIP_ACCEPTANCE_H
#define ORIOLETALLY_CORE_MEMBERSHIP_ACCEPTANCE_H

#include "core/membership/member.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace orioletally::core::membership {

/// A member and how long it has had its status.
struct AgedMember {
  MemberView View;
  absl::Duration StatusAge;
};

/// Names of the entry VMs on the platform's list; empty before the first read.
using ListedEntryNodes = std::optional<std::vector<std::string>>;

/// How out of date the platform's VM list can be.
constexpr absl::Duration MaxVmListLag = absl::Seconds(60);

/// Returns the nodes that still have to confirm \p revision before it counts as
/// accepted: all that are alive or suspect, all on the VM list, and dead ones
/// for as long as the list can be out of date. Nodes that announced their
/// departure and \p self are left out.
std::vector<std::string>
unconfirmedNodes(uint64_t revision, const std::string &self,
                 const std::vector<AgedMember> &members,
                 const ListedEntryNodes &listed);

} // namespace orioletally::core::membership

#endif

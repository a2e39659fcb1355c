#ifndef ORIOLETALLY_CORE_HOLDINGS_HOLDING_SWEEP_H
#define ORIOLETALLY_CORE_HOLDINGS_HOLDING_SWEEP_H

#include "core/backends/engine_client.h"
#include "core/membership/member.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::holdings {

/// The node and the run of it that own a holding.
struct HoldingOwner {
  std::string Node;
  uint64_t Incarnation = 0;
};

/// Writes an owner as engines are told it, such as "entry-1/1a23e8d0e93".
std::string formatOwner(const HoldingOwner &owner);

/// Reads an owner; empty when \p text isn't one.
std::optional<HoldingOwner> parseOwner(std::string_view text);

/// A stream whose reader has gone for this long may be released once its owner
/// is known to be lost. Until then the owner may be about to resume it.
constexpr absl::Duration DetachedTimeout = absl::Seconds(1);

/// Time past a stream's deadline after which it is released whoever owns it.
constexpr absl::Duration DeadlineGrace = absl::Seconds(1);

/// Returns the streams to release: those past their deadline, and those that
/// nobody reads and whose owner is dead, has left or has started anew. A
/// stream that is being read is never released before its deadline, however
/// dead its owner is believed to be. Release names the exact stream and is
/// idempotent, so that two sweepers do no harm.
std::vector<backends::StreamId>
streamsToRelease(const std::vector<backends::StreamHolding> &holdings,
                 const membership::Member &self,
                 const std::vector<membership::MemberView> &members);

/// Returns the node that watches \p backend: the one with the highest
/// rendezvous hash among \p nodes; empty when there are none. Of all nodes
/// with the same list the same one is returned, and when a node goes only its
/// own backend servers get another watcher.
std::string watcherOf(std::string_view backend,
                      const std::vector<std::string> &nodes);

} // namespace orioletally::core::holdings

#endif

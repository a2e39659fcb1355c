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

/// The owner of a StreamHolding: a node and the incarnation of its process.
struct HoldingOwner {
  std::string Node;
  uint64_t Incarnation = 0;
};

/// Formats an owner as it is sent to engines, such as "entry-1/1a23e8d0e93".
std::string formatOwner(const HoldingOwner &owner);

/// Parses an owner; returns an empty optional when \p text is invalid.
std::optional<HoldingOwner> parseOwner(std::string_view text);

/// How long a stream must have had no reader before it may be released because
/// its owner has gone. Until then the owner may be about to resume it.
constexpr absl::Duration DetachedTimeout = absl::Seconds(1);

/// Time after a stream's deadline at which it is released whoever owns it.
constexpr absl::Duration DeadlineGrace = absl::Seconds(1);

/// Returns the streams to release: those past their deadline, and those without
/// a reader whose owner is dead, has left or has restarted. A stream that is
/// being read is never released before its deadline, even if its owner is
/// considered dead. A release names one exact stream and is idempotent, so that
/// two nodes may release the same streams.
std::vector<backends::StreamId>
streamsToRelease(const std::vector<backends::StreamHolding> &holdings,
                 const membership::Member &self,
                 const std::vector<membership::MemberView> &members);

/// Returns the node that watches \p backend: the one of \p nodes with the
/// highest rendezvous hash; empty when there are none. All nodes that have the
/// same list get the same result, and when a node leaves, only the backend
/// servers that it watched get another watcher.
std::string watcherOf(std::string_view backend,
                      const std::vector<std::string> &nodes);

} // namespace orioletally::core::holdings

#endif

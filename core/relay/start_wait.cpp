#include "core/relay/start_wait.h"

#include <algorithm>

namespace orioletally::core::relay {

namespace {

/// The configuration and the list of backend servers take two reads of the
/// store; a store that takes longer than this for them is failing.
constexpr absl::Duration MaxStartupTime = absl::Milliseconds(500);
/// A call that has waited for longer than this share of its caller's timeout
/// has too little time left to be served.
constexpr double MaxWaitShare = 0.5;

} // namespace

absl::Time StartWait::waitUntil(absl::Time now,
                                absl::Duration callerTimeout) const {
  if (IsOver)
    return now;
  return std::min(StartedAt + MaxStartupTime,
                  now + MaxWaitShare * callerTimeout);
}

} // namespace orioletally::core::relay

#include "core/fleet/cold_returns.h"

#include <algorithm>

namespace orioletally::core::fleet {

namespace {

/// Time over which callers are spread that return after the cold phase.
constexpr absl::Duration WarmSpread = absl::Milliseconds(500);
constexpr absl::Duration MinDelay = absl::Milliseconds(50);
/// Callers that would have to wait longer for their turn don't return.
constexpr absl::Duration MaxAhead = absl::Seconds(3);

} // namespace

absl::Duration ColdReturns::next(const std::string &service, double rate,
                                 absl::Time first, absl::Time warmAt,
                                 double random, absl::Time now) {
  absl::Time &taken = TakenUntil[service];
  const absl::Time begin = std::max({taken, first, now});
  // The random offset keeps the callers of different nodes apart.
  const absl::Duration interval =
      rate > 0 ? absl::Seconds(1 / rate) : absl::InfiniteDuration();
  const absl::Time at = begin + random * interval;
  const absl::Time lastAt = warmAt + random * WarmSpread;
  if (at < warmAt)
    taken = std::min(begin + interval, now + MaxAhead);
  return std::max(std::min(at, lastAt) - now, MinDelay);
}

} // namespace orioletally::core::fleet

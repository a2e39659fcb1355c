#ifndef ORIOLETALLY_DRIVERS_GATEWAY_VIEW_FRESHNESS_H
#define ORIOLETALLY_DRIVERS_GATEWAY_VIEW_FRESHNESS_H

#include <absl/time/time.h>
#include <atomic>
#include <cstdint>

namespace orioletally::drivers::gateway {

/// Tracks whether this node's view of the fleet is fresh enough to act on. A
/// thread confirms it a few times a second. After a freeze of the process the
/// view is stale until it has been refreshed and confirmed again.
class ViewFreshness {
public:
  explicit ViewFreshness(absl::Duration maxAge) : MaxAge(maxAge) {}

  void confirm(absl::Time now) { LastConfirmed = absl::ToUnixMillis(now); }

  /// Whether the view was confirmed within its maximum age before \p now.
  bool isFresh(absl::Time now) const {
    return now - absl::FromUnixMillis(LastConfirmed) <= MaxAge;
  }

private:
  absl::Duration MaxAge;
  std::atomic<int64_t> LastConfirmed = 0;
};

} // namespace orioletally::drivers::gateway

#endif

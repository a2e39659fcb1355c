#ifndef ORIOLETALLY_DRIVERS_GATEWAY_VIEW_FRESHNESS_H
#define ORIOLETALLY_DRIVERS_GATEWAY_VIEW_FRESHNESS_H

#include <absl/time/time.h>
#include <atomic>
#include <cstdint>

namespace orioletally::drivers::gateway {

/// Tells whether this process has been running without a break, so that what
/// it knows of the fleet can be acted on. A loop touches it a few times a
/// second; after a gap it stays stale until the loop has refreshed its view.
class ViewFreshness {
public:
  explicit ViewFreshness(absl::Duration maxAge) : MaxAge(maxAge) {}

  void confirm(absl::Time now) { LastConfirmed = absl::ToUnixMillis(now); }

  /// Whether the view may be acted on at \p now.
  bool isFresh(absl::Time now) const {
    return now - absl::FromUnixMillis(LastConfirmed) <= MaxAge;
  }

private:
  absl::Duration MaxAge;
  std::atomic<int64_t> LastConfirmed = 0;
};

} // namespace orioletally::drivers::gateway

#endif

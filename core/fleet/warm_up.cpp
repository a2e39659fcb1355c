#include "core/fleet/warm_up.h"

namespace orioletally::core::fleet {

void WarmUp::recordStart(absl::Time now) {
  StartedAt = now;
  BeganAt = now;
}

void WarmUp::recordRemaining(absl::Duration remaining, absl::Time now) {
  if (remaining <= absl::ZeroDuration()) {
    StartedAt.reset();
    Until = absl::InfinitePast();
    return;
  }
  // A statement during a cold phase only corrects its end.
  if (now >= Until && !StartedAt.has_value())
    BeganAt = now;
  StartedAt.reset();
  Until = now + remaining;
}

absl::Time WarmUp::coldUntil(const ColdPolicy &policy) const {
  if (!policy.isEnabled())
    return absl::InfinitePast();
  return StartedAt.has_value() ? *StartedAt + policy.StartDuration : Until;
}

} // namespace orioletally::core::fleet

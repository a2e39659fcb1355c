#include "core/fleet/backend_health.h"

#include <algorithm>

namespace orioletally::core::fleet {

namespace {

/// Weight of the newest call in the failure share: about the last ten count.
constexpr double FailureWeight = 0.1;
/// Weight of the newest call in the pace.
constexpr double PaceWeight = 0.15;
constexpr double MaxPace = 8;
/// Time without new work after a first loss; doubles with each further one.
constexpr absl::Duration FirstClosed = absl::Milliseconds(500);
constexpr absl::Duration LongestClosed = absl::Seconds(4);
/// A trial that says nothing in this time makes room for the next one.
constexpr absl::Duration TrialBound = absl::Milliseconds(1000);
/// Losses after which the closed time stops doubling.
constexpr int MaxDoublings = 3;
/// Longest pause that is believed: a backend server that needs longer is
/// replaced, and a mistyped figure mustn't take one out for a day.
constexpr absl::Duration LongestPause = absl::Minutes(10);

} // namespace

void BackendHealth::observe(HealthSign sign, absl::Time now) {
  const bool isFailure = sign == HealthSign::Failed || sign == HealthSign::Lost;
  if (sign != HealthSign::Full)
    FailureShare += FailureWeight * ((isFailure ? 1.0 : 0.0) - FailureShare);
  if (sign != HealthSign::Lost) {
    LossesInARow = 0;
    IsReturning =
        IsReturning && (sign == HealthSign::Full || now < PausedUntil);
    ClosedUntil = absl::InfinitePast();
    return;
  }
  const int doublings = std::min(LossesInARow, MaxDoublings);
  ClosedUntil =
      std::max(ClosedUntil,
               now + std::min(LongestClosed, FirstClosed * (1 << doublings)));
  ++LossesInARow;
}

void BackendHealth::observePace(absl::Duration seen, absl::Duration predicted) {
  if (predicted <= absl::ZeroDuration())
    return;
  const double ratio =
      std::clamp(absl::FDivDuration(seen, predicted), 1.0, MaxPace);
  Pace += PaceWeight * (ratio - Pace);
}

void BackendHealth::pause(absl::Duration time, absl::Time now) {
  PausedUntil = std::max(PausedUntil, now + std::min(time, LongestPause));
  IsReturning = true;
}

bool BackendHealth::isOpen(absl::Time now) const {
  return now >= ClosedUntil && now >= PausedUntil;
}

void BackendHealth::sent(absl::Time now) {
  if (LossesInARow > 0 || IsReturning)
    ClosedUntil = std::max(ClosedUntil, now + TrialBound);
}

} // namespace orioletally::core::fleet

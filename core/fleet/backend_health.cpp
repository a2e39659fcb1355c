#include "core/fleet/backend_health.h"

#include <algorithm>

namespace orioletally::core::fleet {

namespace {

/// Weight of the newest call in FailureShare; about the last ten calls count.
constexpr double FailureWeight = 0.1;
/// Weight of the newest call in Slowdown.
constexpr double SlowdownWeight = 0.15;
constexpr double MaxSlowdown = 8;
/// Backoff after a first loss; doubles with each consecutive one.
constexpr absl::Duration InitialBackoff = absl::Milliseconds(500);
constexpr absl::Duration MaxBackoff = absl::Seconds(4);
/// Time after which a trial call without a result allows the next one.
constexpr absl::Duration TrialTimeout = absl::Milliseconds(1000);
/// Number of losses after which the backoff stops doubling.
constexpr int MaxDoublings = 3;
/// Longer pauses are cut to this: a backend server that needs longer is
/// replaced, and a mistyped value must not disable one for a day.
constexpr absl::Duration MaxPause = absl::Minutes(10);

} // namespace

void BackendHealth::observe(HealthSignal signal, absl::Time now) {
  const bool isFailure =
      signal == HealthSignal::Failed || signal == HealthSignal::Lost;
  if (signal != HealthSignal::Full)
    FailureShare += FailureWeight * ((isFailure ? 1.0 : 0.0) - FailureShare);
  if (signal != HealthSignal::Lost) {
    ConsecutiveLosses = 0;
    IsRecovering =
        IsRecovering && (signal == HealthSignal::Full || now < PausedUntil);
    BackoffUntil = absl::InfinitePast();
    return;
  }
  const int doublings = std::min(ConsecutiveLosses, MaxDoublings);
  BackoffUntil =
      std::max(BackoffUntil,
               now + std::min(MaxBackoff, InitialBackoff * (1 << doublings)));
  ++ConsecutiveLosses;
}

void BackendHealth::observeLatency(absl::Duration actual,
                                   absl::Duration predicted) {
  if (predicted <= absl::ZeroDuration())
    return;
  const double ratio =
      std::clamp(absl::FDivDuration(actual, predicted), 1.0, MaxSlowdown);
  Slowdown += SlowdownWeight * (ratio - Slowdown);
}

void BackendHealth::pause(absl::Duration time, absl::Time now) {
  PausedUntil = std::max(PausedUntil, now + std::min(time, MaxPause));
  IsRecovering = true;
}

bool BackendHealth::acceptsCalls(absl::Time now) const {
  return now >= BackoffUntil && now >= PausedUntil;
}

void BackendHealth::recordSend(absl::Time now) {
  if (ConsecutiveLosses > 0 || IsRecovering)
    BackoffUntil = std::max(BackoffUntil, now + TrialTimeout);
}

} // namespace orioletally::core::fleet

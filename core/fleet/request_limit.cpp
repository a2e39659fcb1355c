#include "core/fleet/request_limit.h"

#include <algorithm>

namespace orioletally::core::fleet {

namespace {

/// Used instead of lower limits, 0 included, because only an answer tells that
/// a limit has been lifted.
constexpr double MinPerSecond = 0.1;
/// An overdrawn bucket is full again after this time at the latest, even if
/// there was a burst before the limit was known.
constexpr absl::Duration MaxDebt = absl::Seconds(4);

} // namespace

bool RequestLimit::apply(const LimitStatement &statement, absl::Time now) {
  if (statement.StatedAt <= Newest.StatedAt)
    return false;
  const bool isChanged = statement.PerSecond != Newest.PerSecond;
  const bool wasActive = isActive();
  const absl::Duration oldInterval = interval();
  Newest = statement;
  if (!isChanged || !isActive() || Share <= 0)
    return isChanged;
  const double debt =
      wasActive
          ? std::max(0.0, absl::FDivDuration(RefilledAt - now, oldInterval))
          : 1;
  RefilledAt = now + std::min(debt * interval(), MaxDebt + interval());
  return true;
}

absl::Time RequestLimit::nextSendAt() const {
  if (!isActive())
    return absl::InfinitePast();
  return Share > 0 ? RefilledAt : absl::InfiniteFuture();
}

void RequestLimit::recordSend(absl::Time now) {
  if (!isActive() || Share <= 0)
    return;
  // Only a cell that has the whole limit may save up one request; otherwise
  // those of all cells would add up.
  const absl::Duration saved = Share >= 1 ? interval() : absl::ZeroDuration();
  RefilledAt = std::min(std::max(RefilledAt, now - saved) + interval(),
                        now + MaxDebt + interval());
}

absl::Duration RequestLimit::interval() const {
  return absl::Seconds(
      1 / (std::max(Newest.PerSecond.value_or(0), MinPerSecond) * Share));
}

} // namespace orioletally::core::fleet

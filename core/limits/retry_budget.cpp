#include "core/limits/retry_budget.h"

#include <algorithm>

namespace orioletally::core::limits {

RetryBudget::RetryBudget(double share, double reserve)
    : Share(share), Reserve(reserve), Balance(reserve) {}

void RetryBudget::succeeded() { Balance = std::min(Reserve, Balance + Share); }

void RetryBudget::grantExtraRetries(int64_t n, absl::Time now) {
  dropExpired(now);
  if (n > 0)
    ExtraRetries.emplace_back(now + ExtraRetryLifetime, n);
}

void RetryBudget::dropExpired(absl::Time now) {
  while (!ExtraRetries.empty() && (ExtraRetries.front().first <= now ||
                                   ExtraRetries.front().second == 0))
    ExtraRetries.pop_front();
}

bool RetryBudget::tryTake(absl::Time now) {
  if (Balance >= 1.0) {
    Balance -= 1.0;
    return true;
  }
  dropExpired(now);
  if (ExtraRetries.empty())
    return false;
  --ExtraRetries.front().second;
  return true;
}

} // namespace orioletally::core::limits

#include "core/limits/retry_budget.h"

#include <algorithm>

namespace orioletally::core::limits {

RetryBudget::RetryBudget(double share, double reserve)
    : Share(share), Reserve(reserve), Balance(reserve) {}

void RetryBudget::succeeded() { Balance = std::min(Reserve, Balance + Share); }

void RetryBudget::allowMoves(int64_t n, absl::Time now) {
  forget(now);
  if (n > 0)
    Moves.emplace_back(now + MovesFor, n);
}

void RetryBudget::forget(absl::Time now) {
  while (!Moves.empty() &&
         (Moves.front().first <= now || Moves.front().second == 0))
    Moves.pop_front();
}

bool RetryBudget::tryTake(absl::Time now) {
  if (Balance >= 1.0) {
    Balance -= 1.0;
    return true;
  }
  forget(now);
  if (Moves.empty())
    return false;
  --Moves.front().second;
  return true;
}

} // namespace orioletally::core::limits

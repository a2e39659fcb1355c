#include "core/limits/retry_budget.h"

#include <algorithm>

namespace orioletally::core::limits {

RetryBudget::RetryBudget(double share, double reserve)
    : Share(share), Reserve(reserve), Balance(reserve) {}

void RetryBudget::succeeded() { Balance = std::min(Reserve, Balance + Share); }

bool RetryBudget::tryTake() {
  if (Balance >= 1.0) {
    Balance -= 1.0;
    return true;
  }
  if (Moves == 0)
    return false;
  --Moves;
  return true;
}

} // namespace orioletally::core::limits

#include "core/limits/window_budget.h"

#include <algorithm>

namespace orioletally::core::limits {

WindowBudget::WindowBudget(const WindowBudgetSettings &settings)
    : Settings(settings) {}

void WindowBudget::setNodeCount(size_t n) {
  NodeCount = std::max<size_t>(1, n);
}

void WindowBudget::arrived(absl::Time now) {
  dropExpired(now);
  Calls.push_back(now);
}

bool WindowBudget::tryTake(absl::Time now) {
  dropExpired(now);
  const double limit = Settings.Share * static_cast<double>(Calls.size()) +
                       Settings.Slack / static_cast<double>(NodeCount);
  if (static_cast<double>(Retries.size()) + 1 > limit)
    return false;
  Retries.push_back(now);
  return true;
}

void WindowBudget::dropExpired(absl::Time now) {
  const absl::Time oldest = now - Settings.Window;
  while (!Calls.empty() && Calls.front() < oldest)
    Calls.pop_front();
  while (!Retries.empty() && Retries.front() < oldest)
    Retries.pop_front();
}

} // namespace orioletally::core::limits

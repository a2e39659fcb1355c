#ifndef ORIOLETALLY_CORE_LIMITS_WINDOW_BUDGET_H
#define ORIOLETALLY_CORE_LIMITS_WINDOW_BUDGET_H

#include <absl/time/time.h>
#include <cstddef>
#include <deque>

namespace orioletally::core::limits {

/// The bound on repeats that the nodes keep together.
struct WindowBudgetSettings {
  /// Repeats allowed for each call in a window.
  double Share = 0.1;
  /// Repeats allowed in a window besides, for all nodes together.
  double Slack = 16;
  absl::Duration Window = absl::Seconds(10);
};

/// One node's share of a bound on repeats in any window. Each node keeps to
/// its own calls' share and to its part of the slack, so that the sum over
/// all nodes keeps the bound without any message.
///
/// Load answered: failing backend servers whose calls are moved elsewhere, in
/// a number that would overload the ones that still work.
class WindowBudget {
public:
  explicit WindowBudget(const WindowBudgetSettings &settings);

  /// Sets the bound that holds from now on, also for what went before.
  void updateSettings(const WindowBudgetSettings &settings) {
    Settings = settings;
  }

  /// Sets how many nodes share the slack.
  void setNodeCount(size_t n);

  /// A call came in.
  void arrived(absl::Time now);

  /// Takes one repeat; false when none is left.
  bool tryTake(absl::Time now);

private:
  void dropExpired(absl::Time now);

  WindowBudgetSettings Settings;
  size_t NodeCount = 1;
  std::deque<absl::Time> Calls;
  std::deque<absl::Time> Retries;
};

} // namespace orioletally::core::limits

#endif

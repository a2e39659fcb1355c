#ifndef ORIOLETALLY_CORE_LIMITS_WINDOW_BUDGET_H
#define ORIOLETALLY_CORE_LIMITS_WINDOW_BUDGET_H

#include <absl/time/time.h>
#include <cstddef>
#include <deque>

namespace orioletally::core::limits {

/// The limit on retries that all nodes together keep to.
struct WindowBudgetSettings {
  /// Retries allowed per call in a window.
  double Share = 0.1;
  /// Additional retries allowed in a window, for all nodes together.
  double Slack = 16;
  absl::Duration Window = absl::Seconds(10);
};

/// One node's part of a limit on retries in a sliding window. Each node keeps
/// to the share of its own calls and to its part of the slack, so that all
/// nodes together keep the limit without exchanging messages.
///
/// Prevents the retries of calls at failing backend servers from overloading
/// the ones that still work.
class WindowBudget {
public:
  explicit WindowBudget(const WindowBudgetSettings &settings);

  /// Replaces the settings. The new limit also counts past calls and retries.
  void updateSettings(const WindowBudgetSettings &settings) {
    Settings = settings;
  }

  /// Sets how many nodes share the slack; 0 counts as 1.
  void setNodeCount(size_t n);

  /// Records a new call.
  void arrived(absl::Time now);

  /// Takes one retry; returns false when none is left.
  bool tryTake(absl::Time now);

private:
  /// Drops calls and retries that are older than the window.
  void dropExpired(absl::Time now);

  WindowBudgetSettings Settings;
  size_t NodeCount = 1;
  std::deque<absl::Time> Calls;
  std::deque<absl::Time> Retries;
};

} // namespace orioletally::core::limits

#endif

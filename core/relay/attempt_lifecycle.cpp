#include "core/relay/attempt_lifecycle.h"

#include <array>

namespace leaf = boost::leaf;

namespace orioletally::core::relay {

namespace {

constexpr std::string_view ChartName = "attempt";

constexpr std::array<std::string_view, 5> StateNames = {
    "opening", "waiting", "forwarding", "streaming", "ended"};

constexpr std::array<std::string_view, 4> StepNames = {
    "sent", "events_ready", "events_taken", "settled"};

/// Names in the chart, indexed by AttemptTimeout; a final state names none.
constexpr std::array<std::string_view, 4> TimeoutNames = {
    "", "connect", "silence", "caller_write"};

} // namespace

absl::Span<const std::string_view> attemptStateNames() { return StateNames; }

absl::Span<const std::string_view> attemptStepNames() { return StepNames; }

AttemptTimeout AttemptLifecycle::timeout() const {
  return static_cast<AttemptTimeout>(Position.timeoutIn(TimeoutNames));
}

leaf::result<charts::StateChart> parseAttemptChart(std::string_view text) {
  BOOST_LEAF_AUTO(
      chart, charts::StateChart::parse(ChartName, text, StateNames, StepNames));
  BOOST_LEAF_CHECK(chart.checkTimeouts(ChartName, TimeoutNames));
  return chart;
}

} // namespace orioletally::core::relay

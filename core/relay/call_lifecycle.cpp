#include "core/relay/call_lifecycle.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace leaf = boost::leaf;

namespace orioletally::core::relay {

namespace {

constexpr std::string_view ChartName = "call";

constexpr std::array<std::string_view, 7> StateNames = {
    "choosing",  "opening",    "waiting", "forwarding",
    "streaming", "delivering", "ended"};

constexpr std::array<std::string_view, 7> StepNames = {
    "chosen",        "sent",         "events_ready", "events_taken",
    "attempt_ended", "answer_ready", "settled"};

/// Names in the chart, indexed by CallTimeout; a final state names none.
constexpr std::array<std::string_view, 5> TimeoutNames = {
    "", "time_limit", "connect", "silence", "caller_write"};

} // namespace

absl::Span<const std::string_view> callStateNames() { return StateNames; }

absl::Span<const std::string_view> callStepNames() { return StepNames; }

CallTimeout CallLifecycle::timeout() const {
  for (size_t n = 0; n < TimeoutNames.size(); ++n)
    if (TimeoutNames[n] == Position.timeout())
      return static_cast<CallTimeout>(n);
  return CallTimeout::None;
}

leaf::result<charts::StateChart> parseCallChart(std::string_view text) {
  BOOST_LEAF_AUTO(
      chart, charts::StateChart::parse(ChartName, text, StateNames, StepNames));
  for (size_t n = 0; n < StateNames.size(); ++n) {
    const std::string &timeout = chart.timeout(static_cast<int>(n));
    const bool isKnown = std::find(TimeoutNames.begin(), TimeoutNames.end(),
                                   timeout) != TimeoutNames.end();
    if (!isKnown)
      return leaf::new_error(charts::ChartError{
          std::string(ChartName),
          fmt::format("state {}: unknown timeout {}", StateNames[n], timeout)});
  }
  return chart;
}

} // namespace orioletally::core::relay

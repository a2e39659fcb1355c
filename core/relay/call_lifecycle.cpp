#include "core/relay/call_lifecycle.h"

#include <array>

namespace leaf = boost::leaf;

namespace orioletally::core::relay {

namespace {

constexpr std::string_view ChartName = "call";

constexpr std::array<std::string_view, 4> StateNames = {
    "choosing", "attempting", "delivering", "ended"};

constexpr std::array<std::string_view, 4> StepNames = {
    "chosen", "attempts_ended", "answer_ready", "settled"};

/// Names in the chart, indexed by CallTimeout; a final state names none.
constexpr std::array<std::string_view, 3> TimeoutNames = {"", "time_limit",
                                                          "caller_write"};

} // namespace

absl::Span<const std::string_view> callStateNames() { return StateNames; }

absl::Span<const std::string_view> callStepNames() { return StepNames; }

CallTimeout CallLifecycle::timeout() const {
  return static_cast<CallTimeout>(Position.timeoutIn(TimeoutNames));
}

leaf::result<charts::StateChart> parseCallChart(std::string_view text) {
  BOOST_LEAF_AUTO(
      chart, charts::StateChart::parse(ChartName, text, StateNames, StepNames));
  BOOST_LEAF_CHECK(chart.checkTimeouts(ChartName, TimeoutNames));
  return chart;
}

} // namespace orioletally::core::relay

#include "core/relay/call_lifecycle.h"

#include <array>

namespace leaf = boost::leaf;

namespace orioletally::core::relay {

namespace {

constexpr std::string_view CallChartName = "call";

constexpr std::array<std::string_view, 4> CallStateNames = {
    "choosing", "attempting", "delivering", "ended"};

constexpr std::array<std::string_view, 4> CallStepNames = {
    "chosen", "attempts_ended", "answer_ready", "settled"};

/// Names in the chart, indexed by CallTimeout; a final state names none.
constexpr std::array<std::string_view, 3> CallTimeoutNames = {"", "time_limit",
                                                              "caller_write"};

} // namespace

absl::Span<const std::string_view> callStateNames() { return CallStateNames; }

absl::Span<const std::string_view> callStepNames() { return CallStepNames; }

CallTimeout CallLifecycle::timeout() const {
  return static_cast<CallTimeout>(Position.timeoutIn(CallTimeoutNames));
}

leaf::result<charts::StateChart> parseCallChart(std::string_view text) {
  BOOST_LEAF_AUTO(chart,
                  charts::StateChart::parse(CallChartName, text, CallStateNames,
                                            CallStepNames));
  BOOST_LEAF_CHECK(chart.checkTimeouts(CallChartName, CallTimeoutNames));
  return chart;
}

} // namespace orioletally::core::relay

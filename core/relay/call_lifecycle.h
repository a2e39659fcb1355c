#ifndef ORIOLETALLY_CORE_RELAY_CALL_LIFECYCLE_H
#define ORIOLETALLY_CORE_RELAY_CALL_LIFECYCLE_H

#include "core/charts/state_chart.h"

#include <absl/types/span.h>
#include <string_view>

namespace orioletally::core::relay {

/// States of a relayed call; charts/call.toml defines the transitions.
enum class CallState { Choosing, Attempting, Delivering, Ended };

/// Events that move a relayed call from one state to another.
enum class CallStep { Chosen, AttemptsEnded, AnswerReady, Settled };

/// The timeout that limits the time in a state.
enum class CallTimeout { None, TimeLimit, CallerWrite };

/// Names of the states and steps in the chart, by enumerator.
absl::Span<const std::string_view> callStateNames();
absl::Span<const std::string_view> callStepNames();

/// Tracks the state of one relayed call in the chart.
class CallLifecycle {
public:
  explicit CallLifecycle(const charts::StateChart &chart) : Position(chart) {}

  CallState state() const { return Position.state(); }
  bool isEnded() const { return Position.isFinal(); }

  /// Returns the timeout of the present state. The call's deadline applies in
  /// addition.
  CallTimeout timeout() const;

  /// Applies \p step; returns false when the chart ignores it in the present
  /// state.
  bool apply(CallStep step) { return Position.apply(step); }

private:
  charts::ChartPosition<CallState, CallStep> Position;
};

/// Parses the chart \p text. Fails if its states, steps or timeouts differ from
/// those above.
boost::leaf::result<charts::StateChart> parseCallChart(std::string_view text);

} // namespace orioletally::core::relay

#endif

#ifndef ORIOLETALLY_CORE_RELAY_CALL_LIFECYCLE_H
#define ORIOLETALLY_CORE_RELAY_CALL_LIFECYCLE_H

#include "core/charts/state_chart.h"

#include <absl/types/span.h>
#include <string_view>

namespace orioletally::core::relay {

/// Where a relayed call is; charts/call.toml says what leads where.
enum class CallState {
  Choosing,
  Opening,
  Waiting,
  Forwarding,
  Streaming,
  Delivering,
  Ended,
};

/// What happens to a relayed call.
enum class CallStep {
  Chosen,
  Sent,
  EventsReady,
  EventsTaken,
  AttemptEnded,
  AnswerReady,
  Settled,
};

/// The bound that ends a wait in a state.
enum class CallTimeout { None, TimeLimit, Connect, Silence, CallerWrite };

absl::Span<const std::string_view> callStateNames();
absl::Span<const std::string_view> callStepNames();

/// The position of one call in the chart.
class CallLifecycle {
public:
  explicit CallLifecycle(const charts::StateChart &chart) : Position(chart) {}

  CallState state() const { return Position.state(); }
  bool isEnded() const { return Position.isFinal(); }

  /// The bound on the wait in the present state, besides the call's time limit.
  CallTimeout timeout() const;

  /// Takes \p step; false when the chart ignores it in the present state.
  bool apply(CallStep step) { return Position.apply(step); }

private:
  charts::ChartPosition<CallState, CallStep> Position;
};

/// Returns the chart \p text if its states, steps and bounds are those above.
boost::leaf::result<charts::StateChart> parseCallChart(std::string_view text);

} // namespace orioletally::core::relay

#endif

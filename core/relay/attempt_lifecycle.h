#ifndef ORIOLETALLY_CORE_RELAY_ATTEMPT_LIFECYCLE_H
#define ORIOLETALLY_CORE_RELAY_ATTEMPT_LIFECYCLE_H

#include "core/charts/state_chart.h"

#include <absl/types/span.h>
#include <string_view>

namespace orioletally::core::relay {

/// States of one attempt at a relayed call; charts/attempt.toml defines the
/// transitions.
enum class AttemptState { Opening, Waiting, Forwarding, Streaming, Ended };

/// Events that move an attempt from one state to another.
enum class AttemptStep { Sent, EventsReady, EventsTaken, Settled };

/// The timeout that limits the time in a state.
enum class AttemptTimeout { None, Connect, Silence, CallerWrite };

/// Names of the states and steps in the chart, by enumerator.
absl::Span<const std::string_view> attemptStateNames();
absl::Span<const std::string_view> attemptStepNames();

/// Tracks the state of one attempt in the chart.
class AttemptLifecycle {
public:
  explicit AttemptLifecycle(const charts::StateChart &chart)
      : Position(chart) {}

  AttemptState state() const { return Position.state(); }
  bool isEnded() const { return Position.isFinal(); }

  /// Returns the timeout of the present state.
  AttemptTimeout timeout() const;

  /// Applies \p step; returns false when the chart ignores it in the present
  /// state.
  bool apply(AttemptStep step) { return Position.apply(step); }

private:
  charts::ChartPosition<AttemptState, AttemptStep> Position;
};

/// Parses the chart \p text. Fails if its states, steps or timeouts differ from
/// those above.
boost::leaf::result<charts::StateChart>
parseAttemptChart(std::string_view text);

} // namespace orioletally::core::relay

#endif

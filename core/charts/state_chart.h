#ifndef ORIOLETALLY_CORE_CHARTS_STATE_CHART_H
#define ORIOLETALLY_CORE_CHARTS_STATE_CHART_H

#include <absl/types/span.h>
#include <algorithm>
#include <boost/leaf.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::charts {

/// Why the text of a chart was rejected.
struct ChartError {
  std::string Chart;
  std::string Reason;
};

/// One state, as the chart file declares it.
struct ChartState {
  std::string Name;
  bool Final = false;
  /// Name of the timer that runs in this state; empty only for final states.
  std::string Timeout;
  /// Index of the next state for each event; -1 where the event is ignored.
  std::vector<int> Targets;
};

/// A state machine that is defined in TOML. The code passes the names of the
/// states and events that it handles. The file must define exactly those states
/// and may use only those events.
class StateChart {
public:
  /// Parses \p text; \p chart names it in errors. Fails with a ChartError on an
  /// unknown or missing state, an unknown event, an unreachable state, a final
  /// state with a timeout and any other state without one.
  static boost::leaf::result<StateChart>
  parse(std::string_view chart, std::string_view text,
        absl::Span<const std::string_view> states,
        absl::Span<const std::string_view> events);

  /// Fails with a ChartError if a state has a timeout that isn't one of
  /// \p timeouts; \p chart names the chart in the error.
  boost::leaf::result<void>
  checkTimeouts(std::string_view chart,
                absl::Span<const std::string_view> timeouts) const;

  int initial() const { return InitialState; }
  bool isFinal(int state) const { return States[state].Final; }
  const std::string &timeout(int state) const { return States[state].Timeout; }

  /// Returns the state that follows \p event, or -1 if \p state ignores it.
  int next(int state, int event) const;

private:
  std::vector<ChartState> States;
  int InitialState = 0;
};

/// The current state of one run of a chart. The values of \p State and \p Event
/// are indices into the names that the chart was parsed with.
template <typename State, typename Event> class ChartPosition {
public:
  explicit ChartPosition(const StateChart &definition)
      : Chart(&definition), Current(definition.initial()) {}

  State state() const { return static_cast<State>(Current); }
  bool isFinal() const { return Chart->isFinal(Current); }

  /// Returns the index of the present state's timeout in \p timeouts, which the
  /// chart was checked with.
  size_t timeoutIn(absl::Span<const std::string_view> timeouts) const {
    const auto found =
        std::find(timeouts.begin(), timeouts.end(), Chart->timeout(Current));
    return static_cast<size_t>(found - timeouts.begin());
  }

  /// Moves to the state that follows \p event. Returns false if the current
  /// state ignores the event.
  bool apply(Event event) {
    const int after = Chart->next(Current, static_cast<int>(event));
    if (after < 0)
      return false;
    Current = after;
    return true;
  }

private:
  const StateChart *Chart;
  int Current;
};

} // namespace orioletally::core::charts

#endif

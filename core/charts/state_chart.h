#ifndef ORIOLETALLY_CORE_CHARTS_STATE_CHART_H
#define ORIOLETALLY_CORE_CHARTS_STATE_CHART_H

#include <absl/types/span.h>
#include <boost/leaf.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::charts {

/// A chart that can't be used, with the reason.
struct ChartError {
  std::string Chart;
  std::string Reason;
};

/// One state as the chart file declares it. Targets are indices of states and
/// stand at the index of their event; -1 marks an event that is ignored.
struct ChartState {
  std::string Name;
  bool Final = false;
  /// The bound that ends a wait in this state; empty only for final states.
  std::string Timeout;
  std::vector<int> Targets;
};

/// A state machine read from TOML. The code declares the states and events it
/// knows; the file must name exactly those states and no other event.
class StateChart {
public:
  /// Parses \p text. Fails on an unknown or missing state, an unknown event,
  /// a state that can't be reached and a waiting state without a timeout.
  static boost::leaf::result<StateChart>
  parse(std::string_view chart, std::string_view text,
        absl::Span<const std::string_view> states,
        absl::Span<const std::string_view> events);

  int initial() const { return InitialState; }
  bool isFinal(int state) const { return States[state].Final; }
  const std::string &timeout(int state) const { return States[state].Timeout; }

  /// Returns the state after \p event, or -1 when it is ignored in \p state.
  int next(int state, int event) const;

private:
  std::vector<ChartState> States;
  int InitialState = 0;
};

/// A chart in one of its states, typed by the enums whose values index the
/// names that the chart was parsed with.
template <typename State, typename Event> class ChartPosition {
public:
  explicit ChartPosition(const StateChart &definition)
      : Chart(&definition), Current(definition.initial()) {}

  State state() const { return static_cast<State>(Current); }
  bool isFinal() const { return Chart->isFinal(Current); }
  const std::string &timeout() const { return Chart->timeout(Current); }

  /// Applies \p event and tells whether the chart acts on it here.
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

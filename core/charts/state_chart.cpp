#include "core/charts/state_chart.h"

#include <absl/algorithm/container.h>
#include <fmt/format.h>
#include <toml++/toml.h>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::core::charts {

namespace {

using Names = absl::Span<const std::string_view>;

int indexOf(Names names, std::string_view name) {
  const auto it = absl::c_find(names, name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

/// Reads the states of one chart and names the chart in every error.
class ChartReader {
public:
  ChartReader(std::string_view chart, Names states, Names events)
      : Chart(chart), StateNames(states), EventNames(events) {}

  leaf::error_id chartError(std::string reason) const {
    return leaf::new_error(ChartError{Chart, std::move(reason)});
  }

  leaf::result<ChartState> readState(const toml::table &table) const {
    ChartState state;
    state.Name = table["name"].value_or(std::string());
    state.Final = table["final"].value_or(false);
    state.Timeout = table["timeout"].value_or(std::string());
    state.Targets.assign(EventNames.size(), -1);
    if (state.Final != state.Timeout.empty())
      return chartError(fmt::format("state {}{}", state.Name,
                                    state.Final ? ": expected no timeout"
                                                : ": missing timeout"));
    const toml::table *transitions = table["on"].as_table();
    if (transitions == nullptr)
      return state;
    for (const auto &[key, value] : *transitions) {
      const int event = indexOf(EventNames, key.str());
      if (event < 0)
        return chartError(fmt::format("unknown event {}", key.str()));
      const std::string target = value.value_or(std::string());
      state.Targets[event] = indexOf(StateNames, target);
      if (state.Targets[event] < 0)
        return chartError(fmt::format("unknown state {}", target));
    }
    return state;
  }

  leaf::result<void> checkReachable(const std::vector<ChartState> &states,
                                    int initial) const {
    std::vector<bool> seen(states.size(), false);
    std::vector<int> pending = {initial};
    while (!pending.empty()) {
      const int n = pending.back();
      pending.pop_back();
      if (n < 0 || seen[n])
        continue;
      seen[n] = true;
      pending.insert(pending.end(), states[n].Targets.begin(),
                     states[n].Targets.end());
    }
    for (size_t n = 0; n < states.size(); ++n)
      if (!seen[n])
        return chartError(fmt::format("unreachable state {}", states[n].Name));
    return {};
  }

  Names stateNames() const { return StateNames; }

private:
  std::string Chart;
  Names StateNames;
  Names EventNames;
};

} // namespace

leaf::result<StateChart> StateChart::parse(std::string_view chart,
                                           std::string_view text, Names states,
                                           Names events) {
  const ChartReader reader(chart, states, events);
  toml::table file;
  try {
    file = toml::parse(text);
  } catch (const toml::parse_error &ec) {
    return reader.chartError(std::string(ec.description()));
  }
  StateChart result;
  result.States.resize(states.size());
  const toml::array *rows = file["state"].as_array();
  if (rows == nullptr || rows->size() != states.size())
    return reader.chartError("expected one [[state]] for each known state");
  for (const toml::node &it : *rows) {
    const toml::table *table = it.as_table();
    if (table == nullptr)
      return reader.chartError("expected [[state]] tables");
    BOOST_LEAF_AUTO(state, reader.readState(*table));
    const int n = indexOf(states, state.Name);
    if (n < 0 || !result.States[n].Name.empty())
      return reader.chartError(
          fmt::format("unknown or repeated state {}", state.Name));
    result.States[n] = std::move(state);
  }
  result.InitialState =
      indexOf(states, file["initial"].value_or(std::string()));
  if (result.InitialState < 0)
    return reader.chartError("missing or unknown initial state");
  BOOST_LEAF_CHECK(reader.checkReachable(result.States, result.InitialState));
  return result;
}

leaf::result<void> StateChart::checkTimeouts(std::string_view chart,
                                             Names timeouts) const {
  for (const ChartState &it : States)
    if (indexOf(timeouts, it.Timeout) < 0)
      return leaf::new_error(ChartError{
          std::string(chart),
          fmt::format("state {}: unknown timeout {}", it.Name, it.Timeout)});
  return {};
}

int StateChart::next(int state, int event) const {
  return States[state].Targets[event];
}

} // namespace orioletally::core::charts

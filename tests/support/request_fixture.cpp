#include "tests/support/request_fixture.h"

#include <cstdlib>
#include <fmt/format.h>

namespace leaf = boost::leaf;

namespace orioletally::tests {

using core::routing::RouteChoice;
using core::routing::RouteDenied;
using core::routing::RouteQuery;
using core::routing::RouteRefusal;
using core::routing::RouteResult;

core::profiles::Profile profileWith(const nlohmann::json &fields) {
  core::profiles::Profile profile;
  profile.Name = "test";
  profile.Revision = 7;
  profile.Values = leaf::try_handle_all(
      [&] { return core::profiles::profileFields().read(fields); },
      [](const core::fields::FieldError &ec) -> core::fields::FieldValues {
        fmt::print(stderr, "bad fixture: {} {}\n", ec.Key, ec.Reason);
        std::abort();
      },
      []() -> core::fields::FieldValues { std::abort(); });
  return profile;
}

core::requests::RequestPlan planWith(core::profiles::Profile profile,
                                     std::string requestId) {
  core::requests::RequestPlan plan;
  plan.RequestId = std::move(requestId);
  plan.Workspace = "w";
  plan.Deadline = at(0) + profile.deadline();
  plan.Profile = std::move(profile);
  plan.PromptTokens = 1000;
  plan.MaxTokens = 10;
  plan.Streaming = true;
  return plan;
}

const core::charts::StateChart &requestChart() {
  static const core::charts::StateChart chart = leaf::try_handle_all(
      [] { return charts::requestChart(); },
      [](const core::charts::ChartError &ec) -> core::charts::StateChart {
        fmt::print(stderr, "{}: {}\n", ec.Chart, ec.Reason);
        std::abort();
      },
      []() -> core::charts::StateChart { std::abort(); });
  return chart;
}

core::platform::Vm engineVm(const std::string &id, int64_t memoryTokens,
                            int64_t prefillTokensPerSecond) {
  core::platform::Vm vm;
  vm.Id = id;
  vm.Zone = "zone-a";
  vm.Address = id + ":1";
  vm.Model = "default";
  vm.MemoryTokens = memoryTokens;
  vm.PrefillTokensPerSecond = prefillTokensPerSecond;
  return vm;
}

RouteResult ScriptedSelector::select(const RouteQuery &, absl::Time) {
  if (Results.empty())
    return RouteDenied{RouteRefusal::NoneKnown, 0};
  RouteResult result = Results.front();
  Results.erase(Results.begin());
  return result;
}

void ScriptedSelector::refused(const std::string &backend, int64_t, bool,
                               absl::Time) {
  RecordedCalls.push_back("refused " + backend);
}

void ScriptedSelector::failed(const std::string &backend, absl::Time) {
  RecordedCalls.push_back("failed " + backend);
}

void ScriptedSelector::released(const std::string &backend, const RouteQuery &,
                                bool completed, absl::Time) {
  RecordedCalls.push_back((completed ? "completed " : "released ") + backend);
}

void ScriptedSelector::offer(const std::string &backend,
                             absl::Duration predicted) {
  RouteChoice choice;
  choice.BackendId = backend;
  choice.Address = backend + ":1";
  choice.PredictedFirstToken = predicted;
  Results.emplace_back(choice);
}

} // namespace orioletally::tests

#ifndef ORIOLETALLY_TESTS_SUPPORT_REQUEST_FIXTURE_H
#define ORIOLETALLY_TESTS_SUPPORT_REQUEST_FIXTURE_H

#include "charts/embedded_charts.h"
#include "core/platform/vm_list.h"
#include "core/requests/request_machine.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace orioletally::tests {

/// Returns the point in virtual time that is \p ms after the start of a test.
inline absl::Time at(int64_t ms) {
  return absl::UnixEpoch() + absl::Milliseconds(1'000'000 + ms);
}

/// Returns a profile with \p fields and defaults for the rest.
core::profiles::Profile
profileWith(const nlohmann::json &fields = nlohmann::json::object());

/// Returns the plan of a streaming request under \p profile.
core::requests::RequestPlan planWith(core::profiles::Profile profile,
                                     std::string requestId = "r-1");

/// Returns the state chart that the product uses.
const core::charts::StateChart &requestChart();

/// Returns an engine as the VM list has it.
core::platform::Vm engineVm(const std::string &id,
                            int64_t memoryTokens = 1'000'000,
                            int64_t prefillTokensPerSecond = 50'000);

/// Returns the routing results that a test has queued and records the calls of
/// refused(), failed() and released(), such as "failed e1".
class ScriptedSelector : public core::routing::BackendSelector {
public:
  std::vector<core::routing::RouteResult> Results;
  std::vector<std::string> RecordedCalls;

  core::routing::RouteResult select(const core::routing::RouteQuery &query,
                                    absl::Time now) override;
  void refused(const std::string &backend, int64_t retryAfterMs, bool draining,
               absl::Time now) override;
  void failed(const std::string &backend, absl::Time now) override;
  void released(const std::string &backend,
                const core::routing::RouteQuery &query, bool completed,
                absl::Time now) override;

  /// Queues the choice of \p backend with the predicted first-token latency
  /// \p predicted.
  void offer(const std::string &backend,
             absl::Duration predicted = absl::ZeroDuration());
};

} // namespace orioletally::tests

#endif

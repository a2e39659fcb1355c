#ifndef ORIOLETALLY_DRIVERS_GATEWAY_SERVICE_RUNNER_H
#define ORIOLETALLY_DRIVERS_GATEWAY_SERVICE_RUNNER_H

#include "core/backends/service_client.h"
#include "core/claims/claim_ledger.h"
#include "core/errors/request_error.h"
#include "core/profiles/profile.h"
#include "drivers/gateway/shared_router.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace orioletally::drivers::gateway {

/// One admitted call to a plain service.
struct ServicePlan {
  core::backends::ServiceCall Call;
  std::string Workspace;
  core::profiles::Profile Profile;
  /// Set when the profile or the caller marks the call unrepeatable.
  bool Unrepeatable = false;
  absl::Time Deadline;
};

using ServiceResult =
    std::variant<core::backends::ServiceAnswer, core::errors::RequestError>;

/// What a ServiceRunner works with; all of it outlives every runner.
struct ServiceContext {
  core::backends::ServiceClient &Services;
  core::platform::TableService &Table;
  SharedRouter &Router;
  /// Node and incarnation, which own the claims.
  std::string Owner;
  /// Longest time between asking for a claim and sending the call.
  absl::Duration MaxClaimAge;
  std::function<absl::Time()> Now;
};

/// Carries out calls to plain services. A repeatable call is tried again
/// within its deadline; an unrepeatable one is sent at most once by this node,
/// and, when the caller gave a key, at most once by any.
class ServiceRunner {
public:
  ServiceRunner(const ServiceContext &context, ServicePlan plan);

  /// Runs the call to its one final answer.
  ServiceResult run();

  /// What was decided, one line a step.
  const std::vector<std::string> &trace() const { return Trace; }

private:
  /// What became of one send.
  struct SendOutcome {
    std::optional<core::backends::ServiceAnswer> Answer;
    core::errors::RunState Run = core::errors::RunState::NotRun;
    /// Nothing was sent, because no time was left or the claim had aged.
    bool IsExpired = false;
  };

  ServiceResult runClaimed();
  std::variant<core::claims::ClaimResult, core::errors::RequestError>
  requestClaim();
  ServiceResult replyToRepeat(const core::claims::ClaimResult &result);
  ServiceResult sendWithRetries();
  SendOutcome sendOnce(const core::routing::RouteChoice &choice);
  SendOutcome recordFailure(const core::routing::RouteChoice &choice,
                            const core::backends::BackendError &failure);
  SendOutcome recordRefusal(const core::routing::RouteChoice &choice,
                            const core::backends::ServiceAnswer &answer);
  core::errors::RequestError backendFailedError() const;
  std::variant<core::routing::RouteChoice, core::errors::RequestError>
  chooseBackend();
  core::errors::RequestError refusal(const core::routing::RouteDenied &denied);
  core::errors::RequestError deadlineError();
  bool mayRetry(core::errors::RunState run) const;
  void storeAnswer(const core::claims::ClaimGranted &granted,
                   const core::backends::ServiceAnswer &answer);
  void releaseClaim(const core::claims::ClaimGranted &granted);
  void addTrace(std::string text);

  const ServiceContext &Context;
  ServicePlan Plan;
  core::claims::ClaimLedger Ledger;
  core::claims::ClaimName Claim;
  std::string Token;
  absl::Time ClaimRequestedAt = absl::InfiniteFuture();
  int64_t Attempts = 0;
  core::errors::RunState CallRun = core::errors::RunState::NotRun;
  std::vector<std::string> TriedBackends;
  std::vector<std::string> Trace;
};

} // namespace orioletally::drivers::gateway

#endif

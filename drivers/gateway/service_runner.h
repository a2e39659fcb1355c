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

/// One admitted call to a plain service, that is, not to a model engine.
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

/// What every ServiceRunner uses; all of it outlives every runner.
struct ServiceContext {
  core::backends::ServiceClient &Services;
  core::platform::TableService &Table;
  SharedRouter &Router;
  /// This node and its incarnation, stored as the owner of its claims.
  std::string Owner;
  /// Longest time between requesting a claim and sending the call; an older
  /// claim may not be used.
  absl::Duration MaxClaimAge;
  std::function<absl::Time()> Now;
};

/// Carries out one call to a plain service. A repeatable call is retried within
/// its deadline. An unrepeatable call isn't sent again once it may have run,
/// neither by this node nor, if the caller gave an idempotency key, by another.
class ServiceRunner {
public:
  ServiceRunner(const ServiceContext &context, ServicePlan plan);

  /// Runs the call and returns its final answer or error.
  ServiceResult run();

  /// The decisions made for the call, one line per step.
  const std::vector<std::string> &trace() const { return Trace; }

private:
  /// The outcome of one attempt.
  struct SendOutcome {
    std::optional<core::backends::ServiceAnswer> Answer;
    core::errors::RunState Run = core::errors::RunState::NotRun;
    /// Nothing was sent, because the deadline had passed or the claim was too
    /// old.
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
  core::errors::RequestError
  routeDeniedError(const core::routing::RouteDenied &denied);
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
  /// Unique to this call; see ClaimLedger::claim().
  std::string ClaimToken;
  absl::Time ClaimRequestedAt = absl::InfiniteFuture();
  int64_t Attempts = 0;
  /// Whether any attempt may have run the call; never `Ran`.
  core::errors::RunState CallRun = core::errors::RunState::NotRun;
  std::vector<std::string> TriedBackends;
  std::vector<std::string> Trace;
};

} // namespace orioletally::drivers::gateway

#endif

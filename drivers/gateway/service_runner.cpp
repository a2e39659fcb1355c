#include "drivers/gateway/service_runner.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>
#include <utility>
#include <xxhash.h>

namespace leaf = boost::leaf;

namespace orioletally::drivers::gateway {

namespace {

using core::backends::BackendError;
using core::backends::ServiceAnswer;
using core::claims::ClaimAnswer;
using core::claims::ClaimAnswered;
using core::claims::ClaimGranted;
using core::claims::ClaimPending;
using core::claims::ClaimResult;
using core::errors::ErrorCode;
using core::errors::RequestError;
using core::errors::RequestErrorBuilder;
using core::errors::RunState;
using core::platform::TableError;
using core::routing::RouteChoice;
using core::routing::RouteDenied;
using core::routing::RouteQuery;
using core::routing::RouteRefusal;

constexpr int64_t DefaultRetryAfterMs = 1000;

uint64_t digestOf(const core::backends::ServiceCall &call) {
  const uint64_t path = XXH3_64bits(call.Path.data(), call.Path.size());
  return XXH3_64bits_withSeed(call.Body.data(), call.Body.size(), path);
}

} // namespace

ServiceRunner::ServiceRunner(const ServiceContext &context, ServicePlan plan)
    : Context(context), Plan(std::move(plan)), Ledger(context.Table) {}

ServiceResult ServiceRunner::run() {
  if (Plan.Unrepeatable && !Plan.Call.IdempotencyKey.empty())
    return runClaimed();
  return sendWithRetries();
}

ServiceResult ServiceRunner::runClaimed() {
  Claim = {
      Plan.Workspace,
      fmt::format("{}/{}", Plan.Profile.service(), Plan.Call.IdempotencyKey),
      digestOf(Plan.Call)};
  ClaimToken = fmt::format("{}/{}", Context.Owner, Plan.Call.RequestId);
  ClaimRequestedAt = Context.Now();
  const auto outcome = requestClaim();
  if (const auto *error = std::get_if<RequestError>(&outcome))
    return *error;
  const auto &result = std::get<ClaimResult>(outcome);
  const auto *granted = std::get_if<ClaimGranted>(&result);
  if (granted == nullptr)
    return replyToRepeat(result);
  addTrace("claim granted");
  ServiceResult sent = sendWithRetries();
  if (const auto *answer = std::get_if<ServiceAnswer>(&sent))
    storeAnswer(*granted, *answer);
  else if (std::get<RequestError>(sent).Run == RunState::NotRun)
    releaseClaim(*granted);
  return sent;
}

std::variant<ClaimResult, RequestError> ServiceRunner::requestClaim() {
  using Outcome = std::variant<ClaimResult, RequestError>;
  return leaf::try_handle_all(
      [&]() -> leaf::result<Outcome> {
        BOOST_LEAF_AUTO(result, Ledger.claim(Claim, Context.Owner, ClaimToken));
        return Outcome(result);
      },
      [&](const TableError &ec) {
        addTrace(fmt::format("claim failed: {}", ec.Detail));
        return Outcome(
            RequestErrorBuilder(ErrorCode::PlatformUnavailable,
                                "the claim for this call can't be written")
                .rule("unrepeatable calls need the table service")
                .retryAfterMs(DefaultRetryAfterMs)
                .build());
      },
      [] {
        return Outcome(core::errors::refusal(
            ErrorCode::Internal, "unexpected failure while claiming the call",
            ""));
      });
}

ServiceResult ServiceRunner::replyToRepeat(const ClaimResult &result) {
  if (const auto *answered = std::get_if<ClaimAnswered>(&result)) {
    addTrace("already answered; returning the stored answer");
    ServiceAnswer answer;
    answer.Status = answered->Answer.Status;
    answer.ContentType = answered->Answer.ContentType;
    answer.Body = answered->Answer.Body;
    return answer;
  }
  const auto *pending = std::get_if<ClaimPending>(&result);
  if (pending == nullptr)
    return core::errors::refusal(ErrorCode::Conflict,
                                 "the key was already used for another call",
                                 "idempotency key");
  return RequestErrorBuilder(
             ErrorCode::Conflict,
             fmt::format("the call was already claimed by {} and its outcome "
                         "isn't known",
                         pending->Owner))
      .run(RunState::Unknown)
      .rule("idempotency key")
      .retryAfterMs(DefaultRetryAfterMs)
      .build();
}

std::variant<RouteChoice, RequestError> ServiceRunner::chooseBackend() {
  auto result = Context.Router.selectService(
      Plan.Profile.service(), TriedBackends, Attempts, Context.Now());
  if (const auto *denied = std::get_if<RouteDenied>(&result))
    return routeDeniedError(*denied);
  return std::get<RouteChoice>(std::move(result));
}

RequestError ServiceRunner::routeDeniedError(const RouteDenied &denied) {
  const bool isUnknown = denied.Reason == RouteRefusal::NoneKnown;
  return RequestErrorBuilder(isUnknown ? ErrorCode::NoBackend
                                       : ErrorCode::Overloaded,
                             isUnknown ? "no backend server runs the service"
                                       : "no backend server is free")
      .run(CallRun)
      .rule(std::string(core::routing::routeRefusalName(denied.Reason)))
      .retryAfterMs(std::max(denied.RetryAfterMs, DefaultRetryAfterMs))
      .build();
}

RequestError ServiceRunner::deadlineError() {
  return RequestErrorBuilder(ErrorCode::DeadlineExceeded,
                             "no time is left to send the call")
      .run(CallRun)
      .rule(Plan.Profile.rule("deadline_ms"))
      .retryAfterMs(DefaultRetryAfterMs)
      .build();
}

bool ServiceRunner::mayRetry(RunState run) const {
  if (Attempts >= Plan.Profile.maxAttempts())
    return false;
  return run == RunState::NotRun || !Plan.Unrepeatable;
}

ServiceResult ServiceRunner::sendWithRetries() {
  while (true) {
    auto route = chooseBackend();
    if (const auto *error = std::get_if<RequestError>(&route))
      return *error;
    const auto &choice = std::get<RouteChoice>(route);
    ++Attempts;
    addTrace(fmt::format("attempt {} to {}: {}", Attempts, choice.BackendId,
                         choice.Reason));
    const SendOutcome outcome = sendOnce(choice);
    if (outcome.Answer.has_value())
      return *outcome.Answer;
    if (outcome.Run == RunState::Unknown)
      CallRun = RunState::Unknown;
    TriedBackends.push_back(choice.BackendId);
    if (outcome.IsExpired || Context.Now() >= Plan.Deadline)
      return deadlineError();
    if (!mayRetry(outcome.Run))
      return backendFailedError();
  }
}

ServiceRunner::SendOutcome ServiceRunner::sendOnce(const RouteChoice &choice) {
  // Checked directly before the call is sent: the process may have been frozen
  // since it claimed the call.
  const absl::Time now = Context.Now();
  const bool isClaimed = ClaimRequestedAt != absl::InfiniteFuture();
  const bool isTooOld =
      isClaimed && !core::claims::maySend(ClaimRequestedAt, Context.MaxClaimAge,
                                          Plan.Deadline, now);
  if (isTooOld || now >= Plan.Deadline) {
    Context.Router.released(choice.BackendId, RouteQuery{}, false, now);
    return {std::nullopt, RunState::NotRun, true};
  }
  const absl::Duration left = Plan.Deadline - now;
  BackendError failure;
  const auto answer = leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<ServiceAnswer>> {
        BOOST_LEAF_AUTO(it, Context.Services.call(
                                choice.Address, Plan.Call,
                                std::min(Plan.Profile.connectTimeout(), left),
                                left));
        return std::optional<ServiceAnswer>(std::move(it));
      },
      [&](const BackendError &ec) {
        failure = ec;
        return std::optional<ServiceAnswer>();
      },
      [] { return std::optional<ServiceAnswer>(); });
  Context.Router.released(choice.BackendId, RouteQuery{}, answer.has_value(),
                          Context.Now());
  if (!answer.has_value())
    return recordFailure(choice, failure);
  if (answer->RefusedBeforeStart)
    return recordRefusal(choice, *answer);
  addTrace(fmt::format("answered with status {}", answer->Status));
  return {answer, RunState::Ran, false};
}

ServiceRunner::SendOutcome
ServiceRunner::recordFailure(const RouteChoice &choice,
                             const BackendError &failure) {
  Context.Router.failed(choice.BackendId, Context.Now());
  addTrace(fmt::format("{} failed: {}", choice.BackendId, failure.Message));
  const RunState run = failure.Written ? RunState::Unknown : RunState::NotRun;
  return {std::nullopt, run, false};
}

ServiceRunner::SendOutcome
ServiceRunner::recordRefusal(const RouteChoice &choice,
                             const ServiceAnswer &answer) {
  Context.Router.refused(choice.BackendId, answer.RetryAfterMs, answer.Draining,
                         Context.Now());
  addTrace(
      fmt::format("{} refused the call before running it", choice.BackendId));
  return {std::nullopt, RunState::NotRun, false};
}

RequestError ServiceRunner::backendFailedError() const {
  return RequestErrorBuilder(ErrorCode::BackendFailed,
                             "the backend server failed")
      .run(CallRun)
      .rule(
          Plan.Profile.rule(Plan.Unrepeatable ? "repeatable" : "max_attempts"))
      .retryAfterMs(DefaultRetryAfterMs)
      .build();
}

void ServiceRunner::storeAnswer(const ClaimGranted &granted,
                                const ServiceAnswer &answer) {
  const ClaimAnswer stored{answer.Status, answer.ContentType, answer.Body};
  const bool isStored = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(Ledger.recordAnswer(Claim, Context.Owner, ClaimToken,
                                             granted, stored));
        return true;
      },
      [] { return false; });
  addTrace(
      isStored
          ? "the answer is stored for retries by the caller"
          : "the answer couldn't be stored; a retry by the caller will get "
            "an unknown outcome");
}

void ServiceRunner::releaseClaim(const ClaimGranted &granted) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        return Ledger.release(Claim, Context.Owner, ClaimToken, granted);
      },
      [this] { addTrace("the claim could not be released"); });
}

void ServiceRunner::addTrace(std::string text) {
  Trace.push_back(std::move(text));
}

} // namespace orioletally::drivers::gateway

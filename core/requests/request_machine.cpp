#include "core/requests/request_machine.h"

#include "core/requests/length_class.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <utility>

namespace orioletally::core::requests {

namespace {

using backends::CancelState;
using backends::FrameKind;
using errors::ErrorCode;
using errors::RunState;

/// Number of consecutive connections that may end without a new token before
/// the stream on that engine counts as lost.
constexpr int MaxLossesSinceProgress = 2;
constexpr absl::Duration CancelTimeout = absl::Milliseconds(500);
constexpr absl::Duration MinQueuePause = absl::Milliseconds(10);
constexpr int64_t DefaultRetryAfterMs = 1000;
constexpr size_t MaxTraceLines = 64;

constexpr std::array<std::string_view, 7> StateNames = {
    "queued",     "waiting",  "running", "resuming",
    "cancelling", "finished", "failed"};

constexpr std::array<std::string_view, 9> StepNames = {
    "submitted",     "engine_answered", "refused",
    "never_sent",    "connection_lost", "stream_lost",
    "outcome_asked", "completed",       "given_up"};

} // namespace

absl::Span<const std::string_view> requestStateNames() { return StateNames; }

absl::Span<const std::string_view> requestStepNames() { return StepNames; }

RequestMachine::RequestMachine(RequestPlan admitted,
                               const charts::StateChart &chart,
                               routing::BackendSelector &selector)
    : Plan(std::move(admitted)), Position(chart), Selector(selector) {}

RequestActions RequestMachine::start(absl::Time now) {
  QueueUntil = std::min(Plan.Deadline, now + Plan.Profile.queueTimeout());
  trySubmit(now);
  return std::exchange(Pending, {});
}

RequestActions RequestMachine::handle(const RequestEvent &event,
                                      absl::Time now) {
  if (isDone())
    return {};
  std::visit([&](const auto &it) { on(it, now); }, event);
  return std::exchange(Pending, {});
}

absl::Time RequestMachine::nextWake() const {
  if (state() == RequestState::Queued)
    return std::min({Plan.Deadline, RetryAt, QueueUntil});
  return std::min(Plan.Deadline, WaitUntil);
}

RunState RequestMachine::runState() const {
  if (HasRun)
    return RunState::Ran;
  return MayHaveRun ? RunState::Unknown : RunState::NotRun;
}

routing::RouteQuery RequestMachine::query() const {
  routing::RouteQuery result;
  result.Model = Plan.Profile.model();
  result.Policy = Plan.Profile.routing();
  result.PromptTokens = Plan.PromptTokens;
  result.MaxTokens = Plan.MaxTokens;
  result.Prefix = Plan.Prefix;
  result.Priority = enginePriority(Plan.Profile.priority(), Plan.PromptTokens);
  result.DelayWeight = Plan.Profile.delayWeight();
  result.Exclude = Exclude;
  result.AttemptsMade = Attempt;
  return result;
}

void RequestMachine::trySubmit(absl::Time now) {
  RetryAt = absl::InfiniteFuture();
  if (Attempt >= Plan.Profile.maxAttempts()) {
    giveUp(ErrorCode::BackendFailed, "every attempt failed",
           Plan.Profile.rule("max_attempts"), DefaultRetryAfterMs, now);
    return;
  }
  routing::RouteResult result = Selector.select(query(), now);
  if (const auto *denial = std::get_if<routing::RouteDenied>(&result)) {
    handleDenial(*denial, now);
    return;
  }
  Current = std::get<routing::RouteChoice>(std::move(result));
  HoldsBackend = true;
  if (now + Current.PredictedFirstToken > Plan.Deadline) {
    const int64_t lateMs = absl::ToInt64Milliseconds(
        now + Current.PredictedFirstToken - Plan.Deadline);
    releaseBackend(false, now);
    giveUp(ErrorCode::Overloaded,
           "no backend server can answer before the deadline",
           Plan.Profile.rule("deadline_ms"),
           std::max(lateMs, DefaultRetryAfterMs), now);
    return;
  }
  ++Attempt;
  ++Connection;
  SubmittedAt = now;
  NextOffset = 0;
  LossesSinceProgress = 0;
  appendTrace(now, fmt::format("attempt {} to {}: {}", Attempt,
                               Current.BackendId, Current.Reason));
  Position.apply(RequestStep::Submitted);
  Pending.emplace_back(
      OpenSubmit{Connection, Attempt, Current.BackendId, Current.Address});
  restartWaitTimer(now);
}

void RequestMachine::handleDenial(const routing::RouteDenied &denial,
                                  absl::Time now) {
  const std::string reason(routing::routeRefusalName(denial.Reason));
  const int64_t retryAfterMs =
      std::max(denial.RetryAfterMs, DefaultRetryAfterMs);
  switch (denial.Reason) {
  case routing::RouteRefusal::NoneKnown:
    giveUp(ErrorCode::NoBackend, "no backend server has the model",
           Plan.Profile.rule("model"), retryAfterMs, now);
    return;
  case routing::RouteRefusal::TooLarge:
    giveUp(ErrorCode::PayloadTooLarge,
           "the prompt is larger than any backend server can hold", reason, 0,
           now);
    return;
  case routing::RouteRefusal::BudgetSpent:
    giveUp(ErrorCode::BackendFailed, "the retry budget is spent", reason,
           retryAfterMs, now);
    return;
  case routing::RouteRefusal::AllBusy:
    break;
  }
  const absl::Time nextTry =
      now + std::max(MinQueuePause, absl::Milliseconds(denial.RetryAfterMs));
  // If the next attempt is due only after the queue timeout, fail immediately
  // instead of letting the caller wait.
  if (nextTry >= QueueUntil) {
    giveUp(ErrorCode::Overloaded, "no backend server is free in time",
           Plan.Profile.rule("queue_ms"), retryAfterMs, now);
    return;
  }
  RetryAt = nextTry;
}

void RequestMachine::restartWaitTimer(absl::Time now) {
  const absl::Duration timeout = state() == RequestState::Cancelling
                                     ? CancelTimeout
                                     : Plan.Profile.stallTimeout();
  WaitUntil = now + timeout;
}

bool RequestMachine::isCurrentFrame(const FrameArrived &event) {
  if (event.Frame.RequestId != Plan.RequestId) {
    ++Dropped.Foreign;
    return false;
  }
  if (event.Connection != Connection || event.Frame.Attempt != Attempt) {
    ++Dropped.Late;
    return false;
  }
  return true;
}

void RequestMachine::on(const FrameArrived &event, absl::Time now) {
  if (!isCurrentFrame(event))
    return;
  if (!Position.apply(RequestStep::EngineAnswered))
    return;
  restartWaitTimer(now);
  switch (event.Frame.Kind) {
  case FrameKind::Accepted:
  case FrameKind::Heartbeat:
    return;
  case FrameKind::Token:
    handleToken(event.Frame, now);
    return;
  case FrameKind::Final:
    handleFinal(event.Frame, now);
    return;
  }
}

void RequestMachine::handleToken(const backends::Frame &frame, absl::Time now) {
  HasRun = true;
  if (frame.Offset < NextOffset) {
    ++Dropped.Duplicate;
    return;
  }
  if (frame.Offset > NextOffset) {
    ++Dropped.Gap;
    handleConnectionLoss("a token frame is missing", now);
    return;
  }
  if (NextOffset == 0)
    appendTrace(now, fmt::format("first token of attempt {}", Attempt));
  ++NextOffset;
  LossesSinceProgress = 0;
  Pending.emplace_back(DeliverToken{frame.Text});
}

void RequestMachine::handleFinal(const backends::Frame &frame, absl::Time now) {
  HasRun = true;
  if (frame.Offset != NextOffset) {
    ++Dropped.Gap;
    handleConnectionLoss("the final frame doesn't follow the last token", now);
    return;
  }
  Position.apply(RequestStep::Completed);
  appendTrace(now, fmt::format("completed with {} tokens", NextOffset));
  releaseBackend(true, now);
  Pending.emplace_back(DropConnection{Connection});
  Pending.emplace_back(CompleteAnswer{NextOffset, frame.FinishReason});
}

void RequestMachine::on(const SubmitRefused &event, absl::Time now) {
  if (event.Connection != Connection)
    return;
  if (state() != RequestState::Waiting) {
    handleConnectionLoss("unexpected refusal", now);
    return;
  }
  appendTrace(now, fmt::format("{} refused: {}", Current.BackendId,
                               event.Refusal.Code));
  Selector.refused(Current.BackendId, event.Refusal.RetryAfterMs,
                   event.Refusal.Draining, now);
  returnToQueue(RequestStep::Refused, now);
}

void RequestMachine::on(const StreamNotFound &event, absl::Time now) {
  if (event.Connection == Connection && state() == RequestState::Resuming)
    handleStreamLoss("the engine has no such stream", now);
}

void RequestMachine::on(const ConnectionClosed &event, absl::Time now) {
  if (event.Connection != Connection)
    return;
  if (state() == RequestState::Waiting && !event.Error.Written) {
    appendTrace(now, fmt::format("nothing sent to {}: {}", Current.BackendId,
                                 event.Error.Message));
    Selector.failed(Current.BackendId, now);
    returnToQueue(RequestStep::NeverSent, now);
    return;
  }
  handleConnectionLoss(event.Error.Message, now);
}

void RequestMachine::on(const CancelAnswered &event, absl::Time now) {
  if (state() != RequestState::Cancelling || event.Attempt != Attempt)
    return;
  const bool wasUpAtSubmit =
      event.Answer.has_value() && event.Answer->Uptime >= now - SubmittedAt;
  const bool isNeverStarted =
      wasUpAtSubmit && event.Answer->State == CancelState::NeverStarted;
  if (isNeverStarted) {
    appendTrace(now, "the engine confirmed that the attempt never started");
    returnToQueue(RequestStep::StreamLost, now);
    return;
  }
  const bool hasRun = event.Answer.has_value() &&
                      event.Answer->State != CancelState::NeverStarted;
  HasRun = HasRun || hasRun;
  giveUp(ErrorCode::BackendFailed,
         "the backend server failed and the request may not be repeated",
         Plan.Profile.rule("repeatable"), 0, now);
}

void RequestMachine::on(const CallerDisconnected &, absl::Time now) {
  giveUp(ErrorCode::CallerGone, "the caller closed the connection",
         "caller_gone", 0, now);
}

void RequestMachine::on(const DrainTimeoutExpired &, absl::Time now) {
  giveUp(ErrorCode::Draining, "the entry node is shutting down",
         "setting node.drain_ms", DefaultRetryAfterMs, now);
}

void RequestMachine::on(const TimerFired &, absl::Time now) {
  if (now >= Plan.Deadline) {
    giveUp(ErrorCode::DeadlineExceeded, "the deadline passed",
           Plan.Profile.rule("deadline_ms"), DefaultRetryAfterMs, now);
    return;
  }
  if (state() == RequestState::Queued) {
    if (now >= QueueUntil)
      giveUp(ErrorCode::Overloaded, "no backend server was free in time",
             Plan.Profile.rule("queue_ms"), DefaultRetryAfterMs, now);
    else if (now >= RetryAt)
      trySubmit(now);
    return;
  }
  if (now < WaitUntil)
    return;
  if (state() == RequestState::Cancelling)
    on(CancelAnswered{Attempt, std::nullopt}, now);
  else
    handleStall(now);
}

void RequestMachine::handleStall(absl::Time now) {
  // The engine may have stopped; a backoff keeps new requests away from it.
  if (LossesSinceProgress == 0)
    Selector.failed(Current.BackendId, now);
  handleConnectionLoss("no frame within stall_ms", now);
}

void RequestMachine::handleConnectionLoss(std::string_view cause,
                                          absl::Time now) {
  appendTrace(now, fmt::format("connection {} lost: {}", Connection, cause));
  Pending.emplace_back(DropConnection{Connection});
  Position.apply(RequestStep::ConnectionLost);
  if (++LossesSinceProgress > MaxLossesSinceProgress) {
    handleStreamLoss(cause, now);
    return;
  }
  ++Connection;
  Pending.emplace_back(
      OpenResume{Connection, Attempt, NextOffset, Current.Address});
  restartWaitTimer(now);
}

void RequestMachine::handleStreamLoss(std::string_view cause, absl::Time now) {
  appendTrace(now,
              fmt::format("stream on {} lost: {}", Current.BackendId, cause));
  Selector.failed(Current.BackendId, now);
  if (NextOffset > 0 && Plan.Streaming) {
    giveUp(ErrorCode::BackendFailed,
           "the backend server failed before the answer was complete",
           "tokens of two attempts are never joined into one answer",
           DefaultRetryAfterMs, now);
    return;
  }
  if (!Plan.Profile.repeatable()) {
    Position.apply(RequestStep::OutcomeAsked);
    Pending.emplace_back(DropConnection{Connection});
    Pending.emplace_back(SendCancel{Attempt, Current.Address, true});
    restartWaitTimer(now);
    return;
  }
  Pending.emplace_back(DropConnection{Connection});
  Pending.emplace_back(SendCancel{Attempt, Current.Address, false});
  if (NextOffset > 0)
    Pending.emplace_back(RestartAnswer{});
  // The lost attempt may still run, regardless of how the next one ends.
  MayHaveRun = true;
  returnToQueue(RequestStep::StreamLost, now);
}

void RequestMachine::returnToQueue(RequestStep step, absl::Time now) {
  Pending.emplace_back(DropConnection{Connection});
  Exclude.push_back(Current.BackendId);
  releaseBackend(false, now);
  Position.apply(step);
  QueueUntil = std::min(Plan.Deadline, now + Plan.Profile.queueTimeout());
  trySubmit(now);
}

void RequestMachine::releaseBackend(bool completed, absl::Time now) {
  if (!HoldsBackend)
    return;
  HoldsBackend = false;
  Selector.released(Current.BackendId, query(), completed, now);
}

void RequestMachine::giveUp(ErrorCode code, std::string message,
                            std::string rule, int64_t retryAfterMs,
                            absl::Time now) {
  if (HoldsBackend) {
    MayHaveRun = true;
    Pending.emplace_back(DropConnection{Connection});
    Pending.emplace_back(SendCancel{Attempt, Current.Address, false});
    releaseBackend(false, now);
  }
  Position.apply(RequestStep::GivenUp);
  appendTrace(now, fmt::format("failed: {} ({})", message, rule));
  Pending.emplace_back(
      FailAnswer{errors::RequestErrorBuilder(code, std::move(message))
                     .run(runState())
                     .rule(std::move(rule))
                     .retryAfterMs(retryAfterMs)
                     .build()});
}

void RequestMachine::appendTrace(absl::Time now, std::string text) {
  if (Trace.size() < MaxTraceLines)
    Trace.push_back({now, std::move(text)});
}

} // namespace orioletally::core::requests

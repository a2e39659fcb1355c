#include "drivers/relay/call_runner.h"

#include "core/fleet/name_hash.h"
#include "core/relay/call_key.h"
#include "drivers/clock/clock.h"
#include "drivers/log/log.h"
#include "drivers/relay/cell_placer.h"
#include "drivers/relay/message_parts.h"

#include <algorithm>
#include <exception>
#include <fmt/format.h>
#include <utility>

namespace orioletally::drivers::relay {

namespace {

using core::errors::ErrorCode;
using core::errors::RequestError;
using core::relay::AttemptEnd;
using core::relay::CallStep;
using core::relay::CallTimeout;
using core::relay::Dispatch;
using core::relay::NextStep;
using loop::AsTuple;

/// A call fails after this many attempts at which nothing was written.
/// Connecting takes up to a quarter of a second in each.
constexpr int MaxUnsentAttempts = 3;
/// Retry-After of a node that is starting or shutting down.
constexpr int64_t NodeRetryAfterMs = 200;
/// Minimum Retry-After of a call that backend servers refused.
constexpr absl::Duration RefusedRetryAfter = absl::Milliseconds(250);

/// Counts a call as in progress during its lifetime.
class CallCount {
public:
  explicit CallCount(RelayContext &context) : Context(context) {
    Context.Metrics.setInProgress(++Context.InProgress);
  }
  ~CallCount() { Context.Metrics.setInProgress(--Context.InProgress); }
  CallCount(const CallCount &) = delete;
  CallCount &operator=(const CallCount &) = delete;

private:
  RelayContext &Context;
};

} // namespace

CallRunner::CallRunner(RelayContext &context, asio::ip::tcp::socket &socket,
                       CallRequest request, absl::Time now)
    : Context(context), Writer(socket, request.version()),
      Lifecycle(context.CallChart),
      Timer(context.Loop, [this](absl::Time at) { onTimeout(at); }),
      AttemptEnded(context.Loop, std::chrono::steady_clock::time_point::max()) {
  Call.Request = std::move(request);
  Call.ArrivedAt = now;
}

asio::awaitable<bool> CallRunner::run() {
  const CallCount count(Context);
  Writer.setKeepOpen(Call.Request.keep_alive() && !Context.isDraining());
  Call.Head = Context.Codec.decodeCall(headerViews(Call.Request));
  co_await Context.Gate.pass(
      Call.Head.Timeout.value_or(absl::InfiniteDuration()));
  StartDelay = clock::steadyNow() - Call.ArrivedAt;
  const bool isAdmitted = !Aborted.has_value() && admit();
  // Without the braces, g++ 12 generates a coroutine that traps.
  if (isAdmitted) {
    co_await attempts();
  }
  Timer.setEnd(absl::InfiniteFuture());
  const bool hasBufferedAnswer = BufferedAnswer.has_value() &&
                                 !Call.Progress.Delivered &&
                                 Aborted != AttemptEnd::CallerGone;
  if (hasBufferedAnswer) {
    step(CallStep::AnswerReady);
    Timer.setEnd(clock::steadyNow() + CallerWriteTimeout);
    co_await Writer.writePlain(std::move(*BufferedAnswer));
  }
  Writer.resetIfTruncated();
  step(CallStep::Settled);
  Timer.setEnd(absl::InfiniteFuture());
  logEnd();
  co_return Writer.isWhole() && Writer.keepsOpen();
}

bool CallRunner::admit() {
  Call.Config = Context.Dispatcher.config();
  if (!Context.Dispatcher.isInitialized() ||
      Context.isShuttingDown(Call.ArrivedAt)) {
    const bool isDraining = Context.isDraining();
    answerWithError(
        core::errors::RequestErrorBuilder(
            isDraining ? ErrorCode::Draining : ErrorCode::PlatformUnavailable,
            isDraining ? "this node is shutting down"
                       : "this node hasn't read the configuration and the "
                         "backend servers yet")
            .rule(isDraining ? "SIGTERM" : "start")
            .retryAfterMs(NodeRetryAfterMs)
            .build());
    return false;
  }
  const std::string_view host = view(Call.Request[bhttp::field::host]);
  Call.Route = Call.Config->match(host, view(Call.Request.target()));
  if (Call.Route == nullptr) {
    refuseByConfig(
        ErrorCode::NotFound,
        fmt::format("no route for {}{}", host, view(Call.Request.target())));
    return false;
  }
  const std::string *workspace = Call.Config->workspace(Call.Head.Key);
  if (workspace != nullptr)
    Call.Workspace = *workspace;
  if (workspace == nullptr && !Call.Route->Public && Call.Config->needsKeys()) {
    refuseByConfig(ErrorCode::Unauthorized,
                   "the API key is missing or belongs to no workspace");
    return false;
  }
  Call.Progress.Deadline =
      Call.ArrivedAt + std::min(Call.Route->Timeout, Call.Head.Timeout.value_or(
                                                         Call.Route->Timeout));
  Call.LastEventId = Call.Head.ResumeAfter;
  Timer.setEnd(Call.Progress.Deadline);
  describeDemand();
  const std::string callKey = core::relay::callKey(
      {Call.Request.method_string(), host, view(Call.Request.target()),
       Call.Head.Key,
       Call.Request.body().empty() && !Call.Head.PromptParts.empty()
           ? Call.Head.PromptParts.back()
           : Call.Request.body()});
  // Calls without a prompt may be alike without being retries of each other.
  if (Call.Head.PromptTokens > 0)
    Demand.CallHash = static_cast<uint32_t>(core::fleet::nameHash(callKey));
  Call.CrashSuspects =
      core::relay::crashSuspects(callKey, Call.Head.PromptParts);
  if (const auto error = quarantineError()) {
    answerWithError(*error);
    return false;
  }
  return true;
}

void CallRunner::refuseByConfig(ErrorCode code, std::string message) {
  const absl::Time now = clock::steadyNow();
  core::relay::ConfigCurrency currency;
  currency.CurrentAt = now;
  if (Context.ConfigCurrency)
    currency = Context.ConfigCurrency(now);
  log::write(log::Level::Info, "call_not_in_config",
             {{"id", Call.Head.AttemptId},
              {"code", core::errors::errorCodeName(code)},
              {"version", Call.Config->version()},
              {"age_ms", absl::ToInt64Milliseconds(now - currency.CurrentAt)},
              {"source", currency.IsFromPeer ? "peer" : "store"},
              {"newest_reported", currency.NewestReported}});
  answerWithError(core::relay::refuseByConfig(
      {code, std::move(message), Call.Config->version()}, currency,
      Context.ConfigMaxAge, now));
}

std::optional<RequestError> CallRunner::quarantineError() const {
  const auto found = Context.Guard.findQuarantined(Call.CrashSuspects);
  if (!found.has_value())
    return std::nullopt;
  const bool isCall = core::relay::isCallKey(found->Part);
  return core::errors::RequestErrorBuilder(
             isCall ? ErrorCode::CallQuarantined : ErrorCode::PromptQuarantined,
             isCall ? std::string("the call crashes backend servers")
                    : fmt::format("part {} of the prompt crashes backend "
                                  "servers",
                                  found->Part))
      .rule(fmt::format("quarantine of {} {}", isCall ? "call" : "prompt part",
                        found->Part))
      .retryAfterMs(absl::ToInt64Milliseconds(
          absl::Ceil(found->TimeLeft, absl::Milliseconds(1))))
      .build();
}

void CallRunner::describeDemand() {
  Demand.Route = Call.Route;
  Demand.Config = Call.Config;
  Demand.PromptTokens = Call.Head.PromptTokens;
  Demand.AnswerTokens =
      Call.Head.ExpectedAnswerTokens.has_value()
          ? std::min(*Call.Head.ExpectedAnswerTokens, Call.Head.AnswerTokens)
          : Call.Head.AnswerTokens;
  Demand.Workspace = Call.Workspace;
  Demand.ArrivedAt = Call.ArrivedAt;
  Demand.Deadline = Call.Progress.Deadline;
  Demand.Workspace = Call.Workspace;
  // The last part belongs to this prompt or its session alone.
  Demand.SharedParts = Call.Head.PromptParts;
  if (!Demand.SharedParts.empty())
    Demand.SharedParts.pop_back();
}

void CallRunner::recordAdmission() {
  if (Admission.has_value() || !Context.Dispatcher.lastAdmission().has_value())
    return;
  Admission = Context.Dispatcher.lastAdmission();
  const core::relay::AdmissionLimits &limits = Admission->Limits;
  Context.Metrics.callAdmitted(
      Admission->Service, Admission->Rank.Index,
      core::relay::admissionOutcomeName(Admission->Outcome), limits.Contention);
  if (Admission->Outcome != core::relay::AdmissionOutcome::Refused)
    return;
  nlohmann::json line = {
      {"id", Call.Head.AttemptId},
      {"service", Admission->Service},
      {"rank", Admission->Rank.Index},
      {"ranks", Admission->Rank.Count},
      {"workspace", Call.Workspace},
      {"prompt", Call.Head.PromptTokens},
      {"contention", limits.Contention},
      {"pressure", limits.Pressure},
      {"guaranteed", limits.IsGuaranteed},
      {"work_ms", absl::ToInt64Milliseconds(limits.Work)},
      {"backlog_ms", absl::ToInt64Milliseconds(Admission->Backlog)},
      {"predicted_wait_ms", absl::ToInt64Milliseconds(Admission->Wait)}};
  const auto addLimit = [&](const char *key, absl::Duration limit) {
    if (limit != absl::InfiniteDuration())
      line[key] = absl::ToInt64Milliseconds(limit);
  };
  addLimit("fair_work_ms", limits.FairWork);
  addLimit("max_backlog_ms", limits.MaxBacklog);
  addLimit("max_wait_ms", Admission->MaxWait);
  log::write(log::Level::Info, "admission_refused", line);
}

void CallRunner::answerWithError(const RequestError &error) {
  LocalErrorCode = core::errors::errorCodeName(error.Code);
  LocalErrorRule = error.Rule;
  LocalRetryAfterMs = error.RetryAfterMs;
  BufferedAnswer = errorResponse(error, Call.Head.AttemptId, Context.Codec);
  omitBodyForHead(*BufferedAnswer, Call.Request.method());
  Context.Metrics.localErrorSent(LocalErrorCode);
}

std::variant<Dispatch, RequestError> CallRunner::choose(absl::Time now) {
  if (const auto error = quarantineError())
    return *error;
  // A further attempt may not reach more backend servers than the route allows.
  const bool isSpent =
      Call.Progress.Sent + Call.Progress.InProgress >= Call.Route->MaxAttempts;
  Demand.Only = isSpent ? Superseded : std::vector<std::string>();
  std::variant<Dispatch, RequestError> chosen =
      Context.Dispatcher.choose(Demand, now);
  recordAdmission();
  return chosen;
}

std::variant<Dispatch, RequestError>
CallRunner::chooseAgain(const Dispatch &earlier) {
  Demand.IsAdmissionDecided = true;
  std::variant<Dispatch, RequestError> chosen = choose(clock::steadyNow());
  Demand.IsAdmissionDecided = false;
  if (auto *dispatch = std::get_if<Dispatch>(&chosen)) {
    dispatch->Admission = earlier.Admission;
    dispatch->FirstTokenDue = earlier.FirstTokenDue;
  }
  return chosen;
}

asio::awaitable<std::variant<Dispatch, RequestError>>
CallRunner::chooseInAnyCell() {
  std::variant<Dispatch, RequestError> own = choose(clock::steadyNow());
  const bool isAlone = InProgress.empty() && Ended.empty();
  if (!isAlone || Context.OtherCells == nullptr ||
      !Context.OtherCells->shouldAsk(Demand, own, clock::steadyNow()))
    co_return own;
  const CellPlacer::Question question{
      Call.Head.AttemptId,
      Demand,
      own,
      Question,
      [this, &own] { return chooseAgain(std::get<Dispatch>(own)); },
      [this] { return Aborted.has_value(); }};
  co_return co_await Context.OtherCells->ask(question);
}

void CallRunner::start(Dispatch dispatch, absl::Time now) {
  step(CallStep::Chosen);
  Service = dispatch.Server->Entry.Service;
  Demand.Tried.push_back(dispatch.Server->Entry.Id);
  std::erase(Superseded, dispatch.Server->Entry.Id);
  Call.Progress.MayReturn = !Superseded.empty();
  auto attempt = std::make_shared<AttemptRunner>(
      Context, Call, static_cast<AttemptListener &>(*this),
      std::move(dispatch));
  InProgress.push_back(attempt);
  attempt->begin(now);
  asio::co_spawn(
      Context.Loop,
      [self = shared_from_this(), attempt] {
        return self->runAttempt(attempt);
      },
      asio::detached);
}

asio::awaitable<void>
CallRunner::runAttempt(std::shared_ptr<AttemptRunner> attempt) {
  try {
    co_await attempt->run();
  } catch (const std::exception &error) {
    log::write(
        log::Level::Error, "attempt_failed",
        {{"id", Call.Head.AttemptId}, {"reason", std::string(error.what())}});
    attempt->fail(clock::steadyNow());
  }
  std::erase(InProgress, attempt);
  Ended.push_back(std::move(attempt));
  AttemptEnded.cancel();
}

asio::awaitable<std::shared_ptr<AttemptRunner>> CallRunner::nextEnded() {
  while (Ended.empty()) {
    co_await AttemptEnded.async_wait(AsTuple);
  }
  std::shared_ptr<AttemptRunner> attempt = std::move(Ended.front());
  Ended.pop_front();
  if (InProgress.empty() && Ended.empty())
    step(CallStep::AttemptsEnded);
  Records.push_back(attempt->record());
  const AttemptEnd end = attempt->record().End;
  if (core::relay::wasSent(end)) {
    ++Call.Progress.Sent;
    Call.Progress.MayHaveRun =
        Call.Progress.MayHaveRun || core::relay::mayHaveRun(end);
  }
  // After an evacuation, a helper's zone may be the cause.
  if (end == AttemptEnd::Superseded || end == AttemptEnd::Withdrawn ||
      end == AttemptEnd::Evacuated)
    std::erase(Demand.Tried, attempt->record().Backend);
  if (end == AttemptEnd::Superseded) {
    Superseded.push_back(attempt->record().Backend);
    Call.Progress.MayReturn = true;
  }
  co_return attempt;
}

asio::awaitable<void> CallRunner::attempts() {
  std::variant<Dispatch, RequestError> chosen = co_await chooseInAnyCell();
  const absl::Time now = clock::steadyNow();
  if (Aborted.has_value()) {
    giveUp(*Aborted, now);
    co_return;
  }
  if (const auto *error = std::get_if<RequestError>(&chosen)) {
    answerWithError(*error);
    co_return;
  }
  start(std::get<Dispatch>(std::move(chosen)), now);
  Context.Dispatcher.arrived(Service, now);
  bool isSettled = false;
  while (!isSettled) {
    const std::shared_ptr<AttemptRunner> attempt = co_await nextEnded();
    isSettled = co_await settle(*attempt, clock::steadyNow());
  }
  stopOthers(nullptr);
  while (!InProgress.empty() || !Ended.empty()) {
    co_await nextEnded();
  }
}

void CallRunner::countInProgress() {
  Call.Progress.InProgress = 0;
  Call.Progress.IsAnswering = false;
  for (const std::shared_ptr<AttemptRunner> &it : InProgress) {
    if (it->isStopped())
      continue;
    ++Call.Progress.InProgress;
    Call.Progress.IsAnswering = Call.Progress.IsAnswering || !it->isDoubted();
  }
  // One of these may have the whole answer.
  for (const std::shared_ptr<AttemptRunner> &it : Ended) {
    if (it->isStopped())
      continue;
    ++Call.Progress.InProgress;
    Call.Progress.IsAnswering = true;
  }
}

asio::awaitable<bool> CallRunner::settle(AttemptRunner &attempt,
                                         absl::Time now) {
  const AttemptEnd end = attempt.record().End;
  countInProgress();
  if (attempt.plainAnswer().has_value()) {
    BufferedAnswer = std::move(attempt.plainAnswer());
    AnswerMemory = std::move(attempt.answerMemory());
  }
  if (Aborted.has_value()) {
    if (!InProgress.empty() || !Ended.empty())
      co_return false;
    if (*Aborted != AttemptEnd::CallerGone)
      giveUp(Call.Progress.MayHaveRun ? *Aborted : end, now);
    co_return true;
  }
  // Another attempt took its place.
  if (attempt.isStopped())
    co_return false;
  switch (nextStep(end, now)) {
  case NextStep::Retry: {
    const bool isRetried = co_await retry(end);
    co_return !isRetried;
  }
  case NextStep::Wait:
    co_return false;
  case NextStep::ForwardAnswer:
  case NextStep::AbortAnswer:
    co_return true;
  case NextStep::GiveUp:
    giveUp(end, now);
    co_return true;
  }
  co_return true;
}

NextStep CallRunner::nextStep(AttemptEnd end, absl::Time now) {
  const NextStep next =
      core::relay::nextStep(*Call.Route, Call.Progress, end, now);
  if (next != NextStep::Retry)
    return next;
  // Such a backend server isn't chosen again, so this can't go on for long.
  if (end == AttemptEnd::Evacuated)
    return next;
  const bool isUnsent =
      end == AttemptEnd::NotSent || end == AttemptEnd::NoMemory;
  const bool isAllowed = isUnsent ? ++UnsentAttempts < MaxUnsentAttempts
                                  : Context.Dispatcher.tryRetry(Service, now);
  if (isAllowed)
    return next;
  // Decide as after the last allowed attempt.
  core::relay::CallProgress spent = Call.Progress;
  spent.Sent = Call.Route->MaxAttempts;
  spent.MayReturn = false;
  return core::relay::nextStep(*Call.Route, spent, end, now);
}

asio::awaitable<bool> CallRunner::retry(AttemptEnd last) {
  std::variant<Dispatch, RequestError> chosen = co_await chooseInAnyCell();
  const absl::Time now = clock::steadyNow();
  if (Aborted.has_value()) {
    giveUp(Call.Progress.MayHaveRun ? *Aborted : last, now);
    co_return false;
  }
  if (auto *dispatch = std::get_if<Dispatch>(&chosen)) {
    start(std::move(*dispatch), now);
    co_return true;
  }
  if (Call.Progress.InProgress > 0)
    co_return true;
  if (!Call.Progress.Delivered && !BufferedAnswer.has_value())
    answerWithError(
        Call.Progress.MayHaveRun
            ? core::relay::giveUpError(Call.Progress, last, RefusedRetryAfter)
            : std::get<RequestError>(chosen));
  co_return false;
}

void CallRunner::giveUp(AttemptEnd last, absl::Time now) {
  if (last == AttemptEnd::CallerGone || Call.Progress.Delivered ||
      BufferedAnswer.has_value())
    return;
  answerWithError(core::relay::giveUpError(
      Call.Progress, last,
      Context.Dispatcher.retryDelay(Service, RefusedRetryAfter, now)));
}

void CallRunner::stopOthers(const AttemptRunner *winner) {
  for (const std::shared_ptr<AttemptRunner> &it : InProgress)
    if (it.get() != winner)
      it->stop(it->isDoubted() ? AttemptEnd::Stalled : AttemptEnd::Superseded);
  for (const std::shared_ptr<AttemptRunner> &it : Ended)
    it->stop(AttemptEnd::Superseded);
}

void CallRunner::attemptSilent(AttemptRunner &attempt, absl::Duration silent,
                               absl::Time now) {
  countInProgress();
  bool isOverlapped = false;
  if (core::relay::mayOverlap(*Call.Route, Call.Progress, now)) {
    std::variant<Dispatch, RequestError> chosen = choose(now);
    auto *dispatch = std::get_if<Dispatch>(&chosen);
    isOverlapped =
        dispatch != nullptr && Context.Dispatcher.tryRetry(Service, now);
    if (isOverlapped)
      start(std::move(*dispatch), now);
  }
  log::write(log::Level::Info, "silence",
             {{"id", Call.Head.AttemptId},
              {"backend", attempt.dispatch().Server->Entry.Id},
              {"silent_for_ms", absl::ToInt64Milliseconds(silent)},
              {"overlapped", isOverlapped}});
}

asio::awaitable<bool> CallRunner::deliverEvents(AttemptRunner &attempt,
                                                std::string events) {
  stopOthers(&attempt);
  recordEvents(clock::steadyNow());
  Call.LastEventId = attempt.lastEventId();
  const bool hasBegun = co_await beginStream(attempt);
  if (!hasBegun) {
    co_return false;
  }
  co_return co_await Writer.writeEvents(std::move(events));
}

asio::awaitable<bool> CallRunner::deliverEnd(AttemptRunner &attempt) {
  stopOthers(&attempt);
  const bool hasBegun = co_await beginStream(attempt);
  if (!hasBegun) {
    co_return false;
  }
  co_return co_await Writer.endStream();
}

asio::awaitable<bool> CallRunner::beginStream(AttemptRunner &attempt) {
  if (Writer.hasBegun())
    co_return true;
  Call.Progress.Delivered = true;
  co_return co_await Writer.beginStream(std::move(attempt.streamHead()));
}

void CallRunner::recordEvents(absl::Time now) {
  if (FirstEventAfter == absl::ZeroDuration())
    FirstEventAfter = now - Call.ArrivedAt;
  else
    LongestGap = std::max(LongestGap, now - LastEventsAt);
  LastEventsAt = now;
}

void CallRunner::callerBlocked() { Writer.closeCaller(); }

void CallRunner::abort(AttemptEnd reason) {
  if (Aborted.has_value())
    return;
  Aborted = reason;
  const bool isWriting = isWritingToCaller();
  if (Question != 0)
    Context.OtherCells->cancel(Question);
  for (const std::shared_ptr<AttemptRunner> &it : InProgress)
    it->stop(reason);
  if (isWriting)
    Writer.closeCaller();
}

void CallRunner::giveUp() {
  if (!isWritingToCaller())
    abort(AttemptEnd::OutOfTime);
}

bool CallRunner::isWritingToCaller() const {
  return Lifecycle.timeout() == CallTimeout::CallerWrite ||
         std::any_of(InProgress.begin(), InProgress.end(),
                     [](const auto &it) { return it->isForwarding(); });
}

void CallRunner::onTimeout(absl::Time /*now*/) {
  switch (Lifecycle.timeout()) {
  case CallTimeout::TimeLimit:
    abort(AttemptEnd::OutOfTime);
    return;
  case CallTimeout::CallerWrite:
    Writer.closeCaller();
    return;
  case CallTimeout::None:
    return;
  }
}

void CallRunner::step(CallStep callStep) {
  if (Lifecycle.apply(callStep))
    return;
  const auto stepIndex = static_cast<size_t>(callStep);
  const auto stateIndex = static_cast<size_t>(Lifecycle.state());
  log::write(log::Level::Error, "call_step_ignored",
             {{"id", Call.Head.AttemptId},
              {"step", core::relay::callStepNames()[stepIndex]},
              {"state", core::relay::callStateNames()[stateIndex]}});
}

void CallRunner::logEnd() {
  const absl::Duration took = clock::steadyNow() - Call.ArrivedAt;
  const std::string kind(Call.Route == nullptr
                             ? "none"
                             : core::routes::routeKindName(Call.Route->Kind));
  Context.Metrics.callEnded(kind, Writer.status(), took);
  nlohmann::json tries = nlohmann::json::array();
  for (const AttemptRecord &it : Records) {
    tries.push_back({{"backend", it.Backend},
                     {"end", core::relay::attemptEndName(it.End)},
                     {"ms", absl::ToInt64Milliseconds(it.Took)},
                     {"predicted_ms", absl::ToInt64Milliseconds(it.Predicted)},
                     {"helpers", it.Helpers}});
    if (it.RequestLimit.has_value())
      tries.back()["request_limit"] = *it.RequestLimit;
    if (!it.Stream.has_value())
      continue;
    tries.back()["framing"] = core::relay::bodyFramingName(it.Stream->Framing);
    tries.back()["inside_event"] = it.Stream->IsInsideEvent;
  }
  nlohmann::json line = {
      {"id", Call.Head.AttemptId},
      {"route", Call.Route == nullptr ? "" : Call.Route->Name},
      {"kind", kind},
      {"workspace", Call.Workspace},
      {"config", Call.Config == nullptr ? 0 : Call.Config->version()},
      {"prompt", Call.Head.PromptTokens},
      {"parts", Call.Head.PromptParts},
      {"status", Writer.status()},
      {"whole", Writer.isWhole()},
      {"first_ms", absl::ToInt64Milliseconds(FirstEventAfter)},
      {"gap_ms", absl::ToInt64Milliseconds(LongestGap)},
      {"ms", absl::ToInt64Milliseconds(took)},
      {"attempts", std::move(tries)}};
  if (Call.Route != nullptr) {
    line["objective_ms"] = absl::ToInt64Milliseconds(Call.Route->Objective);
    line["gap_objective_ms"] =
        absl::ToInt64Milliseconds(Call.Route->GapObjective);
  }
  if (!LocalErrorCode.empty()) {
    line["code"] = LocalErrorCode;
    line["rule"] = LocalErrorRule;
    line["retry_after_ms"] = LocalRetryAfterMs;
  }
  if (Admission.has_value()) {
    line["rank"] = Admission->Rank.Index;
    line["admission"] = core::relay::admissionOutcomeName(Admission->Outcome);
  }
  if (const int64_t ms = absl::ToInt64Milliseconds(StartDelay); ms > 0)
    line["start_wait_ms"] = ms;
  if (Aborted.has_value())
    line["aborted"] = core::relay::attemptEndName(*Aborted);
  log::write(log::Level::Info, "call", line);
}

} // namespace orioletally::drivers::relay

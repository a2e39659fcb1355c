#include "drivers/relay/call_runner.h"

#include "core/relay/silence_timeout.h"
#include "drivers/clock/clock.h"
#include "drivers/log/log.h"
#include "drivers/loop/connection_end.h"
#include "drivers/loop/endpoint.h"
#include "drivers/loop/message_framing.h"
#include "drivers/relay/message_parts.h"
#include "drivers/relay/request_limit_log.h"

#include <algorithm>
#include <array>
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
using core::routes::RouteKind;
using loop::AsTuple;
using loop::FirstChunkedVersion;
using AnswerParser = bhttp::response_parser<bhttp::buffer_body>;

/// A slower connection isn't worth waiting for: this is about ten times the
/// longest round trip between availability zones.
constexpr absl::Duration ConnectTimeout = absl::Milliseconds(250);
/// A call fails after this many attempts at which nothing was written.
/// Connecting takes up to ConnectTimeout in each.
constexpr int MaxUnsentAttempts = 3;
/// A caller that doesn't accept a part of its answer within this time counts
/// as disconnected.
constexpr absl::Duration CallerWriteTimeout = absl::Seconds(5);
constexpr uint32_t MaxAnswerHeaderBytes = 64 << 10;
/// Interim answers (1xx) accepted before the final one; servers send one or
/// two.
constexpr int MaxInterimAnswers = 16;
constexpr size_t ReadBufferBytes = 8 << 10;
constexpr int StatusUnavailable = 503;
/// Priorities that are sent to engines; see core::engines::isUrgent(). 0 is the
/// most urgent.
constexpr int64_t ShortPromptPriority = 3;
constexpr int64_t LongPromptPriority = 5;
/// Retry-After of a node that is starting or shutting down.
constexpr int64_t NodeRetryAfterMs = 200;
/// Minimum Retry-After of a call that backend servers refused.
constexpr absl::Duration RefusedRetryAfter = absl::Milliseconds(250);
/// Subtracted from the time left that is sent to a backend server, so that its
/// answer arrives before the deadline.
constexpr absl::Duration AnswerTransitTime = absl::Milliseconds(5);

nlohmann::json
idsOf(const std::vector<std::shared_ptr<core::fleet::BackendServer>> &servers) {
  nlohmann::json ids = nlohmann::json::array();
  for (const auto &it : servers)
    ids.push_back(it->Entry.Id);
  return ids;
}

core::relay::BodyFraming framingOf(const AnswerParser &parser) {
  if (parser.need_eof())
    return core::relay::BodyFraming::ConnectionClose;
  return parser.chunked() ? core::relay::BodyFraming::Chunks
                          : core::relay::BodyFraming::Length;
}

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
    : Context(context), Caller(socket), Request(std::move(request)),
      ArrivedAt(now), Lifecycle(context.CallChart), Timer(context.Loop) {}

asio::awaitable<bool> CallRunner::run() {
  const CallCount count(Context);
  KeepCallerOpen = Request.keep_alive() && !Context.isDraining();
  Head = Context.Codec.decodeCall(headerViews(Request));
  co_await Context.Gate.pass(Head.Timeout.value_or(absl::InfiniteDuration()));
  StartDelay = clock::steadyNow() - ArrivedAt;
  const bool isAdmitted = !Aborted.has_value() && admit();
  // Without the braces, g++ 12 generates a coroutine that traps.
  if (isAdmitted) {
    co_await attempts();
  }
  Timer.cancel();
  if (Aborted == AttemptEnd::CallerGone)
    KeepCallerOpen = false;
  const bool hasBufferedAnswer = BufferedAnswer.has_value() &&
                                 !Progress.Delivered &&
                                 Aborted != AttemptEnd::CallerGone;
  if (hasBufferedAnswer) {
    Progress.Deadline = absl::InfiniteFuture();
    step(CallStep::AnswerReady);
    const bool isWritten = co_await writePlain();
    KeepCallerOpen = KeepCallerOpen && isWritten;
  }
  if (Progress.Delivered && !IsStreamFinished &&
      Request.version() < FirstChunkedVersion)
    loop::resetConnection(Caller);
  step(CallStep::Settled);
  Timer.cancel();
  logEnd();
  co_return KeepCallerOpen;
}

bool CallRunner::admit() {
  Config = Context.Dispatcher.config();
  if (!Context.Dispatcher.isInitialized() ||
      Context.isShuttingDown(ArrivedAt)) {
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
  const std::string_view host = view(Request[bhttp::field::host]);
  Route = Config->match(host, view(Request.target()));
  if (Route == nullptr) {
    answerWithError(core::errors::refusal(
        ErrorCode::NotFound,
        fmt::format("no route for {}{}", host, view(Request.target())),
        fmt::format("configuration {}", Config->version())));
    return false;
  }
  const std::string *workspace = Config->workspace(Head.Key);
  if (workspace != nullptr)
    Workspace = *workspace;
  if (workspace == nullptr && !Route->Public && Config->needsKeys()) {
    answerWithError(core::errors::refusal(
        ErrorCode::Unauthorized,
        "the API key is missing or belongs to no workspace",
        fmt::format("configuration {}", Config->version())));
    return false;
  }
  Progress.Deadline =
      ArrivedAt +
      std::min(Route->Timeout, Head.Timeout.value_or(Route->Timeout));
  Events =
      core::relay::EventStream(Head.ResumeAfter, Context.Limits.MaxEventBytes);
  describeDemand();
  CrashSuspects = core::relay::crashSuspects(
      core::relay::callKey({Request.method_string(), host,
                            view(Request.target()), Head.Key,
                            Request.body().empty() && !Head.PromptParts.empty()
                                ? Head.PromptParts.back()
                                : Request.body()}),
      Head.PromptParts);
  if (const auto error = quarantineError()) {
    answerWithError(*error);
    return false;
  }
  return true;
}

std::optional<RequestError> CallRunner::quarantineError() const {
  const auto found = Context.Guard.findQuarantined(CrashSuspects);
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
  Demand.Route = Route;
  Demand.Config = Config;
  Demand.PromptTokens = Head.PromptTokens;
  Demand.AnswerTokens =
      Head.ExpectedAnswerTokens.has_value()
          ? std::min(*Head.ExpectedAnswerTokens, Head.AnswerTokens)
          : Head.AnswerTokens;
  Demand.ArrivedAt = ArrivedAt;
  Demand.Deadline = Progress.Deadline;
}

void CallRunner::answerWithError(const RequestError &error) {
  LocalErrorCode = core::errors::errorCodeName(error.Code);
  LocalErrorRule = error.Rule;
  LocalRetryAfterMs = error.RetryAfterMs;
  BufferedAnswer = errorResponse(error, Head.AttemptId, Context.Codec);
  Context.Metrics.localErrorSent(LocalErrorCode);
}

asio::awaitable<void> CallRunner::attempts() {
  int unsent = 0;
  AttemptEnd last = AttemptEnd::NotSent;
  for (;;) {
    absl::Time now = clock::steadyNow();
    std::variant<Dispatch, RequestError> chosen;
    if (const auto error = quarantineError())
      chosen = *error;
    else
      chosen = Context.Dispatcher.choose(Demand, now);
    if (const auto *error = std::get_if<RequestError>(&chosen)) {
      if (Progress.Delivered)
        KeepCallerOpen = false;
      else if (!BufferedAnswer.has_value())
        answerWithError(
            Progress.MayHaveRun
                ? core::relay::giveUpError(Progress, last, RefusedRetryAfter)
                : *error);
      co_return;
    }
    Dispatch &dispatch = std::get<Dispatch>(chosen);
    const std::string service = dispatch.Server->Entry.Service;
    if (Attempts.empty())
      Context.Dispatcher.arrived(service, now);
    last = co_await attempt(dispatch);
    now = clock::steadyNow();
    NextStep next = core::relay::nextStep(*Route, Progress, last, now);
    const bool isUnsent =
        last == AttemptEnd::NotSent || last == AttemptEnd::NoMemory;
    if (next == NextStep::Retry && isUnsent) {
      if (++unsent >= MaxUnsentAttempts)
        next = NextStep::GiveUp;
    } else if (next == NextStep::Retry && !IsRetryCharged &&
               !Context.Dispatcher.tryRetry(service, now)) {
      // Out of retry budget: decide as after the last allowed attempt.
      core::relay::CallProgress spent = Progress;
      spent.Sent = Route->MaxAttempts;
      next = core::relay::nextStep(*Route, spent, last, now);
    }
    IsRetryCharged = false;
    switch (next) {
    case NextStep::Retry:
      Events.restart();
      continue;
    case NextStep::ForwardAnswer:
      co_return;
    case NextStep::AbortAnswer:
      KeepCallerOpen = false;
      co_return;
    case NextStep::GiveUp:
      if (last == AttemptEnd::CallerGone)
        KeepCallerOpen = false;
      else if (!BufferedAnswer.has_value())
        answerWithError(core::relay::giveUpError(
            Progress, last,
            Context.Dispatcher.retryDelay(service, RefusedRetryAfter, now)));
      co_return;
    }
  }
}

asio::awaitable<AttemptEnd> CallRunner::attempt(Dispatch &dispatch) {
  const absl::Time startedAt = clock::steadyNow();
  const bool isEngine = dispatch.Speed != nullptr;
  log::write(log::Level::Info, "dispatch",
             {{"id", Head.AttemptId},
              {"backend", dispatch.Server->Entry.Id},
              {"row_version", dispatch.Server->Entry.RowVersion},
              {"config", Config->version()},
              {"writers", isEngine ? dispatch.Server->Load.decodingCount() : 0},
              {"readers", isEngine ? dispatch.Server->Load.prefillingCount()
                                   : dispatch.Server->InFlight},
              {"pace", dispatch.Server->Health.slowdownRatio()},
              {"helpers", idsOf(dispatch.Helpers)},
              {"prompt", dispatch.PromptTokens},
              {"predicted_ms",
               absl::ToInt64Milliseconds(dispatch.PredictedFirstToken)}});
  step(CallStep::Chosen);
  Current = &dispatch;
  IsStalled = false;
  LastStreamEnd.reset();
  LastRequestLimit.reset();
  IsPromptSound = false;
  Context.Dispatcher.sent(dispatch, startedAt);
  LastByteAt = startedAt;
  AttemptEnd end = AttemptEnd::NoMemory;
  const bool isReserved = co_await reserveMemory(dispatch);
  if (isReserved) {
    end = co_await exchange(dispatch);
  }
  for (const std::shared_ptr<MemoryLease> &it : Leases)
    it->release();
  Leases.clear();
  Current = nullptr;
  Channel.reset();
  step(CallStep::AttemptEnded);
  const absl::Time now = clock::steadyNow();
  if (end != AttemptEnd::NotSent && end != AttemptEnd::NoMemory) {
    ++Progress.Sent;
    Progress.MayHaveRun = Progress.MayHaveRun || core::relay::mayHaveRun(end);
  }
  Demand.Tried.push_back(dispatch.Server->Entry.Id);
  Context.Dispatcher.ended(dispatch, end, now);
  Context.Guard.recordEnd(Head.AttemptId, promptAttempt(dispatch, end, now),
                          CrashSuspects);
  if (end == AttemptEnd::WrongBackend)
    markLeaving(*dispatch.Server, "another backend server has the address");
  Context.Metrics.attemptEnded(core::relay::attemptEndName(end));
  Attempts.push_back({dispatch.Server->Entry.Id, end, now - startedAt,
                      dispatch.PredictedFirstToken, dispatch.Helpers.size(),
                      LastStreamEnd, LastRequestLimit});
  co_return end;
}

core::relay::PromptAttempt CallRunner::promptAttempt(const Dispatch &dispatch,
                                                     AttemptEnd end,
                                                     absl::Time now) const {
  core::relay::PromptAttempt result;
  result.Backend = dispatch.Server->Entry.Id;
  result.End = end;
  result.FirstEventAt = dispatch.FirstTokenAt;
  result.IsEndMarked =
      LastStreamEnd.has_value() &&
      LastStreamEnd->Framing != core::relay::BodyFraming::ConnectionClose;
  // An answer that isn't a stream is read as a whole.
  if (end == AttemptEnd::Answered && !LastStreamEnd.has_value()) {
    result.FirstEventAt = now;
    result.IsEndMarked = true;
  }
  return result;
}

std::string CallRunner::reservationName(const Dispatch &dispatch, size_t n) {
  return fmt::format("{:x}-{}", dispatch.LoadId, n);
}

asio::awaitable<bool> CallRunner::reserveMemory(const Dispatch &dispatch) {
  for (size_t n = 0; n < dispatch.Helpers.size(); ++n) {
    if (dispatch.Reserved[n] == 0)
      continue;
    auto lease = std::make_shared<MemoryLease>(
        Context.Loop, Context.Codec, dispatch.Helpers[n]->Entry.Address,
        reservationName(dispatch, n), dispatch.Reserved[n]);
    Leases.push_back(lease);
    const bool isAcquired = co_await lease->acquire();
    if (!isAcquired || Aborted.has_value())
      co_return false;
  }
  co_return true;
}

asio::awaitable<AttemptEnd> CallRunner::exchange(Dispatch &dispatch) {
  if (!co_await openChannel(dispatch.Server->Entry.Address))
    co_return interruptedEnd(false);
  step(CallStep::Sent);
  auto message = buildAttempt(dispatch, clock::steadyNow());
  setSilenceTimeout(
      core::relay::firstByteTimeout(*Route, dispatch.PredictedFirstToken));
  const auto [ec, n] =
      co_await bhttp::async_write(Channel->Socket, message, AsTuple);
  if (ec)
    co_return interruptedEnd(n > 0);
  co_return co_await readAnswer(dispatch);
}

asio::awaitable<bool> CallRunner::openChannel(const std::string &address) {
  if (Aborted.has_value())
    co_return false;
  Channel = Context.Channels.acquire(address, clock::steadyNow());
  if (Channel != nullptr)
    co_return true;
  const auto endpoint = loop::parseEndpoint(address);
  if (!endpoint.has_value())
    co_return false;
  Channel = std::make_unique<BackendChannel>(Context.Loop);
  Channel->Address = address;
  setPhaseEnd(clock::steadyNow() + ConnectTimeout);
  const auto [ec] = co_await Channel->Socket.async_connect(*endpoint, AsTuple);
  if (ec)
    co_return false;
  Context.Metrics.connectionOpened();
  loop::tuneSocket(Channel->Socket);
  co_return !Aborted.has_value();
}

AttemptEnd CallRunner::interruptedEnd(bool wasSent) const {
  if (Aborted == AttemptEnd::CallerGone || Aborted == AttemptEnd::OutOfTime)
    return wasSent || Aborted == AttemptEnd::CallerGone ? *Aborted
                                                        : AttemptEnd::NotSent;
  if (!wasSent)
    return AttemptEnd::NotSent;
  return IsStalled ? AttemptEnd::Stalled : AttemptEnd::Broken;
}

bhttp::request<bhttp::span_body<char>>
CallRunner::buildAttempt(const Dispatch &dispatch, absl::Time now) {
  bhttp::request<bhttp::span_body<char>> message;
  message.method_string(Request.method_string());
  message.target(Request.target());
  message.version(11);
  copyEndToEnd(Request, message, [&](std::string_view name) {
    return Context.Codec.isNodeHeader(name);
  });
  core::relay::AttemptHead head;
  head.TimeLeft = std::max(absl::Milliseconds(1),
                           Progress.Deadline - now - AnswerTransitTime);
  head.BackendId = dispatch.Server->Entry.Id;
  head.Workspace = Workspace;
  head.ResumeAfter = Events.lastId();
  if (dispatch.Speed != nullptr)
    head.Priority = core::engines::isUrgent(dispatch.PromptTokens)
                        ? ShortPromptPriority
                        : LongPromptPriority;
  for (size_t n = 0; n < dispatch.Helpers.size(); ++n)
    head.Helpers.push_back(
        {dispatch.Helpers[n]->Entry.Address, dispatch.Reserved[n] > 0
                                                 ? reservationName(dispatch, n)
                                                 : std::string()});
  for (const auto &[name, value] : Context.Codec.encodeAttempt(head))
    message.set(name, value);
  message.body() = {Request.body().data(), Request.body().size()};
  const bool hasBody =
      !Request.body().empty() ||
      Request.find(bhttp::field::content_length) != Request.end() ||
      Request.chunked();
  if (hasBody)
    message.content_length(Request.body().size());
  return message;
}

void CallRunner::markLeaving(const core::fleet::BackendServer &server,
                             std::string_view reason) {
  if (!Context.Dispatcher.directory().markLeaving(server.Entry.Id))
    return;
  log::write(log::Level::Info, "backend_leaving_by_answer",
             {{"id", Head.AttemptId},
              {"backend", server.Entry.Id},
              {"row_version", server.Entry.RowVersion},
              {"reason", reason}});
  if (Context.AnnounceLeaving)
    Context.AnnounceLeaving();
}

void CallRunner::applyServerState(const core::relay::AnswerHead &head,
                                  int status, Dispatch &dispatch) {
  if (head.Leaving)
    markLeaving(*dispatch.Server, "header of its answer");
  if (head.HasRequestLimit)
    Context.Metrics.requestLimitStated(head.RequestsPerSecond.has_value());
  LastRequestLimit = head.RequestsPerSecond;
  if (status != StatusUnavailable || !head.PauseFor.has_value())
    return;
  Context.Dispatcher.pauseRequested(dispatch, *head.PauseFor,
                                    clock::steadyNow());
  log::write(log::Level::Info, "backend_paused",
             {{"id", Head.AttemptId},
              {"backend", dispatch.Server->Entry.Id},
              {"pause_ms", absl::ToInt64Milliseconds(*head.PauseFor)}});
}

void CallRunner::applyRequestLimit(const core::relay::AnswerHead &head,
                                   const Dispatch &dispatch) {
  if (head.HasRequestLimit && !head.RequestsPerSecond.has_value()) {
    log::write(
        log::Level::Warn, "request_limit_unreadable",
        {{"id", Head.AttemptId}, {"backend", dispatch.Server->Entry.Id}});
    return;
  }
  // Only an answer with the call's id is certainly the backend server's.
  if (!head.HasRequestLimit && head.AttemptId.empty())
    return;
  const absl::Time now = clock::steadyNow();
  if (!core::relay::Dispatcher::limitStated(dispatch, head.RequestsPerSecond,
                                            now))
    return;
  logRequestLimit(*dispatch.Server, "own", now);
  if (Context.AnnounceLimit)
    Context.AnnounceLimit(*dispatch.Server);
}

asio::awaitable<AttemptEnd> CallRunner::readAnswer(Dispatch &dispatch) {
  for (int interim = 0; interim < MaxInterimAnswers;) {
    AnswerParser parser;
    parser.body_limit(boost::none);
    parser.header_limit(MaxAnswerHeaderBytes);
    if (Request.method() == bhttp::verb::head)
      parser.skip(true);
    const auto [ec, n] = co_await bhttp::async_read_header(
        Channel->Socket, Channel->Buffer, parser, AsTuple);
    if (ec)
      co_return isProtocolError(ec) ? AttemptEnd::Garbled
                                    : interruptedEnd(true);
    const auto status = static_cast<int>(parser.get().result_int());
    if (status / 100 == 1) {
      ++interim;
      continue;
    }
    const core::relay::AnswerHead head =
        Context.Codec.decodeAnswer(headerViews(parser.get()));
    if (!head.AttemptId.empty() && head.AttemptId != Head.AttemptId)
      co_return AttemptEnd::Garbled;
    // A refusal without the call's id on a connection that carried earlier
    // calls may be meant for one of those.
    const bool isRefusal = status == 421 || head.NotExecuted;
    if (isRefusal && head.AttemptId.empty() && Channel->Reused)
      co_return AttemptEnd::Garbled;
    applyServerState(head, status, dispatch);
    if (status == 421)
      co_return AttemptEnd::WrongBackend;
    applyRequestLimit(head, dispatch);
    if (head.NotExecuted) {
      if (!head.FaultyBackend.empty() &&
          head.FaultyBackend != dispatch.Server->Entry.Id)
        Context.Dispatcher.reportFaultyBackend(head.FaultyBackend,
                                               clock::steadyNow());
      co_return AttemptEnd::Refused;
    }
    const bool isSuccess = status / 100 == 2;
    if (impliesNotExecuted(status) ||
        (isSuccess && (head.Signature.empty() || head.AttemptId.empty())))
      co_return AttemptEnd::Garbled;
    if (Progress.Delivered && !isSuccess)
      co_return AttemptEnd::Failed;
    if (Progress.Delivered && !canContinueStream(parser.get()))
      co_return AttemptEnd::Garbled;
    if (isSuccess && Route->Kind == RouteKind::Streaming)
      co_return co_await relayStream(parser, dispatch);
    co_return co_await readPlain(parser, status >= 500);
  }
  co_return AttemptEnd::Garbled;
}

asio::awaitable<AttemptEnd> CallRunner::readPlain(AnswerParser &parser,
                                                  bool isFailure) {
  core::limits::MemoryGrant memory(Context.Memory,
                                   core::limits::MemoryUse::PlainAnswer);
  std::string body;
  std::array<char, ReadBufferBytes> buf{};
  while (!parser.is_done()) {
    parser.get().body().data = buf.data();
    parser.get().body().size = buf.size();
    const auto [ec, n] = co_await bhttp::async_read_some(
        Channel->Socket, Channel->Buffer, parser, AsTuple);
    body.append(buf.data(), buf.size() - parser.get().body().size);
    if (ec && ec != bhttp::error::need_buffer)
      co_return isProtocolError(ec) ? AttemptEnd::Garbled
                                    : interruptedEnd(true);
    if (body.size() > Context.Limits.MaxAnswerBytes)
      co_return AttemptEnd::Garbled;
    if (!memory.cover(body.size(), clock::steadyNow()))
      co_return AttemptEnd::TooLarge;
  }
  AnswerMemory = std::move(memory);
  bufferAnswer(parser.get(), std::move(body));
  returnChannel(parser);
  co_return isFailure ? AttemptEnd::Failed : AttemptEnd::Answered;
}

void CallRunner::bufferAnswer(const bhttp::response_header<> &head,
                              std::string body) {
  PlainResponse response;
  response.version(11);
  response.result(head.result_int());
  copyEndToEnd(head, response, [](std::string_view) { return false; });
  if (Request.method() == bhttp::verb::head) {
    const auto length = head.find(bhttp::field::content_length);
    if (length != head.end())
      response.set(bhttp::field::content_length, length->value());
  } else {
    response.body() = std::move(body);
    response.content_length(response.body().size());
  }
  BufferedAnswer = std::move(response);
}

asio::awaitable<AttemptEnd> CallRunner::relayStream(AnswerParser &parser,
                                                    Dispatch &dispatch) {
  if (!Progress.Delivered) {
    BufferedAnswer.reset();
    StreamHead.emplace();
    StreamHead->version(11);
    StreamHead->result(parser.get().result_int());
    copyEndToEnd(parser.get(), *StreamHead,
                 [](std::string_view) { return false; });
  }
  const core::relay::BodyFraming framing = framingOf(parser);
  const AttemptEnd end = co_await relayEvents(parser, dispatch);
  LastStreamEnd = {framing, Events.isInsideEvent()};
  Context.Metrics.streamEnded(core::relay::bodyFramingName(framing),
                              Events.isInsideEvent());
  if (end != AttemptEnd::Answered)
    co_return end;
  if (Events.isInsideEvent()) {
    if (isEventStream(parser.get()))
      co_return AttemptEnd::Broken;
    const bool isWritten = co_await writeChunk(Events.takeRest());
    if (!isWritten) {
      co_return Aborted.value_or(AttemptEnd::CallerGone);
    }
  }
  returnChannel(parser);
  if (!co_await finishStream())
    co_return Aborted.value_or(AttemptEnd::CallerGone);
  co_return AttemptEnd::Answered;
}

asio::awaitable<AttemptEnd> CallRunner::relayEvents(AnswerParser &parser,
                                                    Dispatch &dispatch) {
  core::limits::MemoryGrant memory(Context.Memory,
                                   core::limits::MemoryUse::Event);
  std::array<char, ReadBufferBytes> buf{};
  while (!parser.is_done()) {
    parser.get().body().data = buf.data();
    parser.get().body().size = buf.size();
    const auto [ec, n] = co_await bhttp::async_read_some(
        Channel->Socket, Channel->Buffer, parser, AsTuple);
    const size_t got = buf.size() - parser.get().body().size;
    std::string out = Events.push({buf.data(), got});
    if (!out.empty()) {
      const absl::Time now = clock::steadyNow();
      if (!dispatch.FirstTokenAt.has_value())
        Context.Metrics.firstEvent(now - ArrivedAt,
                                   dispatch.PredictedFirstToken);
      if (FirstEventAfter == absl::ZeroDuration())
        FirstEventAfter = now - ArrivedAt;
      else
        LongestGap = std::max(LongestGap, now - LastByteAt);
      Context.Dispatcher.firstToken(dispatch, now);
      if (!IsPromptSound && dispatch.FirstTokenAt.has_value())
        IsPromptSound =
            Context.Guard.recordProgress(CrashSuspects, *dispatch.FirstTokenAt);
      LastByteAt = now;
      Context.Dispatcher.answerBytesReceived(dispatch, now);
      setSilenceTimeout(core::relay::eventGapTimeout(*Route));
      if (!co_await writeChunk(out))
        co_return Aborted.value_or(AttemptEnd::CallerGone);
    }
    if (Events.isOverlong())
      co_return AttemptEnd::Garbled;
    if (!memory.cover(Events.bufferedBytes(), clock::steadyNow()))
      co_return AttemptEnd::TooLarge;
    if (ec && ec != bhttp::error::need_buffer)
      co_return isProtocolError(ec) ? AttemptEnd::Garbled
                                    : interruptedEnd(true);
  }
  co_return AttemptEnd::Answered;
}

asio::awaitable<bool> CallRunner::writeStreamHead() {
  if (!StreamHead.has_value())
    co_return true;
  Status = static_cast<int>(StreamHead->result_int());
  Progress.Delivered = true;
  if (Request.version() >= FirstChunkedVersion)
    StreamHead->chunked(true);
  else
    KeepCallerOpen = false;
  if (!KeepCallerOpen)
    StreamHead->set(bhttp::field::connection, "close");
  bhttp::response_serializer<bhttp::empty_body> serializer(*StreamHead);
  const auto [ec, n] =
      co_await bhttp::async_write_header(Caller, serializer, AsTuple);
  StreamHead.reset();
  co_return !ec;
}

asio::awaitable<bool> CallRunner::writeChunk(const std::string &bytes) {
  step(CallStep::EventsReady);
  const absl::Time phaseEnd = PhaseEnd;
  setPhaseEnd(clock::steadyNow() + CallerWriteTimeout);
  bool isDone = co_await writeStreamHead();
  if (isDone && Request.version() >= FirstChunkedVersion) {
    const auto [ec, n] = co_await asio::async_write(
        Caller, bhttp::make_chunk(asio::buffer(bytes)), AsTuple);
    isDone = !ec;
  } else if (isDone) {
    const auto [ec, n] =
        co_await asio::async_write(Caller, asio::buffer(bytes), AsTuple);
    isDone = !ec;
  }
  step(CallStep::EventsTaken);
  setPhaseEnd(phaseEnd);
  co_return isDone && !Aborted.has_value();
}

asio::awaitable<bool> CallRunner::finishStream() {
  if (!co_await writeStreamHead())
    co_return false;
  if (Request.version() >= FirstChunkedVersion) {
    const auto [ec, n] =
        co_await asio::async_write(Caller, bhttp::make_chunk_last(), AsTuple);
    IsStreamFinished = !ec;
  } else {
    IsStreamFinished = true;
  }
  co_return IsStreamFinished;
}

asio::awaitable<bool> CallRunner::writePlain() {
  Status = static_cast<int>(BufferedAnswer->result_int());
  if (!KeepCallerOpen)
    BufferedAnswer->set(bhttp::field::connection, "close");
  setPhaseEnd(clock::steadyNow() + CallerWriteTimeout);
  const auto [ec, n] =
      co_await bhttp::async_write(Caller, *BufferedAnswer, AsTuple);
  Timer.cancel();
  co_return !ec;
}

void CallRunner::returnChannel(const AnswerParser &parser) {
  if (!parser.keep_alive() || parser.need_eof())
    return;
  Context.Channels.release(std::move(Channel), keepAliveTime(parser.get()),
                           clock::steadyNow());
}

void CallRunner::closeChannel() {
  // Closing fails the operation in progress, which resumes its coroutine.
  boost::system::error_code ignored;
  if (Channel != nullptr)
    Channel->Socket.close(ignored);
}

void CallRunner::abort(AttemptEnd reason) {
  if (Aborted.has_value())
    return;
  Aborted = reason;
  closeChannel();
  boost::system::error_code ignored;
  if (isWritingToCaller())
    Caller.close(ignored);
}

void CallRunner::giveUp() {
  if (!isWritingToCaller())
    abort(AttemptEnd::OutOfTime);
}

bool CallRunner::isWritingToCaller() const {
  return Lifecycle.timeout() == CallTimeout::CallerWrite;
}

void CallRunner::step(CallStep callStep) {
  if (Lifecycle.apply(callStep))
    return;
  const auto stepIndex = static_cast<size_t>(callStep);
  const auto stateIndex = static_cast<size_t>(Lifecycle.state());
  log::write(log::Level::Error, "call_step_ignored",
             {{"id", Head.AttemptId},
              {"step", core::relay::callStepNames()[stepIndex]},
              {"state", core::relay::callStateNames()[stateIndex]}});
}

void CallRunner::setPhaseEnd(absl::Time phaseEnd) {
  PhaseEnd = phaseEnd;
  if (std::min(PhaseEnd, Progress.Deadline) < TimerExpiresAt)
    armTimer();
}

void CallRunner::setSilenceTimeout(absl::Duration timeout) {
  SilenceTimeout = timeout;
  setPhaseEnd(LastByteAt + timeout);
}

void CallRunner::armTimer() {
  TimerExpiresAt = std::min(PhaseEnd, Progress.Deadline);
  if (TimerExpiresAt == absl::InfiniteFuture())
    return;
  Timer.expires_at(clock::waitDeadline(TimerExpiresAt, clock::steadyNow()));
  Timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec)
      self->onTimer();
  });
}

void CallRunner::onTimer() {
  TimerExpiresAt = absl::InfiniteFuture();
  if (Lifecycle.isEnded())
    return;
  const absl::Time now = clock::steadyNow();
  if (!Aborted.has_value() && now >= Progress.Deadline)
    abort(AttemptEnd::OutOfTime);
  else if (now >= PhaseEnd)
    onPhaseTimeout(now);
  else
    armTimer();
}

void CallRunner::onPhaseTimeout(absl::Time now) {
  PhaseEnd = absl::InfiniteFuture();
  switch (Lifecycle.timeout()) {
  case CallTimeout::CallerWrite: {
    boost::system::error_code ignored;
    Caller.close(ignored);
    return;
  }
  case CallTimeout::Connect:
    closeChannel();
    return;
  case CallTimeout::Silence:
    if (!Aborted.has_value())
      onSilence(now);
    return;
  case CallTimeout::TimeLimit:
  case CallTimeout::None:
    // The phase ended before the timer fired.
    return;
  }
}

void CallRunner::onSilence(absl::Time now) {
  const absl::Duration silent = now - LastByteAt;
  if (!core::relay::isConnectionLost(silent, SilenceTimeout,
                                     now - Current->Server->LastReceivedAt)) {
    setPhaseEnd(LastByteAt + SilenceTimeout + silent);
    return;
  }
  // Send no new calls to this backend server, even if this one keeps waiting.
  Current->Server->Health.observe(core::fleet::HealthSignal::Lost, now);
  core::relay::CallDemand elsewhere = Demand;
  elsewhere.Tried.push_back(Current->Server->Entry.Id);
  const bool canMove =
      Route->mayRepeat() && Progress.Sent + 1 < Route->MaxAttempts &&
      Context.Dispatcher.canDispatch(elsewhere, now) &&
      Context.Dispatcher.tryRetry(Current->Server->Entry.Service, now);
  log::write(log::Level::Info, "silence",
             {{"id", Head.AttemptId},
              {"backend", Current->Server->Entry.Id},
              {"silent_for_ms", absl::ToInt64Milliseconds(silent)},
              {"moved", canMove}});
  if (!canMove) {
    armTimer();
    return;
  }
  IsRetryCharged = true;
  IsStalled = true;
  closeChannel();
}

void CallRunner::logEnd() {
  const absl::Duration took = clock::steadyNow() - ArrivedAt;
  const std::string kind(
      Route == nullptr ? "none" : core::routes::routeKindName(Route->Kind));
  Context.Metrics.callEnded(kind, Status, took);
  nlohmann::json tries = nlohmann::json::array();
  for (const AttemptRecord &it : Attempts) {
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
      {"id", Head.AttemptId},
      {"route", Route == nullptr ? "" : Route->Name},
      {"kind", kind},
      {"workspace", Workspace},
      {"config", Config == nullptr ? 0 : Config->version()},
      {"prompt", Head.PromptTokens},
      {"parts", Head.PromptParts},
      {"status", Status},
      {"first_ms", absl::ToInt64Milliseconds(FirstEventAfter)},
      {"gap_ms", absl::ToInt64Milliseconds(LongestGap)},
      {"ms", absl::ToInt64Milliseconds(took)},
      {"attempts", std::move(tries)}};
  if (Route != nullptr) {
    line["objective_ms"] = absl::ToInt64Milliseconds(Route->Objective);
    line["gap_objective_ms"] = absl::ToInt64Milliseconds(Route->GapObjective);
  }
  if (!LocalErrorCode.empty()) {
    line["code"] = LocalErrorCode;
    line["rule"] = LocalErrorRule;
    line["retry_after_ms"] = LocalRetryAfterMs;
  }
  if (const int64_t ms = absl::ToInt64Milliseconds(StartDelay); ms > 0)
    line["start_wait_ms"] = ms;
  if (Aborted.has_value())
    line["aborted"] = core::relay::attemptEndName(*Aborted);
  log::write(log::Level::Info, "call", line);
}

} // namespace orioletally::drivers::relay

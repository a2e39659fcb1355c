#include "drivers/relay/attempt_runner.h"

#include "core/relay/silence_timeout.h"
#include "drivers/clock/clock.h"
#include "drivers/log/log.h"
#include "drivers/loop/endpoint.h"
#include "drivers/relay/message_parts.h"
#include "drivers/relay/request_limit_log.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <utility>

namespace orioletally::drivers::relay {

namespace {

using core::limits::MemoryUse;
using core::limits::ReadOverrun;
using core::relay::AttemptEnd;
using core::relay::AttemptStep;
using core::relay::AttemptTimeout;
using core::relay::Dispatch;
using core::routes::RouteKind;
using loop::AsTuple;
using AnswerReader = loop::AnswerReader<bhttp::buffer_body>;

/// A slower connection isn't worth waiting for: this is about ten times the
/// longest round trip between availability zones.
constexpr absl::Duration ConnectTimeout = absl::Milliseconds(250);
/// Time to read bytes that have arrived before a backend server counts as
/// silent.
constexpr absl::Duration UnreadBytesTime = absl::Milliseconds(20);
constexpr uint32_t MaxAnswerHeaderBytes = 64 << 10;
constexpr size_t ReadBufferBytes = 8 << 10;
constexpr int StatusUnavailable = 503;
constexpr int StatusWrongBackend = 421;
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

core::relay::BodyFraming framingOf(const AnswerReader &reader) {
  const AnswerReader::Parser &parser = reader.parser();
  if (parser.need_eof())
    return core::relay::BodyFraming::ConnectionClose;
  return parser.chunked() ? core::relay::BodyFraming::Chunks
                          : core::relay::BodyFraming::Length;
}

/// Returns an answer for the caller with the head \p from and no body yet.
template <typename Message>
Message withHeadOf(const bhttp::response_header<> &from) {
  Message head;
  head.version(11);
  head.result(from.result_int());
  copyEndToEnd(from, head, [](std::string_view) { return false; });
  return head;
}

} // namespace

AttemptRunner::AttemptRunner(RelayContext &context, const RelayedCall &call,
                             AttemptListener &listener, Dispatch dispatch)
    : Context(context), Call(call), Listener(listener),
      Target(std::move(dispatch)), Lifecycle(context.AttemptChart),
      Events(call.LastEventId, context.Limits.MaxEventBytes),
      Timer(context.Loop, [this](absl::Time now) { onTimeout(now); }) {}

void AttemptRunner::begin(absl::Time now) {
  const bool isEngine = Target.Speed != nullptr;
  log::write(log::Level::Info, "dispatch",
             {{"id", Call.Head.AttemptId},
              {"backend", Target.Server->Entry.Id},
              {"row_version", Target.Server->Entry.RowVersion},
              {"config", Call.Config->version()},
              {"writers", isEngine ? Target.Server->Load.decodingCount() : 0},
              {"readers", isEngine ? Target.Server->Load.prefillingCount()
                                   : Target.Server->InFlight},
              {"pace", Target.Server->Health.slowdownRatio()},
              {"helpers", idsOf(Target.Helpers)},
              {"prompt", Target.PromptTokens},
              {"predicted_ms",
               absl::ToInt64Milliseconds(Target.PredictedFirstToken)}});
  StartedAt = now;
  SilentSince = now;
  IsResumed = Call.LastEventId.has_value();
  Context.Dispatcher.sent(Target, now);
}

void AttemptRunner::fail(absl::Time now) {
  if (!Lifecycle.isEnded())
    finish(AttemptEnd::Broken, now);
}

asio::awaitable<AttemptEnd> AttemptRunner::run() {
  AttemptEnd end = AttemptEnd::NoMemory;
  const bool isReserved = co_await reserveMemory();
  if (isReserved) {
    end = co_await exchange();
  } else if (isEvacuated()) {
    end = AttemptEnd::Evacuated;
  }
  finish(end, clock::steadyNow());
  co_return end;
}

void AttemptRunner::finish(AttemptEnd end, absl::Time now) {
  step(AttemptStep::Settled);
  Timer.setEnd(absl::InfiniteFuture());
  for (const std::shared_ptr<MemoryLease> &it : Leases)
    it->release();
  Leases.clear();
  Channel.reset();
  if (!IsResumed)
    Target.EventCount = Events.eventCount();
  Context.Dispatcher.ended(Target, end, now);
  Context.Guard.recordEnd(Call.Head.AttemptId, promptAttempt(end, now),
                          Call.CrashSuspects);
  if (end == AttemptEnd::WrongBackend)
    doubtAddress(now);
  Context.Metrics.attemptEnded(core::relay::attemptEndName(end));
  Record.Backend = Target.Server->Entry.Id;
  Record.End = end;
  Record.Took = now - StartedAt;
  Record.Predicted = Target.PredictedFirstToken;
  Record.Helpers = Target.Helpers.size();
}

void AttemptRunner::stop(AttemptEnd end) {
  if (Stopped.has_value())
    return;
  Stopped = end;
  for (const std::shared_ptr<MemoryLease> &it : Leases)
    it->release();
  closeChannel();
}

core::relay::PromptAttempt AttemptRunner::promptAttempt(AttemptEnd end,
                                                        absl::Time now) const {
  core::relay::PromptAttempt result;
  result.Backend = Target.Server->Entry.Id;
  result.End = end;
  result.FirstEventAt = Target.FirstTokenAt;
  result.IsEndMarked =
      Record.Stream.has_value() &&
      Record.Stream->Framing != core::relay::BodyFraming::ConnectionClose;
  // An answer that isn't a stream is read as a whole.
  if (end == AttemptEnd::Answered && !Record.Stream.has_value()) {
    result.FirstEventAt = now;
    result.IsEndMarked = true;
  }
  return result;
}

std::string AttemptRunner::reservationName(size_t n) const {
  return fmt::format("{:x}-{}", Target.LoadId, n);
}

asio::awaitable<bool> AttemptRunner::reserveMemory() {
  for (size_t n = 0; n < Target.Helpers.size(); ++n) {
    if (Target.Reserved[n] == 0)
      continue;
    if (isStopped() || isEvacuated()) {
      co_return false;
    }
    // Memory is filled in turn: while the first is unused, all of it is.
    std::function<void()> onUnused;
    if (Leases.empty())
      onUnused = [this] { memoryUnused(); };
    auto lease = std::make_shared<MemoryLease>(
        Context.Loop, Context.Codec, Target.Helpers[n]->Entry.Address,
        reservationName(n), Target.Reserved[n], std::move(onUnused),
        [&directory = Context.Dispatcher.directory(),
         helper = Target.Helpers[n]] {
          return !directory.isEvacuated(*helper);
        });
    Leases.push_back(lease);
    const bool isAcquired = co_await lease->acquire();
    if (!isAcquired || isStopped())
      co_return false;
  }
  co_return true;
}

void AttemptRunner::memoryUnused() {
  // The first token may have arrived and not been read yet.
  if (Target.FirstTokenAt.has_value() || hasUnreadBytes() || isStopped())
    return;
  log::write(log::Level::Info, "memory_unused",
             {{"id", Call.Head.AttemptId},
              {"backend", Target.Server->Entry.Id},
              {"repeatable", Call.Route->mayRepeat()}});
  for (const std::shared_ptr<MemoryLease> &it : Leases)
    it->release();
  // Its backend server now refuses the prompt when it comes to it. A call that
  // may be repeated needn't wait for that.
  if (!Call.Route->mayRepeat())
    return;
  IsMemoryLost = true;
  closeChannel();
}

bool AttemptRunner::isEvacuated() const {
  const core::fleet::BackendDirectory &directory =
      Context.Dispatcher.directory();
  return directory.isEvacuated(*Target.Server) ||
         std::any_of(
             Target.Helpers.begin(), Target.Helpers.end(),
             [&](const auto &it) { return directory.isEvacuated(*it); });
}

asio::awaitable<AttemptEnd> AttemptRunner::exchange() {
  if (isEvacuated())
    co_return AttemptEnd::Evacuated;
  if (!co_await openChannel())
    co_return interruptedEnd(false);
  if (isEvacuated())
    co_return AttemptEnd::Evacuated;
  step(AttemptStep::Sent);
  const auto message = buildMessage(clock::steadyNow());
  setSilenceTimeout(
      core::relay::firstByteTimeout(*Call.Route, Target.PredictedFirstToken));
  const auto [ec, n] =
      co_await bhttp::async_write(Channel->Socket, message, AsTuple);
  if (ec)
    co_return interruptedEnd(n > 0);
  co_return co_await readAnswer();
}

asio::awaitable<bool> AttemptRunner::openChannel() {
  if (isStopped())
    co_return false;
  const std::string &address = Target.Server->Entry.Address;
  Channel = Context.Channels.acquire(address, clock::steadyNow());
  if (Channel != nullptr)
    co_return true;
  const auto endpoint = loop::parseEndpoint(address);
  if (!endpoint.has_value())
    co_return false;
  Channel = std::make_unique<BackendChannel>(Context.Loop, Context.Memory);
  Channel->Address = address;
  Timer.setEnd(clock::steadyNow() + ConnectTimeout);
  const auto [ec] = co_await Channel->Socket.async_connect(*endpoint, AsTuple);
  if (ec)
    co_return false;
  Context.Metrics.connectionOpened();
  loop::tuneSocket(Channel->Socket);
  co_return !isStopped();
}

AttemptEnd AttemptRunner::interruptedEnd(bool wasSent) const {
  if (Stopped == AttemptEnd::CallerGone)
    return *Stopped;
  if (!wasSent) {
    const bool isWithdrawn =
        Stopped == AttemptEnd::Superseded || Stopped == AttemptEnd::Stalled;
    return isWithdrawn ? AttemptEnd::Withdrawn : AttemptEnd::NotSent;
  }
  return Stopped.value_or(IsMemoryLost ? AttemptEnd::Stalled
                                       : AttemptEnd::Broken);
}

AttemptEnd AttemptRunner::failedRead(const boost::system::error_code &ec,
                                     ReadOverrun part) {
  const bool isTooLong =
      ec == bhttp::error::buffer_overflow || ec == bhttp::error::header_limit;
  if (isTooLong && Channel->Buffer.isRefused())
    return AttemptEnd::TooLarge;
  if (isTooLong)
    Context.Overruns.record(core::limits::ReadSource::BackendServer, part,
                            clock::steadyNow());
  return isProtocolError(ec) ? AttemptEnd::Garbled : interruptedEnd(true);
}

bhttp::request<bhttp::span_body<const char>>
AttemptRunner::buildMessage(absl::Time now) const {
  const CallRequest &request = Call.Request;
  bhttp::request<bhttp::span_body<const char>> message;
  message.method_string(request.method_string());
  message.target(request.target());
  message.version(11);
  copyEndToEnd(request, message, [&](std::string_view name) {
    return Context.Codec.isNodeHeader(name);
  });
  core::relay::AttemptHead head;
  head.TimeLeft = std::max(absl::Milliseconds(1),
                           Call.Progress.Deadline - now - AnswerTransitTime);
  head.BackendId = Target.Server->Entry.Id;
  head.Workspace = Call.Workspace;
  head.ResumeAfter = Events.lastId();
  if (Target.Speed != nullptr)
    head.Priority = core::relay::enginePriorityOf(
        Target.Rank.Index, Target.Rank.Count,
        core::engines::isUrgent(Target.PromptTokens));
  for (size_t n = 0; n < Target.Helpers.size(); ++n)
    head.Helpers.push_back(
        {Target.Helpers[n]->Entry.Address,
         Target.Reserved[n] > 0 ? reservationName(n) : std::string()});
  for (const auto &[name, value] : Context.Codec.encodeAttempt(head))
    message.set(name, value);
  message.body() = {request.body().data(), request.body().size()};
  const bool hasBody =
      !request.body().empty() ||
      request.find(bhttp::field::content_length) != request.end() ||
      request.chunked();
  if (hasBody)
    message.content_length(request.body().size());
  return message;
}

void AttemptRunner::markLeaving(std::string_view reason) {
  const core::fleet::BackendEntry &entry = Target.Server->Entry;
  if (!Context.Dispatcher.directory().markLeaving(entry, clock::steadyNow()))
    return;
  log::write(log::Level::Info, "backend_leaving_by_answer",
             {{"id", Call.Head.AttemptId},
              {"backend", entry.Id},
              {"row_version", entry.RowVersion},
              {"reason", reason}});
  if (Context.AnnounceLeaving)
    Context.AnnounceLeaving();
}

void AttemptRunner::doubtAddress(absl::Time now) {
  if (!Target.Server->Address.begin(now))
    return;
  const core::fleet::BackendEntry &entry = Target.Server->Entry;
  log::write(log::Level::Info, "backend_address_taken",
             {{"id", Call.Head.AttemptId},
              {"backend", entry.Id},
              {"address", entry.Address},
              {"row_version", entry.RowVersion}});
}

void AttemptRunner::applyServerState(const core::relay::AnswerHead &head,
                                     int status) {
  if (head.Leaving)
    markLeaving("header of its answer");
  if (head.ColdRemaining.has_value())
    core::relay::Dispatcher::coldStated(Target, *head.ColdRemaining,
                                        clock::steadyNow());
  if (head.HasRequestLimit)
    Context.Metrics.requestLimitStated(head.RequestsPerSecond.has_value());
  Record.RequestLimit = head.RequestsPerSecond;
  if (status != StatusUnavailable || !head.PauseFor.has_value())
    return;
  Context.Dispatcher.pauseRequested(Target, *head.PauseFor, clock::steadyNow());
  log::write(log::Level::Info, "backend_paused",
             {{"id", Call.Head.AttemptId},
              {"backend", Target.Server->Entry.Id},
              {"pause_ms", absl::ToInt64Milliseconds(*head.PauseFor)}});
}

void AttemptRunner::applyRequestLimit(const core::relay::AnswerHead &head) {
  if (head.HasRequestLimit && !head.RequestsPerSecond.has_value()) {
    log::write(
        log::Level::Warn, "request_limit_unreadable",
        {{"id", Call.Head.AttemptId}, {"backend", Target.Server->Entry.Id}});
    return;
  }
  // Only an answer with the call's id is certainly the backend server's.
  if (!head.HasRequestLimit && head.AttemptId.empty())
    return;
  const absl::Time now = clock::steadyNow();
  if (!core::relay::Dispatcher::limitStated(Target, head.RequestsPerSecond,
                                            now))
    return;
  logRequestLimit(*Target.Server, "own", now);
  if (Context.AnnounceLimit)
    Context.AnnounceLimit(*Target.Server);
}

asio::awaitable<AttemptEnd> AttemptRunner::readAnswer() {
  AnswerReader reader(MaxAnswerHeaderBytes, std::nullopt,
                      Call.Request.method() == bhttp::verb::head);
  const boost::system::error_code ec =
      co_await reader.readHead(Channel->Socket, Channel->Buffer);
  if (ec || isStopped())
    co_return failedRead(ec, ReadOverrun::Head);
  if (const auto end = endByHead(reader.answer()))
    co_return *end;
  const auto status = static_cast<int>(reader.answer().result_int());
  if (status / 100 == 2 && Call.Route->Kind == RouteKind::Streaming &&
      !isBodiless(Call.Request.method(), status))
    co_return co_await relayStream(reader);
  co_return co_await readPlain(reader);
}

std::optional<AttemptEnd>
AttemptRunner::endByHead(const bhttp::response_header<> &message) {
  const auto status = static_cast<int>(message.result_int());
  const core::relay::AnswerHead head =
      Context.Codec.decodeAnswer(headerViews(message));
  if (!head.AttemptId.empty() && head.AttemptId != Call.Head.AttemptId)
    return AttemptEnd::Garbled;
  // A refusal without the call's id on a connection that carried earlier calls
  // may be meant for one of those.
  const bool isRefusal = status == StatusWrongBackend || head.NotExecuted;
  if (isRefusal && head.AttemptId.empty() && Channel->Reused)
    return AttemptEnd::Garbled;
  if (status == StatusWrongBackend) {
    const AttemptEnd end = core::relay::wrongBackendEnd(
        head, Target.Server->Entry.Id, Call.Head.HasCondition);
    // What another backend server says of itself isn't about this one.
    if (end == AttemptEnd::ConditionNotMet)
      applyServerState(head, status);
    return end;
  }
  applyServerState(head, status);
  applyRequestLimit(head);
  if (head.NotExecuted) {
    if (!head.FaultyBackend.empty() &&
        head.FaultyBackend != Target.Server->Entry.Id)
      Context.Dispatcher.reportFaultyBackend(head.FaultyBackend,
                                             clock::steadyNow());
    return AttemptEnd::Refused;
  }
  const bool isSuccess = status / 100 == 2;
  if (impliesNotExecuted(status) ||
      (isSuccess && (head.Signature.empty() || head.AttemptId.empty())))
    return AttemptEnd::Garbled;
  if (Call.Progress.Delivered && !isSuccess)
    return AttemptEnd::Failed;
  if (Call.Progress.Delivered && !canContinueStream(message))
    return AttemptEnd::Garbled;
  if (!head.AttemptId.empty())
    Target.Server->Address.end();
  return std::nullopt;
}

asio::awaitable<AttemptEnd> AttemptRunner::readPlain(AnswerReader &reader) {
  Memory = core::limits::MemoryGrant(Context.Memory, MemoryUse::PlainAnswer);
  // Reading the body adds the fields of its trailers to the answer's head.
  auto response = withHeadOf<PlainResponse>(reader.answer());
  const std::string length(view(reader.answer()[bhttp::field::content_length]));
  std::string body;
  std::array<char, ReadBufferBytes> buf{};
  while (!reader.isDone()) {
    reader.answer().body().data = buf.data();
    reader.answer().body().size = buf.size();
    const boost::system::error_code ec =
        co_await reader.readSome(Channel->Socket, Channel->Buffer);
    body.append(buf.data(), buf.size() - reader.answer().body().size);
    if (ec && ec != bhttp::error::need_buffer)
      co_return failedRead(ec, ReadOverrun::Trailers);
    if (isStopped())
      co_return *Stopped;
    if (body.size() > Context.Limits.MaxAnswerBytes)
      co_return AttemptEnd::Garbled;
    if (!Memory.cover(body.size(), clock::steadyNow()))
      co_return AttemptEnd::TooLarge;
  }
  const auto status = static_cast<int>(reader.answer().result_int());
  if (!isBodiless(Call.Request.method(), status)) {
    response.body() = std::move(body);
    response.content_length(response.body().size());
  } else if (!length.empty() &&
             response.result() != bhttp::status::no_content) {
    response.set(bhttp::field::content_length, length);
  }
  Plain = std::move(response);
  returnChannel(reader);
  co_return status >= 500 ? AttemptEnd::Failed : AttemptEnd::Answered;
}

asio::awaitable<AttemptEnd> AttemptRunner::relayStream(AnswerReader &reader) {
  Head = withHeadOf<StreamHead>(reader.answer());
  const core::relay::BodyFraming framing = framingOf(reader);
  const AttemptEnd end = co_await relayEvents(reader);
  Record.Stream = {framing, Events.isInsideEvent()};
  Context.Metrics.streamEnded(core::relay::bodyFramingName(framing),
                              Events.isInsideEvent());
  if (end != AttemptEnd::Answered)
    co_return end;
  if (Events.isInsideEvent()) {
    if (isEventStream(reader.answer()))
      co_return AttemptEnd::Broken;
    const bool isForwarded = co_await forward(Events.takeRest());
    if (!isForwarded) {
      co_return Stopped.value_or(AttemptEnd::CallerGone);
    }
  }
  returnChannel(reader);
  const bool isEnded = co_await forwardEnd();
  if (!isEnded)
    co_return Stopped.value_or(AttemptEnd::CallerGone);
  co_return AttemptEnd::Answered;
}

asio::awaitable<AttemptEnd> AttemptRunner::relayEvents(AnswerReader &reader) {
  Memory = core::limits::MemoryGrant(Context.Memory, MemoryUse::Event);
  std::array<char, ReadBufferBytes> buf{};
  while (!reader.isDone()) {
    reader.answer().body().data = buf.data();
    reader.answer().body().size = buf.size();
    const boost::system::error_code ec =
        co_await reader.readSome(Channel->Socket, Channel->Buffer);
    if (isStopped())
      co_return interruptedEnd(true);
    const size_t got = buf.size() - reader.answer().body().size;
    std::string out = Events.push({buf.data(), got});
    if (!out.empty()) {
      eventsReceived(clock::steadyNow());
      if (!co_await forward(std::move(out)))
        co_return Stopped.value_or(AttemptEnd::CallerGone);
    }
    if (Events.isOverlong())
      co_return AttemptEnd::Garbled;
    if (!Memory.cover(Events.bufferedBytes(), clock::steadyNow()))
      co_return AttemptEnd::TooLarge;
    if (ec && ec != bhttp::error::need_buffer)
      co_return failedRead(ec, ReadOverrun::Trailers);
  }
  co_return AttemptEnd::Answered;
}

void AttemptRunner::eventsReceived(absl::Time now) {
  if (!Target.FirstTokenAt.has_value())
    Context.Metrics.firstEvent(now - Call.ArrivedAt,
                               Target.PredictedFirstToken);
  Context.Dispatcher.firstToken(Target, now);
  if (!IsPromptSound && Target.FirstTokenAt.has_value())
    IsPromptSound =
        Context.Guard.recordProgress(Call.CrashSuspects, *Target.FirstTokenAt);
  Context.Dispatcher.answerBytesReceived(Target, now);
  if (IsDoubted)
    Target.Server->Health.observe(core::fleet::HealthSignal::Good, now);
}

asio::awaitable<bool> AttemptRunner::forward(std::string events) {
  beginForwarding(clock::steadyNow());
  const bool isDone = co_await Listener.deliverEvents(*this, std::move(events));
  step(AttemptStep::EventsTaken);
  // While the caller took its events, nothing was read from the server.
  SilentSince = clock::steadyNow();
  setSilenceTimeout(core::relay::eventGapTimeout(*Call.Route));
  co_return isDone && !isStopped();
}

asio::awaitable<bool> AttemptRunner::forwardEnd() {
  beginForwarding(clock::steadyNow());
  const bool isDone = co_await Listener.deliverEnd(*this);
  step(AttemptStep::EventsTaken);
  Timer.setEnd(absl::InfiniteFuture());
  co_return isDone;
}

void AttemptRunner::beginForwarding(absl::Time now) {
  step(AttemptStep::EventsReady);
  IsDoubted = false;
  Timer.setEnd(now + CallerWriteTimeout);
}

void AttemptRunner::returnChannel(AnswerReader &reader) {
  if (!reader.parser().keep_alive() || reader.parser().need_eof())
    return;
  Context.Channels.release(std::move(Channel), keepAliveTime(reader.answer()),
                           clock::steadyNow());
}

void AttemptRunner::closeChannel() {
  // Closing fails the operation in progress, which resumes its coroutine.
  boost::system::error_code ignored;
  if (Channel != nullptr)
    Channel->Socket.close(ignored);
}

void AttemptRunner::setSilenceTimeout(absl::Duration timeout) {
  SilenceTimeout = timeout;
  IsRechecked = false;
  Timer.setEnd(SilentSince + timeout);
}

void AttemptRunner::onTimeout(absl::Time now) {
  switch (Lifecycle.timeout()) {
  case AttemptTimeout::Connect:
    closeChannel();
    return;
  case AttemptTimeout::Silence:
    if (!isStopped())
      onSilence(now);
    return;
  case AttemptTimeout::CallerWrite:
    Listener.callerBlocked();
    return;
  case AttemptTimeout::None:
    // The phase ended before the timer fired.
    return;
  }
}

bool AttemptRunner::hasUnreadBytes() const {
  boost::system::error_code ignored;
  return Channel != nullptr && Channel->Socket.available(ignored) > 0;
}

void AttemptRunner::onSilence(absl::Time now) {
  // After a standstill of this node, timers may run before what has arrived
  // meanwhile is read or taken.
  const bool isLate = now - SilentSince - SilenceTimeout >= UnreadBytesTime;
  if (hasUnreadBytes() || (isLate && !std::exchange(IsRechecked, true))) {
    Timer.setEnd(now + UnreadBytesTime);
    return;
  }
  const absl::Duration silent = now - SilentSince;
  if (!core::relay::isConnectionLost(silent, SilenceTimeout,
                                     now - Target.Server->LastReceivedAt)) {
    Timer.setEnd(SilentSince + SilenceTimeout + silent);
    return;
  }
  IsDoubted = true;
  // Send no new calls to this backend server, even if this one keeps waiting.
  Target.Server->Health.observe(core::fleet::HealthSignal::Lost, now);
  Listener.attemptSilent(*this, silent, now);
}

void AttemptRunner::step(AttemptStep attemptStep) {
  if (Lifecycle.apply(attemptStep))
    return;
  const auto stepIndex = static_cast<size_t>(attemptStep);
  const auto stateIndex = static_cast<size_t>(Lifecycle.state());
  log::write(log::Level::Error, "attempt_step_ignored",
             {{"id", Call.Head.AttemptId},
              {"step", core::relay::attemptStepNames()[stepIndex]},
              {"state", core::relay::attemptStateNames()[stateIndex]}});
}

} // namespace orioletally::drivers::relay

#include "drivers/relay/caller_session.h"

#include "drivers/clock/clock.h"
#include "drivers/log/log.h"
#include "drivers/loop/connection_end.h"
#include "drivers/loop/message_framing.h"
#include "drivers/loop/request_reader.h"
#include "drivers/relay/message_parts.h"

#include <utility>

namespace orioletally::drivers::relay {

namespace {

using core::errors::ErrorCode;
using core::relay::CloseReason;
using loop::AsTuple;

constexpr size_t ReadBytes = 16 << 10;
/// Limit on the time to receive a body, whose size is limited separately.
constexpr absl::Duration BodyReadTimeout = absl::Seconds(10);
/// Limit on the bytes that are read from a caller and discarded before its
/// connection is closed.
constexpr size_t LingerBytes = 256 << 10;
/// Retry-After of a call that was refused for lack of memory.
constexpr int64_t MemoryRetryAfterMs = 500;
/// Limit on the time to send the answer to a rejected request.
constexpr absl::Duration RejectWriteTimeout = absl::Seconds(1);
/// Retry-After of a call that was still being read when the process ended.
constexpr int64_t DrainingRetryAfterMs = 200;
/// Limit on the time to receive the headers of a call that is refused.
constexpr absl::Duration RefusalReadTimeout = absl::Seconds(1);
/// Retry-After of a call that is refused because of too many connections.
constexpr int64_t RefusalRetryAfterMs = 500;

std::chrono::nanoseconds toChrono(absl::Duration time) {
  return absl::ToChronoNanoseconds(time);
}

/// Returns the status that answers a request that failed to parse; empty when
/// the connection ended, which needs no answer.
std::optional<bhttp::status>
rejectionStatus(const boost::system::error_code &ec) {
  if (ec == bhttp::error::header_limit || ec == loop::trailersTooLong())
    return bhttp::status::request_header_fields_too_large;
  if (ec == loop::chunkHeaderTooLong())
    return bhttp::status::bad_request;
  if (ec == bhttp::error::body_limit)
    return bhttp::status::payload_too_large;
  if (isProtocolError(ec))
    return bhttp::status::bad_request;
  return std::nullopt;
}

/// Whether two HTTP parsers could disagree about the request's framing, host or
/// target.
bool isAmbiguous(const CallRequest &request) {
  return loop::isFramingAmbiguous(request) ||
         request.count(bhttp::field::host) != 1 || request.target().empty() ||
         request.target().front() != '/';
}

} // namespace

CallerSession::CallerSession(RelayContext &context,
                             asio::ip::tcp::socket socket,
                             SharedSessionState &shared)
    : Context(context), Stream(std::move(socket)),
      Buffer(loop::readBufferBytes(limits().MaxHeaderBytes), context.Memory,
             core::limits::MemoryUse::RequestHead),
      IdleTimer(context.Loop), Shared(shared), State(clock::steadyNow()) {
  boost::system::error_code ignored;
  Stream.socket().non_blocking(true, ignored);
  // With Nagle's algorithm, small events wait until earlier ones are
  // acknowledged.
  Stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<void> CallerSession::run() {
  const auto self = shared_from_this();
  while (co_await serveOne()) {
  }
  Stream.close();
}

asio::awaitable<void> CallerSession::refuse() {
  const auto self = shared_from_this();
  IsRefused = true;
  const bool hasData = co_await awaitFirstByte();
  if (!hasData && Buffer.isRefused()) {
    const bhttp::request_header<> noHead;
    State.startReading();
    co_await refuseForMemory(noHead, LingerBytes);
  }
  if (!hasData) {
    Stream.close();
    co_return;
  }
  State.startReading();
  loop::RequestParser parser;
  parser.header_limit(limits().MaxHeaderBytes);
  parser.body_limit(boost::none);
  Stream.expires_after(toChrono(RefusalReadTimeout));
  const auto [ec, n] =
      co_await bhttp::async_read_header(Stream, Buffer, parser, AsTuple);
  if (ec && !(IsEnding && ec == asio::error::operation_aborted)) {
    log::write(log::Level::Info, "request_incomplete",
               {{"reason", ec.message()}, {"unparsed_bytes", Buffer.size()}});
    Stream.close();
    co_return;
  }
  const std::string id =
      Context.Codec.decodeCall(headerViews(parser.get())).AttemptId;
  co_await writeLast(errorResponse(core::errors::RequestErrorBuilder(
                                       ErrorCode::Overloaded,
                                       "this node has too many connections")
                                       .rule("node.max_files")
                                       .retryAfterMs(RefusalRetryAfterMs)
                                       .build(),
                                   id, Context.Codec),
                     parser.get().method());
}

asio::awaitable<bool> CallerSession::serveOne() {
  if (Buffer.size() == 0) {
    const bool hasData = co_await awaitFirstByte();
    if (!hasData && Buffer.isRefused()) {
      const bhttp::request_header<> noHead;
      State.startReading();
      co_await refuseForMemory(noHead, limits().MaxBodyBytes);
    }
    if (!hasData) {
      co_return false;
    }
  }
  State.startReading();
  loop::RequestMemory memory = {
      {Context.Memory, core::limits::MemoryUse::RequestHead},
      {Context.Memory, core::limits::MemoryUse::RequestBody}};
  std::optional<CallRequest> request = co_await readRequest(memory);
  if (!request.has_value())
    co_return false;
  // Connections that are idle or wait for an answer hold no buffer.
  Buffer.releaseIfEmpty();
  Stream.expires_never();
  State.startAnswering();
  auto runner = std::make_shared<CallRunner>(
      Context, Stream.socket(), std::move(*request), clock::steadyNow());
  Running = runner;
  watchCaller(runner);
  const bool isKeptOpen = co_await runner->run();
  if (!Stream.socket().is_open())
    co_return false;
  Stream.socket().cancel();
  if (!isKeptOpen) {
    State.startClosing(true);
    co_await loop::lingeringClose(Stream, Buffer, LingerBytes);
  }
  co_return isKeptOpen;
}

core::routes::CallerLimits CallerSession::limits() const {
  const auto config = Context.Dispatcher.config();
  return config == nullptr ? core::routes::CallerLimits{} : config->limits();
}

size_t CallerSession::untakenBytes() const {
  boost::system::error_code ec;
  return Buffer.size() + Stream.socket().available(ec);
}

absl::Duration CallerSession::idleTimeout() const {
  return IsRefused ? RefusalReadTimeout : limits().IdleTimeout;
}

void CallerSession::closeIfIdle(CloseReason reason) {
  const absl::Time now = clock::steadyNow();
  const size_t untaken = untakenBytes();
  const bool isDue = reason == CloseReason::Shutdown
                         ? State.closesForShutdown(now, untaken)
                         : State.isIdle(untaken);
  if (!isDue)
    return;
  Reason = reason;
  ++Shared.Closes[static_cast<size_t>(Reason)];
  IdleFor = State.idleTime(now);
  State.startClosing(false);
  boost::system::error_code ignored;
  Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  Stream.socket().cancel(ignored);
}

bool CallerSession::hasUnansweredRequest() const {
  return State.isArriving(untakenBytes());
}

bool CallerSession::keepsNode(absl::Time now) const {
  return State.keepsNode(now, untakenBytes());
}

void CallerSession::recordProcessEnd() {
  if (State.phase() == core::relay::ConnectionPhase::Closing)
    return;
  Reason = CloseReason::ProcessEnd;
  ++Shared.Closes[static_cast<size_t>(Reason)];
  IdleFor = State.idleTime(clock::steadyNow());
  recordClose(untakenBytes());
}

void CallerSession::recordClose(size_t unreadBytes) {
  // At the end of a process all connections close; the counts suffice.
  if (unreadBytes == 0 && Reason != CloseReason::IdleTimeout)
    return;
  log::write(unreadBytes == 0 ? log::Level::Info : log::Level::Warn,
             "connection_closed",
             {{"reason", core::relay::closeReasonName(Reason)},
              {"idle_ms", absl::ToInt64Milliseconds(IdleFor)},
              {"calls", State.calls()},
              {"unread_bytes", unreadBytes}});
}

void CallerSession::abortCall() {
  const auto runner = Running.lock();
  if (runner != nullptr && !IsEnding)
    runner->giveUp();
  IsEnding = true;
  if (State.phase() == core::relay::ConnectionPhase::Reading)
    Stream.cancel();
}

asio::awaitable<bool> CallerSession::awaitFirstByte() {
  Stream.expires_never();
  const absl::Time now = clock::steadyNow();
  State.startWaiting(now);
  armIdleTimer({now, IsRefused
                         ? RefusalReadTimeout
                         : Shared.IdleTimeout.forWait(now, idleTimeout())});
  boost::system::error_code ec;
  do {
    // A read would take bytes off the socket before this coroutine goes on.
    co_await Stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                        AsTuple);
    if (State.phase() == core::relay::ConnectionPhase::Closing)
      break;
    ec = loop::takeBytes(Stream.socket(), Buffer, ReadBytes);
  } while (ec == asio::error::would_block);
  IdleTimer.cancel();
  const bool isClosing = State.phase() == core::relay::ConnectionPhase::Closing;
  if (isClosing) {
    co_await endClosing();
  }
  co_return !isClosing && !ec;
}

asio::awaitable<void> CallerSession::endClosing() {
  const size_t unread = co_await loop::closeAfterPeer(Stream);
  recordClose(unread);
}

void CallerSession::armIdleTimer(core::relay::IdleWait wait) {
  IdleTimer.expires_at(clock::waitDeadline(wait.endsAt(), clock::steadyNow()));
  IdleTimer.async_wait(
      [self = shared_from_this(), wait](boost::system::error_code ec) mutable {
        if (ec || self->State.phase() != core::relay::ConnectionPhase::Waiting)
          return;
        if (wait.isOver(clock::steadyNow(), self->idleTimeout()))
          self->closeIfIdle(CloseReason::IdleTimeout);
        else
          self->armIdleTimer(wait);
      });
}

asio::awaitable<std::optional<CallRequest>>
CallerSession::readRequest(loop::RequestMemory &memory) {
  const core::routes::CallerLimits inForce = limits();
  Buffer.setMaxBytes(loop::readBufferBytes(inForce.MaxHeaderBytes));
  loop::RequestParser parser;
  parser.header_limit(inForce.MaxHeaderBytes);
  parser.body_limit(inForce.MaxBodyBytes);
  Stream.expires_after(toChrono(inForce.HeaderTimeout));
  const boost::system::error_code readError = co_await loop::readRequest(
      Stream, Buffer, parser, isAmbiguous, toChrono(BodyReadTimeout), &memory);
  if (readError == loop::memoryFull()) {
    // An assignment would keep the capacity.
    std::string().swap(parser.get().body());
    memory.Body.release();
    co_await refuseForMemory(parser.get(), inForce.MaxBodyBytes);
    co_return std::nullopt;
  }
  if (readError) {
    co_await reject(readError, parser.get());
    co_return std::nullopt;
  }
  co_return parser.release();
}

asio::awaitable<void> CallerSession::reject(boost::system::error_code ec,
                                            const loop::RequestMessage &head) {
  if (IsEnding && ec == asio::error::operation_aborted) {
    log::write(log::Level::Info, "call_rejected",
               {{"status", core::errors::httpStatus(ErrorCode::Draining)},
                {"reason", ec.message()}});
    const std::string id =
        Context.Codec.decodeCall(headerViews(head)).AttemptId;
    co_await writeLast(
        errorResponse(core::errors::RequestErrorBuilder(
                          ErrorCode::Draining, "this node is shutting down")
                          .rule("SIGTERM")
                          .retryAfterMs(DrainingRetryAfterMs)
                          .build(),
                      id, Context.Codec),
        head.method());
    co_return;
  }
  if (const auto overrun = loop::overrunOf(ec))
    Context.Overruns.record(core::limits::ReadSource::Caller, *overrun,
                            clock::steadyNow());
  const std::optional<bhttp::status> status = rejectionStatus(ec);
  if (!status.has_value()) {
    log::write(log::Level::Info, "request_incomplete",
               {{"reason", ec.message()}, {"unparsed_bytes", Buffer.size()}});
    co_return;
  }
  log::write(log::Level::Info, "call_rejected",
             {{"status", static_cast<int>(*status)},
              {"reason", loop::readErrorText(ec)}});
  PlainResponse response(*status, 11);
  response.body() = loop::readErrorText(ec);
  response.prepare_payload();
  co_await writeLast(std::move(response), head.method());
}

asio::awaitable<void> CallerSession::writeLast(PlainResponse response,
                                               bhttp::verb method) {
  omitBodyForHead(response, method);
  response.set(bhttp::field::connection, "close");
  State.startAnswering();
  Stream.expires_after(toChrono(RejectWriteTimeout));
  co_await bhttp::async_write(Stream, response, AsTuple);
  State.startClosing(true);
  co_await loop::lingeringClose(Stream, Buffer, LingerBytes);
}

asio::awaitable<void>
CallerSession::refuseForMemory(const bhttp::request_header<> &head,
                               size_t maxBodyBytes) {
  const std::string id = Context.Codec.decodeCall(headerViews(head)).AttemptId;
  const core::errors::RequestError error =
      core::errors::RequestErrorBuilder(core::errors::ErrorCode::MemoryFull,
                                        "this node has no memory for the call")
          .rule("node.memory_mb")
          .retryAfterMs(MemoryRetryAfterMs)
          .build();
  const std::string code(core::errors::errorCodeName(error.Code));
  bhttp::response<bhttp::string_body> response =
      errorResponse(error, id, Context.Codec);
  omitBodyForHead(response, head.method());
  log::write(log::Level::Info, "call_rejected",
             {{"id", id},
              {"status", static_cast<int>(response.result_int())},
              {"reason", code}});
  Context.Metrics.localErrorSent(code);
  response.set(bhttp::field::connection, "close");
  State.startAnswering();
  Stream.expires_after(toChrono(RejectWriteTimeout));
  co_await bhttp::async_write(Stream, response, AsTuple);
  State.startClosing(true);
  // Most clients read the answer only after they have sent the whole body.
  co_await loop::lingeringClose(Stream, Buffer, maxBodyBytes + LingerBytes,
                                toChrono(BodyReadTimeout));
}

void CallerSession::watchCaller(const std::shared_ptr<CallRunner> &runner) {
  loop::watchPeer(Stream.socket(), [self = shared_from_this(),
                                    weak = std::weak_ptr<CallRunner>(runner)] {
    if (const auto running = weak.lock())
      running->abort(core::relay::AttemptEnd::CallerGone);
  });
}

} // namespace orioletally::drivers::relay

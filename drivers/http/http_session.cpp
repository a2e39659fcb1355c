#include "drivers/http/http_session.h"

#include "drivers/clock/clock.h"
#include "drivers/log/log.h"
#include "drivers/loop/connection_end.h"
#include "drivers/loop/message_framing.h"
#include "drivers/loop/request_reader.h"

#include <exception>
#include <utility>

namespace orioletally::drivers::http {

using loop::AsTuple;

namespace {

/// Enough for the head of most requests; a larger head takes several reads.
constexpr size_t FirstReadBytes = 1024;
constexpr size_t MaxHeaderBytes = 16 << 10;

std::chrono::nanoseconds toChrono(absl::Duration time) {
  return absl::ToChronoNanoseconds(time);
}

/// Returns the fault of a request that couldn't be read; nothing if the caller
/// only disconnected.
std::optional<HttpFault> faultOf(const boost::system::error_code &ec) {
  if (ec == bhttp::error::body_limit)
    return HttpFault::TooLarge;
  if (loop::overrunOf(ec).has_value())
    return HttpFault::Malformed;
  if (ec.category() == bhttp::make_error_code(bhttp::error{}).category() &&
      ec != bhttp::error::end_of_stream && ec != bhttp::error::partial_message)
    return HttpFault::Malformed;
  return std::nullopt;
}

void parseTarget(std::string_view target, HttpRequest &request) {
  const size_t queryMark = target.find('?');
  request.Path = percentDecoded(target.substr(0, queryMark), false);
  if (queryMark == std::string_view::npos)
    return;
  std::string_view rest = target.substr(queryMark + 1);
  while (!rest.empty()) {
    const std::string_view field = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), field.size() + 1));
    const size_t equals = std::min(field.find('='), field.size());
    const std::string_view value =
        field.substr(std::min(field.size(), equals + 1));
    request.Query[percentDecoded(field.substr(0, equals), true)] =
        percentDecoded(value, true);
  }
}

HttpRequest toHttpRequest(loop::RequestMessage message) {
  HttpRequest request;
  request.Method = message.method_string();
  parseTarget({message.target().data(), message.target().size()}, request);
  for (const auto &it : message)
    request.Headers.emplace(it.name_string(), it.value());
  request.Body = std::move(message.body());
  return request;
}

bool isAmbiguous(const loop::RequestMessage &head) {
  return loop::isFramingAmbiguous(head);
}

} // namespace

HttpSession::HttpSession(std::shared_ptr<HttpServer::SharedState> server,
                         asio::ip::tcp::socket socket, bool isSingleRequest)
    : Server(std::move(server)), Stream(std::move(socket)),
      Buffer(loop::readBufferBytes(MaxHeaderBytes)),
      IsSingleRequest(isSingleRequest) {
  boost::system::error_code ignored;
  Stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  Stream.socket().non_blocking(true, ignored);
}

asio::awaitable<void> HttpSession::run() {
  const auto self = shared_from_this();
  while (co_await serveOne()) {
  }
  Stream.close();
}

void HttpSession::closeIfIdle() {
  boost::system::error_code ec;
  if (IsBusy || Stream.socket().available(ec) > 0)
    return;
  IsClosing = true;
  Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  Stream.socket().cancel(ec);
}

asio::awaitable<bool> HttpSession::serveOne() {
  if (Buffer.size() == 0) {
    const bool hasData = co_await awaitFirstByte();
    if (!hasData) {
      co_return false;
    }
  }
  IsBusy = true;
  std::optional<Incoming> incoming = co_await readRequest();
  if (!incoming.has_value()) {
    co_return false;
  }
  Buffer.releaseIfEmpty();
  Stream.expires_never();
  HttpReply reply(Stream, incoming->Version, Server->Settings.WriteTimeout);
  const auto watched = watchCaller(reply);
  co_await handle(*incoming, reply);
  *watched = nullptr;
  if (!Stream.socket().is_open()) {
    co_return false;
  }
  Stream.socket().cancel();
  const bool keepAlive = co_await completeResponse(*incoming, reply);
  IsBusy = false;
  co_return keepAlive;
}

asio::awaitable<bool> HttpSession::awaitFirstByte() {
  Stream.expires_never();
  boost::system::error_code ec;
  {
    const loop::CancelAfter idleTimeout(Stream,
                                        toChrono(Server->Settings.IdleTimeout));
    do {
      // A read would take bytes off the socket before this coroutine goes on.
      co_await Stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                          AsTuple);
      if (IsClosing)
        break;
      ec = loop::takeBytes(Stream.socket(), Buffer, FirstReadBytes);
      if (ec == asio::error::would_block && idleTimeout.hasExpired())
        closeIfIdle();
    } while (ec == asio::error::would_block && !IsClosing);
  }
  if (IsClosing) {
    co_await loop::closeAfterPeer(Stream);
  }
  co_return !IsClosing && !ec;
}

asio::awaitable<std::optional<HttpSession::Incoming>>
HttpSession::readRequest() {
  loop::RequestParser parser;
  parser.header_limit(MaxHeaderBytes);
  parser.body_limit(Server->Settings.MaxBodyBytes);
  Stream.expires_never();
  std::optional<loop::CancelAfter> readTimeout;
  readTimeout.emplace(Stream, toChrono(Server->Settings.RequestReadTimeout));
  const boost::system::error_code readError = co_await loop::readRequest(
      Stream, Buffer, parser, isAmbiguous, std::nullopt);
  const bool hasTimedOut = readTimeout->hasExpired();
  readTimeout.reset();
  if (readError) {
    co_await reject(readError, hasTimedOut);
    co_return std::nullopt;
  }
  Incoming incoming;
  incoming.Version = parser.get().version();
  incoming.KeepAlive = parser.get().keep_alive();
  incoming.Request = toHttpRequest(parser.release());
  boost::system::error_code ec;
  const auto remote = Stream.socket().remote_endpoint(ec);
  if (!ec)
    incoming.Request.RemoteAddress = remote.address().to_string();
  co_return incoming;
}

std::shared_ptr<HttpReply *> HttpSession::watchCaller(HttpReply &reply) {
  auto watched = std::make_shared<HttpReply *>(&reply);
  loop::watchPeer(Stream.socket(), [self = shared_from_this(), watched] {
    if (*watched != nullptr)
      (*watched)->notifyCallerDisconnected();
  });
  return watched;
}

asio::awaitable<void> HttpSession::handle(Incoming &incoming,
                                          HttpReply &reply) {
  const HttpHandler *handler = Server->Routes.find(incoming.Request);
  if (handler == nullptr) {
    reply.Answer =
        Server->Routes.faultResponse(HttpFault::NoRoute, incoming.Request.Path);
    co_return;
  }
  try {
    co_await (*handler)(incoming.Request, reply);
  } catch (const std::exception &error) {
    log::write(log::Level::Error, "handler_failed",
               {{"path", incoming.Request.Path}, {"reason", error.what()}});
    reply.Answer = Server->Routes.faultResponse(HttpFault::HandlerFailed,
                                                incoming.Request.Path);
  }
}

asio::awaitable<bool> HttpSession::completeResponse(const Incoming &incoming,
                                                    HttpReply &reply) {
  const bool keepAlive = incoming.KeepAlive && !mustClose();
  if (!reply.hasStarted()) {
    co_return co_await sendResponse(std::move(reply.Answer), incoming.Version,
                                    keepAlive);
  }
  // An unfinished stream must not look complete, so the connection is closed,
  // and reset where a close would end the body.
  const bool isChunked = incoming.Version >= loop::FirstChunkedVersion;
  if (!reply.isFinished() && !isChunked)
    loop::resetConnection(Stream.socket());
  co_return reply.isFinished() && isChunked &&keepAlive;
}

asio::awaitable<bool> HttpSession::sendResponse(HttpResponse answer,
                                                unsigned version,
                                                bool keepAlive) {
  bhttp::response<bhttp::string_body> message(
      static_cast<bhttp::status>(answer.Status), version);
  for (const auto &[name, value] : answer.Headers)
    message.insert(name, value);
  message.body() = std::move(answer.Body);
  message.keep_alive(keepAlive);
  message.prepare_payload();
  Stream.expires_after(toChrono(Server->Settings.WriteTimeout));
  const auto [ec, n] = co_await bhttp::async_write(Stream, message, AsTuple);
  if (!ec && !keepAlive) {
    co_await loop::lingeringClose(Stream, Buffer, maxLingerBytes());
  }
  co_return !ec && keepAlive;
}

asio::awaitable<void> HttpSession::reject(boost::system::error_code ec,
                                          bool hasTimedOut) {
  const std::optional<HttpFault> fault =
      hasTimedOut ? HttpFault::TimedOut : faultOf(ec);
  const std::optional<core::limits::ReadOverrun> overrun =
      hasTimedOut ? core::limits::ReadOverrun::Time : loop::overrunOf(ec);
  if (overrun.has_value() && Server->Settings.Overruns != nullptr)
    Server->Settings.Overruns->record(core::limits::ReadSource::StatusPage,
                                      *overrun, clock::steadyNow());
  if (!fault.has_value()) {
    co_return;
  }
  log::write(log::Level::Info, "request_rejected",
             {{"reason", loop::readErrorText(ec)}});
  HttpResponse response = Server->Routes.faultResponse(*fault, "");
  co_await sendResponse(std::move(response), 11, false);
}

} // namespace orioletally::drivers::http

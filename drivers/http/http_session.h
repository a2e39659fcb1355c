#ifndef ORIOLETALLY_DRIVERS_HTTP_HTTP_SESSION_H
#define ORIOLETALLY_DRIVERS_HTTP_HTTP_SESSION_H

#include "drivers/http/http_server.h"

#include <memory>
#include <optional>

namespace orioletally::drivers::http {

/// One accepted connection: reads one request after the other within the
/// server's limits and sends what its handler answers.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  /// With \p isSingleRequest, the connection ends after one request.
  HttpSession(std::shared_ptr<HttpServer::SharedState> server,
              asio::ip::tcp::socket socket, bool isSingleRequest);

  asio::awaitable<void> run();

  /// Ends the connection unless a request is in progress.
  void closeIfIdle();

private:
  /// A request that was read, and what its connection needs to know of it.
  struct Incoming {
    HttpRequest Request;
    unsigned Version = 11;
    bool KeepAlive = true;
  };

  asio::awaitable<bool> serveOne();
  asio::awaitable<bool> awaitFirstByte();
  asio::awaitable<std::optional<Incoming>> readRequest();
  asio::awaitable<void> handle(Incoming &incoming, HttpReply &reply);
  asio::awaitable<bool> completeResponse(const Incoming &incoming,
                                         HttpReply &reply);
  asio::awaitable<bool> sendResponse(HttpResponse answer, unsigned version,
                                     bool keepAlive);
  asio::awaitable<void> reject(boost::system::error_code ec, bool hasTimedOut);
  std::shared_ptr<HttpReply *> watchCaller(HttpReply &reply);
  bool mustClose() const { return IsSingleRequest || Server->Closing; }
  /// What is read of a request that is turned away; twice the largest body, so
  /// that most callers who send too much still see why.
  size_t maxLingerBytes() const { return 2 * Server->Settings.MaxBodyBytes; }

  std::shared_ptr<HttpServer::SharedState> Server;
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  bool IsSingleRequest;
  bool Busy = false;
};

} // namespace orioletally::drivers::http

#endif

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
  /// With \p isLast, the connection ends after one request.
  HttpSession(std::shared_ptr<HttpServer::Part> server,
              asio::ip::tcp::socket socket, bool isLast);

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
  asio::awaitable<bool> conclude(const Incoming &incoming, HttpReply &reply);
  asio::awaitable<bool> sendWhole(HttpResponse answer, unsigned version,
                                  bool isKept);
  asio::awaitable<void> reject(boost::system::error_code ec, bool isLate);
  std::shared_ptr<HttpReply *> watchCaller(HttpReply &reply);
  bool isLast() const { return OneRequest || Server->Closing; }
  /// What is read of a request that is turned away; twice the largest body, so
  /// that most callers who send too much still see why.
  size_t maxLinger() const { return 2 * Server->Wanted.MaxBodyBytes; }

  std::shared_ptr<HttpServer::Part> Server;
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  bool OneRequest;
  bool Busy = false;
};

} // namespace orioletally::drivers::http

#endif

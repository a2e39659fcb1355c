#ifndef ORIOLETALLY_DRIVERS_HTTP_HTTP_SESSION_H
#define ORIOLETALLY_DRIVERS_HTTP_HTTP_SESSION_H

#include "drivers/http/http_server.h"
#include "drivers/loop/read_buffer.h"

#include <memory>
#include <optional>

namespace orioletally::drivers::http {

/// One accepted connection. Reads one request after another within the server's
/// limits and sends the responses of their handlers.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  /// With \p isSingleRequest, the connection is closed after one request.
  HttpSession(std::shared_ptr<HttpServer::SharedState> server,
              asio::ip::tcp::socket socket, bool isSingleRequest);

  asio::awaitable<void> run();

  /// Closes the connection unless a request is in progress or has arrived.
  void closeIfIdle();

private:
  /// A received request, with the properties of its HTTP message that the
  /// response depends on.
  struct Incoming {
    HttpRequest Request;
    unsigned Version = 11;
    bool KeepAlive = true;
  };

  /// Handles one request. Returns false if the connection must be closed.
  asio::awaitable<bool> serveOne();
  asio::awaitable<bool> awaitFirstByte();
  asio::awaitable<std::optional<Incoming>> readRequest();
  asio::awaitable<void> handle(Incoming &incoming, HttpReply &reply);
  asio::awaitable<bool> completeResponse(const Incoming &incoming,
                                         HttpReply &reply);
  asio::awaitable<bool> sendResponse(HttpResponse answer, unsigned version,
                                     bool keepAlive);
  asio::awaitable<void> reject(boost::system::error_code ec, bool hasTimedOut);
  /// Notifies \p reply when the caller closes its side, until the returned
  /// pointer is set to null.
  std::shared_ptr<HttpReply *> watchCaller(HttpReply &reply);
  bool mustClose() const { return IsSingleRequest || Server->Closing; }
  /// How much of a rejected request to read and discard before closing: twice
  /// the largest allowed body, so that most callers that send too much still
  /// receive the error.
  size_t maxLingerBytes() const { return 2 * Server->Settings.MaxBodyBytes; }

  std::shared_ptr<HttpServer::SharedState> Server;
  beast::tcp_stream Stream;
  loop::ReadBuffer Buffer;
  bool IsSingleRequest;
  /// Whether a request is being read or answered.
  bool IsBusy = false;
  /// Whether the server's side of the idle connection was shut down.
  bool IsClosing = false;
};

} // namespace orioletally::drivers::http

#endif

#ifndef ORIOLETALLY_DRIVERS_HTTP_HTTP_SERVER_H
#define ORIOLETALLY_DRIVERS_HTTP_HTTP_SERVER_H

#include "drivers/http/http_reply.h"
#include "drivers/http/http_routes.h"
#include "drivers/loop/listener.h"

#include <absl/time/time.h>
#include <boost/leaf.hpp>
#include <list>
#include <memory>
#include <string>

namespace orioletally::drivers::http {

class HttpSession;

/// Parameters of an HttpServer.
struct HttpServerSettings {
  std::string Address = "127.0.0.1";
  /// 0 takes a free port.
  int Port = 0;
  /// Connections served in full at once. As many again are served one request
  /// each, so that they learn to come back; any further one is closed.
  size_t MaxConnections = 1200;
  size_t MaxBodyBytes = 16777216;
  /// Time for one whole request to arrive.
  absl::Duration RequestReadTimeout = absl::Seconds(10);
  /// Time for one piece of an answer to be taken by the caller.
  absl::Duration WriteTimeout = absl::Seconds(10);
  /// Time that a connection may stay open between two requests.
  absl::Duration IdleTimeout = absl::Seconds(5);
};

/// Serves HTTP on an event loop: one connection is one coroutine. Handlers run
/// on the loop and must not block it; blocking work goes to WorkerThreads.
class HttpServer {
public:
  HttpServer(asio::io_context &loop, HttpServerSettings settings);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Requests are given to the first route that fits; set before start().
  HttpRoutes &routes() { return Shared->Routes; }

  /// Binds and begins to serve. Fails with loop::ListenError.
  boost::leaf::result<void> start();

  /// Takes no new connections, closes idle ones and lets each of the others
  /// end its request. On the loop.
  void close();

  /// Connections that are open now. On the loop.
  size_t connections() const { return Shared->OpenConnections; }

  /// The port in use after start().
  int port() const { return Port; }

private:
  friend class HttpSession;

  /// What the sessions share with the server; it outlives both.
  struct SharedState {
    HttpServerSettings Settings;
    HttpRoutes Routes;
    size_t OpenConnections = 0;
    bool Closing = false;
    std::list<std::weak_ptr<HttpSession>> Sessions;
  };

  void startSession(asio::ip::tcp::socket socket);

  asio::io_context &Loop;
  std::shared_ptr<SharedState> Shared;
  std::shared_ptr<loop::Listener> Listener;
  int Port = 0;
};

} // namespace orioletally::drivers::http

#endif

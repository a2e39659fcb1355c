#ifndef ORIOLETALLY_DRIVERS_HTTP_HTTP_SERVER_H
#define ORIOLETALLY_DRIVERS_HTTP_HTTP_SERVER_H

#include "core/limits/read_overruns.h"
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

struct HttpServerSettings {
  std::string Address = "127.0.0.1";
  /// 0 selects a free port.
  int Port = 0;
  /// Concurrent connections that may each make any number of requests. As many
  /// again may make one request each, so that their callers get an answer, such
  /// as when to retry; any further connection is closed.
  size_t MaxConnections = 1200;
  size_t MaxBodyBytes = 16777216;
  /// Time within which a request must arrive completely.
  absl::Duration RequestReadTimeout = absl::Seconds(10);
  /// Time within which the caller must accept one piece of a response.
  absl::Duration WriteTimeout = absl::Seconds(10);
  /// Time that a connection may stay idle between two requests.
  absl::Duration IdleTimeout = absl::Seconds(5);
  /// Counts the requests that go over a bound; may be null.
  core::limits::ReadOverruns *Overruns = nullptr;
};

/// Serves HTTP on an event loop, with one coroutine per connection. Handlers
/// run on the loop and must not block it; blocking work goes to WorkerThreads.
class HttpServer {
public:
  HttpServer(asio::io_context &loop, HttpServerSettings settings);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// The first route that matches handles a request. Add routes before start().
  HttpRoutes &routes() { return Shared->Routes; }

  /// Binds the port and starts serving. Fails with loop::ListenError.
  boost::leaf::result<void> start();

  /// Stops accepting connections, closes idle ones and lets the others complete
  /// the request in progress. Must be called on the loop.
  void close();

  /// Number of open connections. Must be called on the loop.
  size_t connections() const { return Shared->OpenConnections; }

  /// The bound port, once start() has succeeded.
  int port() const { return Port; }

private:
  friend class HttpSession;

  /// State shared by the server and its sessions; it outlives both.
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

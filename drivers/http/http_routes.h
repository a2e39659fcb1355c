#ifndef ORIOLETALLY_DRIVERS_HTTP_HTTP_ROUTES_H
#define ORIOLETALLY_DRIVERS_HTTP_HTTP_ROUTES_H

#include "drivers/http/http_message.h"
#include "drivers/http/http_reply.h"
#include "drivers/loop/asio_use.h"
#include "drivers/loop/worker_threads.h"

#include <functional>
#include <regex>
#include <string>
#include <vector>

namespace orioletally::drivers::http {

/// Handles a request on the event loop.
using HttpHandler = std::function<asio::awaitable<void>(HttpRequest &request,
                                                        HttpReply &reply)>;

/// Handles a request without suspending.
using SyncHandler =
    std::function<void(const HttpRequest &request, HttpResponse &response)>;

/// Why a request reached no handler or its handler failed.
enum class HttpFault { Malformed, TooLarge, TimedOut, NoRoute, HandlerFailed };

/// Returns the response to a request with a fault.
using FaultHandler =
    std::function<HttpResponse(HttpFault fault, const std::string &path)>;

/// The handlers of a server, by method and path.
class HttpRoutes {
public:
  HttpRoutes();

  /// \p pattern is a regular expression that must match the whole path.
  void add(std::string method, const std::string &pattern, HttpHandler handler);

  /// Adds a handler that runs on the loop and must not block.
  void addSync(std::string method, const std::string &pattern,
               SyncHandler handler);

  /// Adds a handler that may block; it runs on one of \p threads.
  void addBlocking(std::string method, const std::string &pattern,
                   loop::WorkerThreads &threads, SyncHandler handler);

  void setFaultHandler(FaultHandler handler) { OnFault = std::move(handler); }
  HttpResponse faultResponse(HttpFault fault, const std::string &path) const {
    return OnFault(fault, path);
  }

  /// Returns the handler of the first route that matches \p request and fills
  /// in the request's Matches; null if no route matches.
  const HttpHandler *find(HttpRequest &request) const;

private:
  struct Route {
    std::string Method;
    std::regex Pattern;
    HttpHandler Handler;
  };

  std::vector<Route> Routes;
  FaultHandler OnFault;
};

} // namespace orioletally::drivers::http

#endif

#ifndef ORIOLETALLY_DRIVERS_HTTP_HTTP_EXCHANGE_H
#define ORIOLETALLY_DRIVERS_HTTP_HTTP_EXCHANGE_H

#include "drivers/http/http_message.h"

#include <absl/time/time.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace orioletally::drivers::http {

/// A request to be sent over a new connection.
struct ExchangeRequest {
  /// "ip:port" or "name:port".
  std::string Address;
  std::string Method;
  std::string Path;
  std::string Body;
  std::string ContentType = "application/json";
  HeaderMap Headers;
  absl::Duration ConnectTimeout;
};

/// The result of an exchange.
struct ExchangeResult {
  /// The status code of the answer; 0 if none was received.
  int Status = 0;
  /// Whether the answer was received completely.
  bool Complete = false;
  /// Whether any byte of the request may have left this process.
  bool Written = false;
  /// Why the answer is incomplete; empty if it is complete.
  std::string Error;
  HeaderMap Headers;
};

/// Runs one HTTP request on an event loop and passes on the answer as it
/// arrives. Only connecting has a timeout: the owner must call stop() if the
/// answer takes too long.
class HttpExchange {
public:
  /// Called on the loop with the status and each piece of the body.
  using DataHandler = std::function<void(int status, std::string_view data)>;
  /// Called on the loop once, after the last piece of the body.
  using EndHandler = std::function<void(const ExchangeResult &result)>;

  HttpExchange(boost::asio::io_context &loop, ExchangeRequest request,
               DataHandler data, EndHandler end);

  /// Closes the connection and waits for a handler that is running on another
  /// thread. No handler is called afterwards.
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  /// Closes the connection. May be called from any thread and repeatedly.
  void stop();

private:
  class Run;
  std::shared_ptr<Run> Running;
};

/// Sends \p request and waits at most \p timeout for the complete answer.
/// Stores the answer's body, or the part of it that arrived in time, in \p
/// body. Blocks the calling thread and runs a separate event loop on it.
ExchangeResult runExchange(ExchangeRequest request, absl::Duration timeout,
                           std::string &body);

} // namespace orioletally::drivers::http

#endif

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

/// One request over a connection of its own.
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

/// How an exchange ended.
struct ExchangeResult {
  /// The status of the answer; 0 when none came.
  int Status = 0;
  /// Whether the answer arrived to its end.
  bool Complete = false;
  /// Whether any byte of the request may have left this process.
  bool Written = false;
  std::string Error;
  HeaderMap Headers;
};

/// Runs one HTTP request on an event loop and hands out the answer as it
/// arrives. It has no bound on reading: whoever started it stops it in time.
class HttpExchange {
public:
  /// Called with the status and each piece of the body, on the loop.
  using DataHandler = std::function<void(int status, std::string_view data)>;
  /// Called once, last, on the loop.
  using EndHandler = std::function<void(const ExchangeResult &result)>;

  HttpExchange(boost::asio::io_context &loop, ExchangeRequest request,
               DataHandler data, EndHandler end);

  /// Stops; no handler is called afterwards.
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  /// Closes the connection. May be called from any thread, more than once.
  void stop();

private:
  class Run;
  std::shared_ptr<Run> Running;
};

/// Sends \p request and waits for the whole answer for at most \p timeout. The
/// body goes to \p body. Runs a loop of its own on the calling thread.
ExchangeResult runExchange(ExchangeRequest request, absl::Duration timeout,
                           std::string &body);

} // namespace orioletally::drivers::http

#endif

#ifndef ORIOLETALLY_DRIVERS_HTTP_HTTP_EXCHANGE_H
#define ORIOLETALLY_DRIVERS_HTTP_HTTP_EXCHANGE_H

#include <absl/time/time.h>
#include <atomic>
#include <functional>
#include <httplib.h>
#include <string>
#include <string_view>
#include <thread>

namespace orioletally::drivers::http {

/// One request over a connection of its own.
struct ExchangeRequest {
  /// "ip:port".
  std::string Address;
  std::string Method;
  std::string Path;
  std::string Body;
  std::string ContentType = "application/json";
  httplib::Headers Headers;
  absl::Duration Connect;
};

/// How an exchange ended.
struct ExchangeEnd {
  /// The status of the answer; 0 when none came.
  int Status = 0;
  /// Whether the answer arrived to its end.
  bool Whole = false;
  /// Whether any byte of the request may have left this process.
  bool Written = false;
  std::string Error;
  httplib::Headers Headers;
};

/// Runs one HTTP request on a thread of its own and hands out the answer as it
/// arrives. It has no bound on reading: whoever started it stops it in time.
class HttpExchange {
public:
  /// Called with the status and each piece of the body.
  using DataHandler = std::function<void(int status, std::string_view data)>;
  /// Called once, last.
  using EndHandler = std::function<void(const ExchangeEnd &end)>;

  HttpExchange(ExchangeRequest wanted, DataHandler data, EndHandler end);

  /// Stops and waits for the thread; no handler is called afterwards.
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  /// Closes the connection. May be called from any thread, more than once.
  void stop();

private:
  void run(ExchangeRequest wanted, const DataHandler &data,
           const EndHandler &end);

  httplib::Client Client;
  std::atomic<bool> Stopped = false;
  std::atomic<bool> Done = false;
  std::thread Worker;
};

/// Sends \p wanted and waits for the whole answer for at most \p bound. The
/// body goes to \p body.
ExchangeEnd exchangeWithin(ExchangeRequest wanted, absl::Duration bound,
                           std::string &body);

} // namespace orioletally::drivers::http

#endif

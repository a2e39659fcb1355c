#ifndef ORIOLETALLY_DRIVERS_LOOP_HTTP_CLIENT_H
#define ORIOLETALLY_DRIVERS_LOOP_HTTP_CLIENT_H

#include "core/limits/memory_account.h"
#include "drivers/loop/read_buffer.h"

#include <absl/time/time.h>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace orioletally::drivers::loop {

/// One call of an HttpClient.
struct HttpCall {
  /// Upper case.
  std::string Method = "GET";
  std::string Target;
  /// JSON; empty for none.
  std::string Body;
  absl::Duration Timeout = absl::Seconds(1);
  /// Larger answers fail the call; a page of the store's rows is at most 1 MB.
  uint64_t MaxAnswerBytes = 16 << 20;

  /// Use these instead of braced initializers: g++ 12 destroys a braced
  /// temporary in a co_await expression twice.
  static HttpCall get(std::string target, absl::Duration timeout);
  static HttpCall post(std::string target, std::string body,
                       absl::Duration timeout);
};

/// A complete answer, or the reason why there is none.
struct HttpCallResult {
  /// 0 when no complete answer was received.
  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /// Why there is no answer; set when Status is 0.
  std::string Failure;
  /// Whether the server may have received the call.
  bool MayHaveArrived = false;

  /// Returns the value of the header \p name, in any case; empty if there is
  /// none.
  std::string_view header(std::string_view name) const;
};

/// HTTP/1.1 client of one server, over one connection that is kept open between
/// calls. Connecting, and then the exchange, are each limited by the call's
/// timeout. Runs on the event loop.
class HttpClient {
public:
  /// \p address is "ip:port"; answers that are being received are counted in
  /// \p memory, if given.
  HttpClient(boost::asio::io_context &loop, std::string address,
             core::limits::MemoryAccount *memory = nullptr);

  /// Makes one call. Calls on the same client must not overlap.
  boost::asio::awaitable<HttpCallResult> call(HttpCall httpCall);

  /// Closes the connection, which fails a call in progress.
  void close();

  /// Closes the connection between calls; the next one opens another.
  void disconnect() { Stream.reset(); }

  uint64_t bytesSent() const { return Sent; }
  uint64_t bytesReceived() const { return Received; }

private:
  boost::asio::awaitable<std::string> connect(absl::Duration timeout);

  boost::asio::io_context &Loop;
  std::string Address;
  core::limits::MemoryAccount *Memory;
  std::unique_ptr<boost::beast::tcp_stream> Stream;
  /// Holds a head, a chunk header or trailers; the bodies are limited by the
  /// calls.
  ReadBuffer Buffer{64 << 10};
  uint64_t Sent = 0;
  uint64_t Received = 0;
};

} // namespace orioletally::drivers::loop

#endif

#ifndef ORIOLETALLY_DRIVERS_RELAY_CALLER_SESSION_H
#define ORIOLETALLY_DRIVERS_RELAY_CALLER_SESSION_H

#include "drivers/relay/call_runner.h"
#include "drivers/relay/relay_context.h"

#include <memory>
#include <optional>

namespace orioletally::drivers::relay {

/// A caller's connection: reads calls one after another within the limits of
/// the configuration, and rejects malformed ones.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(RelayContext &context, asio::ip::tcp::socket socket);

  asio::awaitable<void> run();

  /// Closes the connection unless a call is in progress or has begun to arrive.
  void closeIfIdle();

  /// Ends the call in progress, if there is one.
  void abortCall();

private:
  asio::awaitable<bool> serveOne();
  asio::awaitable<bool> awaitFirstByte(absl::Duration timeout);
  asio::awaitable<std::optional<CallRequest>>
  readRequest(const core::routes::CallerLimits &limits,
              core::limits::MemoryGrant &bodyMemory);
  asio::awaitable<void> reject(boost::system::error_code ec);
  /// Answers the call with the head \p head that there is no memory for it.
  asio::awaitable<void> refuse(const bhttp::request_header<> &head,
                               size_t maxBodyBytes);
  void watchCaller(const std::shared_ptr<CallRunner> &runner);

  RelayContext &Context;
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::weak_ptr<CallRunner> Running;
  /// Whether the connection waits for the next call.
  bool Idle = false;
};

} // namespace orioletally::drivers::relay

#endif

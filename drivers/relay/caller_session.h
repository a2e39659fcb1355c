#ifndef ORIOLETALLY_DRIVERS_RELAY_CALLER_SESSION_H
#define ORIOLETALLY_DRIVERS_RELAY_CALLER_SESSION_H

#include "core/relay/idle_wait.h"
#include "drivers/loop/request_reader.h"
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

  /// Answers the connection's first call with a refusal, because the node has
  /// too many connections, and closes it.
  asio::awaitable<void> refuse();

  /// Closes the connection unless a call is in progress or has begun to arrive.
  void closeIfIdle();

  /// Whether bytes of a request have arrived that no call answers yet.
  bool hasUnansweredRequest();

  /// Ends the call in progress, if there is one, and refuses a call that has
  /// arrived only in part.
  void abortCall();

private:
  asio::awaitable<bool> serveOne();
  /// Returns the limits of the configuration in force.
  core::routes::CallerLimits limits() const;
  asio::awaitable<bool> awaitFirstByte();
  /// Closes the connection when \p wait ends, unless a call arrives first.
  void armIdleTimer(core::relay::IdleWait wait);
  asio::awaitable<std::optional<CallRequest>>
  readRequest(core::limits::MemoryGrant &bodyMemory);
  /// Answers a request that couldn't be read because of \p ec; \p head is what
  /// was read of it.
  asio::awaitable<void> reject(boost::system::error_code ec,
                               const loop::RequestMessage &head);
  /// Writes \p response and closes the connection.
  asio::awaitable<void> writeLast(PlainResponse response);
  /// Answers the call with the head \p head that there is no memory for it.
  asio::awaitable<void> refuseForMemory(const bhttp::request_header<> &head,
                                        size_t maxBodyBytes);
  void watchCaller(const std::shared_ptr<CallRunner> &runner);

  RelayContext &Context;
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::weak_ptr<CallRunner> Running;
  asio::steady_timer IdleTimer;
  /// Whether the connection waits for the next call.
  bool Idle = false;
  /// Whether a request has arrived in part.
  bool IsReading = false;
  /// Whether a call that has arrived only in part is refused.
  bool IsEnding = false;
};

} // namespace orioletally::drivers::relay

#endif

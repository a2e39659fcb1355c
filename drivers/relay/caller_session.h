#ifndef ORIOLETALLY_DRIVERS_RELAY_CALLER_SESSION_H
#define ORIOLETALLY_DRIVERS_RELAY_CALLER_SESSION_H

#include "core/relay/connection_state.h"
#include "core/relay/idle_wait.h"
#include "core/relay/recent_idle_timeout.h"
#include "drivers/loop/request_reader.h"
#include "drivers/relay/call_runner.h"
#include "drivers/relay/relay_context.h"

#include <array>
#include <memory>
#include <optional>

namespace orioletally::drivers::relay {

/// Counts of the connections that the node closed by itself, by CloseReason.
using CloseCounts = std::array<int64_t, core::relay::CloseReasonCount>;

/// State shared by the sessions of a node.
struct SharedSessionState {
  CloseCounts Closes = {};
  core::relay::RecentIdleTimeout IdleTimeout;
};

/// A caller's connection: reads calls one after another within the limits of
/// the configuration, and rejects malformed ones.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(RelayContext &context, asio::ip::tcp::socket socket,
                SharedSessionState &shared);

  asio::awaitable<void> run();

  /// Answers the connection's first call with a refusal, because the node has
  /// too many connections, and closes it.
  asio::awaitable<void> refuse();

  /// Closes the connection if it may be closed because of \p reason.
  void closeIfIdle(core::relay::CloseReason reason);

  /// Whether bytes of a request have arrived that no call answers yet.
  bool hasUnansweredRequest() const;

  /// Whether the process may not end at \p now because of this connection.
  bool keepsNode(absl::Time now) const;

  /// Logs that the process ends while the connection is open.
  void recordProcessEnd();

  /// Ends the call in progress, if there is one, and refuses a call that has
  /// arrived only in part.
  void abortCall();

private:
  asio::awaitable<bool> serveOne();
  /// Returns the limits of the configuration in force.
  core::routes::CallerLimits limits() const;
  asio::awaitable<bool> awaitFirstByte();
  /// Closes the connection after its side of it was shut down.
  asio::awaitable<void> endClosing();
  /// Returns the number of bytes that have arrived and belong to no call yet.
  size_t untakenBytes() const;
  absl::Duration idleTimeout() const;
  void recordClose(size_t unreadBytes);
  /// Closes the connection when \p wait ends, unless a call arrives first.
  void armIdleTimer(core::relay::IdleWait wait);
  asio::awaitable<std::optional<CallRequest>>
  readRequest(loop::RequestMemory &memory);
  /// Answers a request that couldn't be read because of \p ec; \p head is what
  /// was read of it.
  asio::awaitable<void> reject(boost::system::error_code ec,
                               const loop::RequestMessage &head);
  /// Writes \p response and closes the connection.
  asio::awaitable<void> writeLast(PlainResponse response, bhttp::verb method);
  /// Answers the call with the head \p head that there is no memory for it.
  asio::awaitable<void> refuseForMemory(const bhttp::request_header<> &head,
                                        size_t maxBodyBytes);
  void watchCaller(const std::shared_ptr<CallRunner> &runner);

  RelayContext &Context;
  beast::tcp_stream Stream;
  loop::ReadBuffer Buffer;
  std::weak_ptr<CallRunner> Running;
  asio::steady_timer IdleTimer;
  SharedSessionState &Shared;
  core::relay::ConnectionState State;
  core::relay::CloseReason Reason = core::relay::CloseReason::IdleTimeout;
  /// How long the connection was idle when it was closed.
  absl::Duration IdleFor = absl::ZeroDuration();
  /// Whether the connection is one too many.
  bool IsRefused = false;
  /// Whether a call that has arrived only in part is refused.
  bool IsEnding = false;
};

} // namespace orioletally::drivers::relay

#endif

#ifndef ORIOLETALLY_DRIVERS_RELAY_RELAY_SERVER_H
#define ORIOLETALLY_DRIVERS_RELAY_RELAY_SERVER_H

#include "drivers/loop/listener.h"
#include "drivers/relay/caller_session.h"
#include "drivers/relay/relay_context.h"

#include <boost/leaf.hpp>
#include <list>
#include <memory>
#include <string>

namespace orioletally::drivers::relay {

/// Accepts callers' connections.
class RelayServer {
public:
  explicit RelayServer(RelayContext &context) : Context(context) {}

  /// Listens for callers on \p address ("ip:port") and refuses the calls of
  /// new connections while \p maxSessions are open. Fails with
  /// loop::ListenError.
  boost::leaf::result<void> listenForCalls(const std::string &address,
                                           size_t maxSessions);

  /// Closes connections without a call in progress, so that callers open their
  /// next one to another node.
  void closeIdle();

  /// Ends the calls in progress and those that are being read, because the
  /// process is about to exit: those whose answer hasn't begun get an error.
  void abortCalls();

  /// Returns how many connections have received bytes of a request that no call
  /// answers yet.
  size_t unansweredRequests() const;

  /// Stops accepting connections; open ones stay.
  void stopAccepting();

private:
  asio::awaitable<void> refuseCall(std::shared_ptr<CallerSession> session);
  asio::awaitable<void> serveCalls(std::shared_ptr<CallerSession> session);

  RelayContext &Context;
  std::shared_ptr<loop::Listener> Listener;
  std::list<std::shared_ptr<CallerSession>> Sessions;
  /// Connections beyond the limit that are being refused.
  size_t Refusals = 0;
};

} // namespace orioletally::drivers::relay

#endif

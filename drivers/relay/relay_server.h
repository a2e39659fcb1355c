#ifndef ORIOLETALLY_DRIVERS_RELAY_RELAY_SERVER_H
#define ORIOLETALLY_DRIVERS_RELAY_RELAY_SERVER_H

#include "drivers/loop/listener.h"
#include "drivers/relay/caller_session.h"
#include "drivers/relay/relay_context.h"

#include <boost/leaf.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

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

  /// Closes connections on which no call has arrived for a while, so that
  /// callers open their next one to another node.
  void closeIdle();

  /// Ends the calls in progress and those that are being read, because the
  /// process is about to exit: those whose answer hasn't begun get an error.
  void abortCalls();

  /// Returns how many connections have received bytes of a request that no call
  /// answers yet.
  size_t unansweredRequests() const;

  /// Returns how many connections have a call that isn't answered, or a call
  /// that may still arrive, at \p now.
  size_t unfinished(absl::Time now) const;

  /// Records that the process ends and returns how many connections this node
  /// has closed by itself.
  const CloseCounts &recordProcessEnd();

  /// Stops accepting connections; open ones stay.
  void stopAccepting();

private:
  using SessionList = std::list<std::shared_ptr<CallerSession>>;

  void startSession(asio::ip::tcp::socket socket, size_t maxSessions);
  asio::awaitable<void> refuseCall(SessionList::iterator it);
  asio::awaitable<void> serveCalls(SessionList::iterator it);
  /// Returns all sessions; one that ends may leave its list meanwhile.
  std::vector<std::shared_ptr<CallerSession>> all() const;

  RelayContext &Context;
  std::shared_ptr<loop::Listener> Listener;
  SessionList Sessions;
  /// Connections beyond the limit that are being refused.
  SessionList Refusals;
  SharedSessionState Shared;
};

} // namespace orioletally::drivers::relay

#endif

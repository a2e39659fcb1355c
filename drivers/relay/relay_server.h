#ifndef ORIOLETALLY_DRIVERS_RELAY_RELAY_SERVER_H
#define ORIOLETALLY_DRIVERS_RELAY_RELAY_SERVER_H

#include "drivers/relay/caller_session.h"
#include "drivers/relay/relay_context.h"

#include <boost/leaf.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace orioletally::drivers::relay {

/// An address that can't be listened on.
struct RelayListenError {
  std::string Address;
  std::string Reason;
};

/// A GET that a node answers itself, such as whether it is ready.
struct StatusPage {
  std::string Path;
  std::function<bhttp::response<bhttp::string_body>()> Answer;
};

/// Accepts callers' connections, and those that ask for status pages.
class RelayServer {
public:
  explicit RelayServer(RelayContext &wanted) : Context(wanted) {}

  /// Listens for callers on \p address ("ip:port"), and no more of them than
  /// \p maxSessions at once.
  boost::leaf::result<void> listenForCalls(const std::string &address,
                                           size_t maxSessions);

  /// Answers \p pages on \p address.
  boost::leaf::result<void> listenForStatus(const std::string &address,
                                            std::vector<StatusPage> pages);

  /// Takes no new connections of callers.
  void stopAccepting();

private:
  using Acceptor = asio::ip::tcp::acceptor;

  boost::leaf::result<std::shared_ptr<Acceptor>>
  open(const std::string &address);
  asio::awaitable<void> acceptCalls(std::shared_ptr<Acceptor> acceptor,
                                    size_t maxSessions);
  asio::awaitable<void> serveCalls(std::shared_ptr<CallerSession> session);
  asio::awaitable<void>
  acceptStatus(std::shared_ptr<Acceptor> acceptor,
               std::shared_ptr<const std::vector<StatusPage>> pages);
  asio::awaitable<void>
  serveStatus(asio::ip::tcp::socket socket,
              std::shared_ptr<const std::vector<StatusPage>> pages);

  RelayContext &Context;
  std::vector<std::shared_ptr<Acceptor>> CallAcceptors;
  std::list<std::shared_ptr<CallerSession>> Sessions;
};

} // namespace orioletally::drivers::relay

#endif

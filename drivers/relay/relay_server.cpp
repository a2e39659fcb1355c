#include "drivers/relay/relay_server.h"

#include "drivers/log/log.h"

#include <algorithm>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::relay {

leaf::result<void> RelayServer::listenForCalls(const std::string &address,
                                               size_t maxSessions) {
  BOOST_LEAF_ASSIGN(Listener, loop::Listener::open(Context.Loop, address));
  Listener->start([this, maxSessions](asio::ip::tcp::socket socket) {
    if (Sessions.size() >= maxSessions) {
      log::write(log::Level::Warn, "connection_refused",
                 {{"connections", Sessions.size()}});
      return;
    }
    asio::co_spawn(
        Context.Loop,
        serveCalls(std::make_shared<CallerSession>(Context, std::move(socket))),
        asio::detached);
  });
  return {};
}

void RelayServer::closeIdle() {
  for (const std::shared_ptr<CallerSession> &it : Sessions)
    it->closeIfIdle();
}

void RelayServer::abortCalls() {
  // A call that ends may remove its session from the list.
  const std::list<std::shared_ptr<CallerSession>> sessions = Sessions;
  for (const std::shared_ptr<CallerSession> &it : sessions)
    it->abortCall();
}

size_t RelayServer::unansweredRequests() const {
  return static_cast<size_t>(
      std::count_if(Sessions.begin(), Sessions.end(),
                    [](const auto &it) { return it->hasUnansweredRequest(); }));
}

void RelayServer::stopAccepting() {
  if (Listener != nullptr)
    Listener->close();
}

asio::awaitable<void>
RelayServer::serveCalls(std::shared_ptr<CallerSession> session) {
  const auto it = Sessions.insert(Sessions.end(), session);
  co_await session->run();
  Sessions.erase(it);
}

} // namespace orioletally::drivers::relay

#include "drivers/relay/relay_server.h"

#include "drivers/log/log.h"

#include <algorithm>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::relay {

namespace {
/// Connections beyond the limit that are answered with a refusal at the same
/// time; any others are closed.
constexpr size_t MaxRefusals = 64;
} // namespace

leaf::result<void> RelayServer::listenForCalls(const std::string &address,
                                               size_t maxSessions) {
  BOOST_LEAF_ASSIGN(Listener, loop::Listener::open(Context.Loop, address));
  Listener->start([this, maxSessions](asio::ip::tcp::socket socket) {
    const bool isFull = Sessions.size() >= maxSessions;
    if (isFull)
      log::write(log::Level::Warn, "connection_refused",
                 {{"connections", Sessions.size()}});
    if (isFull && Refusals >= MaxRefusals)
      return;
    auto session = std::make_shared<CallerSession>(Context, std::move(socket));
    asio::co_spawn(Context.Loop,
                   isFull ? refuseCall(std::move(session))
                          : serveCalls(std::move(session)),
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
RelayServer::refuseCall(std::shared_ptr<CallerSession> session) {
  ++Refusals;
  co_await session->refuse();
  --Refusals;
}

asio::awaitable<void>
RelayServer::serveCalls(std::shared_ptr<CallerSession> session) {
  const auto it = Sessions.insert(Sessions.end(), session);
  co_await session->run();
  Sessions.erase(it);
}

} // namespace orioletally::drivers::relay

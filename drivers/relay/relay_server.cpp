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
    startSession(std::move(socket), maxSessions);
  });
  return {};
}

void RelayServer::startSession(asio::ip::tcp::socket socket,
                               size_t maxSessions) {
  const bool isFull = Sessions.size() >= maxSessions;
  if (isFull)
    log::write(log::Level::Warn, "connection_refused",
               {{"connections", Sessions.size()}});
  if (isFull && Refusals.size() >= MaxRefusals) {
    ++Shared.Closes[static_cast<size_t>(core::relay::CloseReason::TooMany)];
    return;
  }
  auto session =
      std::make_shared<CallerSession>(Context, std::move(socket), Shared);
  SessionList &list = isFull ? Refusals : Sessions;
  const auto it = list.insert(list.end(), std::move(session));
  asio::co_spawn(Context.Loop, isFull ? refuseCall(it) : serveCalls(it),
                 asio::detached);
}

std::vector<std::shared_ptr<CallerSession>> RelayServer::all() const {
  std::vector<std::shared_ptr<CallerSession>> result(Sessions.begin(),
                                                     Sessions.end());
  result.insert(result.end(), Refusals.begin(), Refusals.end());
  return result;
}

void RelayServer::closeIdle() {
  for (const std::shared_ptr<CallerSession> &it : all())
    it->closeIfIdle(core::relay::CloseReason::Shutdown);
}

void RelayServer::abortCalls() {
  for (const std::shared_ptr<CallerSession> &it : all())
    it->abortCall();
}

size_t RelayServer::unansweredRequests() const {
  const auto sessions = all();
  return static_cast<size_t>(
      std::count_if(sessions.begin(), sessions.end(),
                    [](const auto &it) { return it->hasUnansweredRequest(); }));
}

size_t RelayServer::unfinished(absl::Time now) const {
  const auto sessions = all();
  return static_cast<size_t>(
      std::count_if(sessions.begin(), sessions.end(),
                    [now](const auto &it) { return it->keepsNode(now); }));
}

const CloseCounts &RelayServer::recordProcessEnd() {
  for (const std::shared_ptr<CallerSession> &it : all())
    it->recordProcessEnd();
  return Shared.Closes;
}

void RelayServer::stopAccepting() {
  if (Listener != nullptr)
    Listener->close();
}

asio::awaitable<void> RelayServer::refuseCall(SessionList::iterator it) {
  const std::shared_ptr<CallerSession> session = *it;
  co_await session->refuse();
  Refusals.erase(it);
}

asio::awaitable<void> RelayServer::serveCalls(SessionList::iterator it) {
  const std::shared_ptr<CallerSession> session = *it;
  co_await session->run();
  Sessions.erase(it);
}

} // namespace orioletally::drivers::relay

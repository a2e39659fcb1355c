#include "drivers/relay/relay_server.h"

#include "drivers/log/log.h"
#include "drivers/loop/endpoint.h"
#include "drivers/relay/message_parts.h"

#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::relay {

namespace {

using loop::AsTuple;

/// New connections that wait to be accepted; the opening packet of one beyond
/// that is sent again after a second.
constexpr int Backlog = 4096;
/// Pause after a failed accept, which mostly means no free descriptors.
constexpr auto AcceptPause = std::chrono::milliseconds(20);
constexpr auto StatusBound = std::chrono::seconds(5);

} // namespace

leaf::result<std::shared_ptr<RelayServer::Acceptor>>
RelayServer::open(const std::string &address) {
  const auto endpoint = loop::parseEndpoint(address);
  if (!endpoint.has_value())
    return leaf::new_error(RelayListenError{address, "not an ip:port"});
  auto acceptor = std::make_shared<Acceptor>(Context.Loop);
  boost::system::error_code ec;
  acceptor->open(endpoint->protocol(), ec);
  if (!ec)
    acceptor->set_option(Acceptor::reuse_address(true), ec);
  if (!ec)
    acceptor->bind(*endpoint, ec);
  if (!ec)
    acceptor->listen(Backlog, ec);
  if (ec)
    return leaf::new_error(RelayListenError{address, ec.message()});
  return acceptor;
}

leaf::result<void> RelayServer::listenForCalls(const std::string &address,
                                               size_t maxSessions) {
  BOOST_LEAF_AUTO(acceptor, open(address));
  CallAcceptors.push_back(acceptor);
  asio::co_spawn(Context.Loop, acceptCalls(acceptor, maxSessions),
                 asio::detached);
  return {};
}

leaf::result<void> RelayServer::listenForStatus(const std::string &address,
                                                std::vector<StatusPage> pages) {
  BOOST_LEAF_AUTO(acceptor, open(address));
  asio::co_spawn(
      Context.Loop,
      acceptStatus(acceptor, std::make_shared<const std::vector<StatusPage>>(
                                 std::move(pages))),
      asio::detached);
  return {};
}

void RelayServer::stopAccepting() {
  boost::system::error_code ignored;
  for (const std::shared_ptr<Acceptor> &it : CallAcceptors)
    it->close(ignored);
}

asio::awaitable<void>
RelayServer::acceptCalls(std::shared_ptr<Acceptor> acceptor,
                         size_t maxSessions) {
  asio::steady_timer pause(Context.Loop);
  while (acceptor->is_open()) {
    auto [ec, socket] = co_await acceptor->async_accept(AsTuple);
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec) {
      log::write(log::Level::Warn, "accept_failed", {{"reason", ec.message()}});
      pause.expires_after(AcceptPause);
      co_await pause.async_wait(AsTuple);
      continue;
    }
    if (Sessions.size() >= maxSessions) {
      log::write(log::Level::Warn, "connection_refused",
                 {{"connections", Sessions.size()}});
      continue;
    }
    asio::co_spawn(
        Context.Loop,
        serveCalls(std::make_shared<CallerSession>(Context, std::move(socket))),
        asio::detached);
  }
}

asio::awaitable<void>
RelayServer::serveCalls(std::shared_ptr<CallerSession> session) {
  const auto it = Sessions.insert(Sessions.end(), session);
  co_await session->run();
  Sessions.erase(it);
}

asio::awaitable<void> RelayServer::acceptStatus(
    std::shared_ptr<Acceptor> acceptor,
    std::shared_ptr<const std::vector<StatusPage>> pages) {
  while (acceptor->is_open()) {
    auto [ec, socket] = co_await acceptor->async_accept(AsTuple);
    if (ec == asio::error::operation_aborted)
      co_return;
    if (!ec)
      asio::co_spawn(Context.Loop, serveStatus(std::move(socket), pages),
                     asio::detached);
  }
}

asio::awaitable<void>
RelayServer::serveStatus(asio::ip::tcp::socket socket,
                         std::shared_ptr<const std::vector<StatusPage>> pages) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  for (;;) {
    bhttp::request<bhttp::empty_body> request;
    stream.expires_after(StatusBound);
    const auto [readError, read] =
        co_await bhttp::async_read(stream, buffer, request, AsTuple);
    if (readError)
      co_return;
    bhttp::response<bhttp::string_body> response(bhttp::status::not_found, 11);
    for (const StatusPage &it : *pages)
      if (view(request.target()) == it.Path)
        response = it.Answer();
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    const auto [writeError, written] =
        co_await bhttp::async_write(stream, response, AsTuple);
    if (writeError || !request.keep_alive())
      co_return;
  }
}

} // namespace orioletally::drivers::relay

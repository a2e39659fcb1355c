#include "drivers/http/http_server.h"

#include "drivers/http/http_session.h"
#include "drivers/log/log.h"

#include <fmt/format.h>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::http {

HttpServer::HttpServer(asio::io_context &loop, HttpServerSettings settings)
    : Loop(loop), Shared(std::make_shared<SharedState>()) {
  Shared->Settings = std::move(settings);
}

HttpServer::~HttpServer() = default;

leaf::result<void> HttpServer::start() {
  BOOST_LEAF_ASSIGN(
      Listener,
      loop::Listener::open(Loop, fmt::format("{}:{}", Shared->Settings.Address,
                                             Shared->Settings.Port)));
  Port = Listener->port();
  Listener->start([this](asio::ip::tcp::socket socket) {
    startSession(std::move(socket));
  });
  return {};
}

void HttpServer::startSession(asio::ip::tcp::socket socket) {
  const size_t limit = Shared->Settings.MaxConnections;
  if (Shared->OpenConnections >= 2 * limit) {
    log::write(log::Level::Warn, "connection_refused",
               {{"connections", Shared->OpenConnections}});
    return;
  }
  const bool isSingleRequest = Shared->OpenConnections >= limit;
  auto session =
      std::make_shared<HttpSession>(Shared, std::move(socket), isSingleRequest);
  ++Shared->OpenConnections;
  const auto serve =
      [](std::shared_ptr<SharedState> state,
         std::shared_ptr<HttpSession> served) -> asio::awaitable<void> {
    const auto it = state->Sessions.insert(state->Sessions.end(), served);
    co_await served->run();
    state->Sessions.erase(it);
    --state->OpenConnections;
  };
  asio::co_spawn(Loop, serve(Shared, std::move(session)), asio::detached);
}

void HttpServer::close() {
  Shared->Closing = true;
  if (Listener != nullptr)
    Listener->close();
  for (const std::weak_ptr<HttpSession> &it : Shared->Sessions)
    if (const auto session = it.lock())
      session->closeIfIdle();
}

} // namespace orioletally::drivers::http

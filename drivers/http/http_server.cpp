#include "drivers/http/http_server.h"

#include "drivers/http/http_session.h"
#include "drivers/log/log.h"

#include <fmt/format.h>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::http {

HttpServer::HttpServer(asio::io_context &loop, HttpServerSettings wanted)
    : Loop(loop), Shared(std::make_shared<Part>()) {
  Shared->Wanted = std::move(wanted);
}

HttpServer::~HttpServer() = default;

leaf::result<void> HttpServer::start() {
  BOOST_LEAF_ASSIGN(
      Listener,
      loop::Listener::open(Loop, fmt::format("{}:{}", Shared->Wanted.Address,
                                             Shared->Wanted.Port)));
  Port = Listener->port();
  Listener->start(
      [this](asio::ip::tcp::socket socket) { take(std::move(socket)); });
  return {};
}

void HttpServer::take(asio::ip::tcp::socket socket) {
  const size_t limit = Shared->Wanted.MaxConnections;
  if (Shared->Open >= 2 * limit) {
    log::write(log::Level::Warn, "connection_refused",
               {{"connections", Shared->Open}});
    return;
  }
  const bool isLast = Shared->Open >= limit;
  auto session =
      std::make_shared<HttpSession>(Shared, std::move(socket), isLast);
  ++Shared->Open;
  const auto serve =
      [](std::shared_ptr<Part> part,
         std::shared_ptr<HttpSession> served) -> asio::awaitable<void> {
    const auto it = part->Sessions.insert(part->Sessions.end(), served);
    co_await served->run();
    part->Sessions.erase(it);
    --part->Open;
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

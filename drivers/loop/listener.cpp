#include "drivers/loop/listener.h"

#include "drivers/log/log.h"
#include "drivers/loop/endpoint.h"

#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::loop {

namespace {

/// Connections that may wait to be accepted; beyond this, a client's SYN is
/// dropped and retransmitted after a second.
constexpr int Backlog = 4096;
/// Delay after a failed accept, usually for lack of file descriptors.
constexpr auto AcceptPause = std::chrono::milliseconds(20);

} // namespace

leaf::result<std::shared_ptr<Listener>>
Listener::open(asio::io_context &loop, const std::string &address) {
  const auto endpoint = parseEndpoint(address);
  if (!endpoint.has_value())
    return leaf::new_error(ListenError{address, "not an ip:port"});
  auto listener = std::make_shared<Listener>(loop);
  asio::ip::tcp::acceptor &acceptor = listener->Acceptor;
  boost::system::error_code ec;
  acceptor.open(endpoint->protocol(), ec);
  if (!ec)
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    acceptor.bind(*endpoint, ec);
  if (!ec)
    acceptor.listen(Backlog, ec);
  if (ec)
    return leaf::new_error(ListenError{address, ec.message()});
  return listener;
}

void Listener::start(ConnectionHandler handler) {
  asio::co_spawn(Acceptor.get_executor(),
                 accept(shared_from_this(), std::move(handler)),
                 asio::detached);
}

void Listener::close() {
  boost::system::error_code ignored;
  Acceptor.close(ignored);
}

int Listener::port() const {
  boost::system::error_code ec;
  const auto endpoint = Acceptor.local_endpoint(ec);
  return ec ? 0 : endpoint.port();
}

asio::awaitable<void>
Listener::accept([[maybe_unused]] std::shared_ptr<Listener> self,
                 ConnectionHandler handler) {
  asio::steady_timer pause(Acceptor.get_executor());
  while (Acceptor.is_open()) {
    auto [ec, socket] = co_await Acceptor.async_accept(AsTuple);
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      log::write(log::Level::Warn, "accept_failed", {{"reason", ec.message()}});
      pause.expires_after(AcceptPause);
      co_await pause.async_wait(AsTuple);
      continue;
    }
    handler(std::move(socket));
  }
}

} // namespace orioletally::drivers::loop

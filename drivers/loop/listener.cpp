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
/// Connections accepted in one turn of the event loop.
constexpr int AcceptsPerTurn = 64;
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
  if (!ec)
    acceptor.non_blocking(true, ec);
  // Without this, accept() blocks after a connection that its peer aborted.
  if (!ec)
    acceptor.set_option(asio::socket_base::enable_connection_aborted(true), ec);
  if (ec)
    return leaf::new_error(ListenError{address, ec.message()});
  return listener;
}

void Listener::start(ConnectionHandler handler) {
  Handler = std::move(handler);
  asio::co_spawn(Acceptor.get_executor(), accept(shared_from_this()),
                 asio::detached);
}

void Listener::close() {
  boost::system::error_code ec;
  if (Acceptor.is_open() && Handler)
    ec = acceptWaiting(Backlog);
  if (ec)
    log::write(log::Level::Warn, "accept_failed", {{"reason", ec.message()}});
  boost::system::error_code ignored;
  Acceptor.close(ignored);
}

int Listener::port() const {
  boost::system::error_code ec;
  const auto endpoint = Acceptor.local_endpoint(ec);
  return ec ? 0 : endpoint.port();
}

boost::system::error_code Listener::acceptWaiting(int max) {
  for (int n = 0; n < max; ++n) {
    asio::ip::tcp::socket socket(Acceptor.get_executor());
    boost::system::error_code ec;
    Acceptor.accept(socket, ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again)
      return {};
    if (ec == asio::error::connection_aborted)
      continue;
    if (ec)
      return ec;
    Handler(std::move(socket));
  }
  return {};
}

asio::awaitable<void>
Listener::accept([[maybe_unused]] std::shared_ptr<Listener> self) {
  asio::steady_timer pause(Acceptor.get_executor());
  while (Acceptor.is_open()) {
    const auto [waitError] = co_await Acceptor.async_wait(
        asio::ip::tcp::acceptor::wait_read, AsTuple);
    if (waitError == asio::error::operation_aborted || !Acceptor.is_open()) {
      co_return;
    }
    const boost::system::error_code ec =
        waitError ? waitError : acceptWaiting(AcceptsPerTurn);
    if (ec) {
      log::write(log::Level::Warn, "accept_failed", {{"reason", ec.message()}});
      pause.expires_after(AcceptPause);
      co_await pause.async_wait(AsTuple);
    }
  }
}

} // namespace orioletally::drivers::loop

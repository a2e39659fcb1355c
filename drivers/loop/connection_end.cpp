#include "drivers/loop/connection_end.h"

#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace orioletally::drivers::loop {

namespace {

constexpr size_t ReadBytes = 16 << 10;

} // namespace

bool isPeerGone(asio::ip::tcp::socket &socket) {
  char c = 0;
  const ssize_t n =
      ::recv(socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void watchPeer(asio::ip::tcp::socket &socket, std::function<void()> onGone) {
  socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [&socket, onGone = std::move(onGone)](boost::system::error_code ec) {
        if (!ec && isPeerGone(socket))
          onGone();
      });
}

asio::awaitable<void> lingeringClose(beast::tcp_stream &stream,
                                     beast::flat_buffer &buffer,
                                     size_t maxBytes,
                                     std::chrono::nanoseconds timeout) {
  boost::system::error_code ignored;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  stream.expires_after(timeout);
  for (size_t total = 0; total < maxBytes;) {
    buffer.clear();
    const auto [ec, n] =
        co_await stream.async_read_some(buffer.prepare(ReadBytes), AsTuple);
    if (ec) {
      break;
    }
    total += n;
  }
  stream.close();
}

void resetConnection(asio::ip::tcp::socket &socket) {
  // A close without lingering resets the connection; if the option can't be
  // set, the connection is already gone.
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

CancelAfter::CancelAfter(beast::tcp_stream &stream,
                         std::chrono::nanoseconds timeout)
    : Shared(std::make_shared<State>()), Timer(stream.get_executor(), timeout) {
  Shared->Stream = &stream;
  Timer.async_wait([state = Shared](boost::system::error_code ec) {
    if (ec || state->Stream == nullptr)
      return;
    state->Expired = true;
    state->Stream->cancel();
  });
}

CancelAfter::~CancelAfter() {
  Shared->Stream = nullptr;
  Timer.cancel();
}

} // namespace orioletally::drivers::loop

#include "drivers/loop/connection_end.h"

#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <poll.h>
#include <stdexcept>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace orioletally::drivers::loop {

namespace {

constexpr size_t DiscardBytes = 16 << 10;
/// Interval between two cancellations after a timeout.
constexpr auto CancelInterval = std::chrono::milliseconds(50);
/// Interval between two looks whether a peer that has sent bytes has closed.
constexpr auto PeerPollInterval = std::chrono::milliseconds(20);

/// Whether the peer has closed its side, also if bytes before that are unread.
bool hasPeerClosed(asio::ip::tcp::socket &socket) {
  pollfd it{socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&it, 1, 0) != 0;
}

} // namespace

bool isPeerGone(asio::ip::tcp::socket &socket) {
  char c = 0;
  const ssize_t n =
      ::recv(socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool isOpenAndIdle(asio::ip::tcp::socket &socket) {
  char c = 0;
  const ssize_t n =
      ::recv(socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool hasClosedInOrder(asio::ip::tcp::socket &socket) {
  int error = 0;
  socklen_t size = sizeof(error);
  if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error,
                   &size) != 0 ||
      error != 0)
    return false;
  // Bytes that the peer hasn't acknowledged; its answer acknowledges all that
  // it had received. Where the system doesn't count them, none are assumed.
  int pending = 0;
  return ::ioctl(socket.native_handle(), SIOCOUTQ, &pending) != 0 ||
         pending == 0;
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
                                     ReadBuffer &buffer, size_t maxBytes,
                                     std::chrono::nanoseconds timeout) {
  boost::system::error_code ignored;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  stream.expires_after(timeout);
  buffer.clear();
  buffer.releaseIfEmpty();
  // What is discarded needs no memory of the connection's own.
  static thread_local std::array<char, DiscardBytes> discarded;
  for (size_t total = 0; total < maxBytes;) {
    const auto [ec, n] =
        co_await stream.async_read_some(asio::buffer(discarded), AsTuple);
    if (ec) {
      break;
    }
    total += n;
  }
  stream.close();
}

boost::system::error_code takeBytes(asio::ip::tcp::socket &socket,
                                    ReadBuffer &buffer, size_t maxBytes) {
  try {
    boost::system::error_code ec;
    const size_t n = socket.read_some(buffer.prepare(maxBytes), ec);
    buffer.commit(n);
    return ec;
  } catch (const std::length_error &) {
    return make_error_code(boost::system::errc::not_enough_memory);
  }
}

asio::awaitable<size_t> closeAfterPeer(beast::tcp_stream &stream,
                                       std::chrono::nanoseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  asio::ip::tcp::socket &socket = stream.socket();
  {
    const CancelAfter limit(stream, timeout);
    co_await socket.async_wait(asio::ip::tcp::socket::wait_read, AsTuple);
  }
  asio::steady_timer pause(stream.get_executor());
  while (socket.is_open() && std::chrono::steady_clock::now() < end &&
         !hasPeerClosed(socket)) {
    pause.expires_after(PeerPollInterval);
    co_await pause.async_wait(AsTuple);
  }
  boost::system::error_code ec;
  const size_t n = socket.available(ec);
  stream.close();
  co_return n;
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
  arm();
}

void CancelAfter::arm() {
  // Once Stream is null, this object is gone.
  Timer.async_wait([this, state = Shared](boost::system::error_code ec) {
    if (ec || state->Stream == nullptr)
      return;
    state->Expired = true;
    state->Stream->cancel();
    Timer.expires_after(CancelInterval);
    arm();
  });
}

CancelAfter::~CancelAfter() {
  Shared->Stream = nullptr;
  Timer.cancel();
}

} // namespace orioletally::drivers::loop

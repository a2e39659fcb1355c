#include "drivers/loop/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>

namespace asio = boost::asio;

namespace orioletally::drivers::loop {

namespace {

/// A connection fails when sent bytes stay unacknowledged for this long: half
/// of the shortest time that a caller of a stream waits.
constexpr int AckTimeoutMs = 1000;
/// Keep-alive probes detect a dead idle connection within two seconds.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 1;

void setOption(asio::ip::tcp::socket &socket, int level, int name, int value) {
  // Without an option, detection is only slower: the call's timeouts still
  // apply.
  [[maybe_unused]] const int ec =
      ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

} // namespace

std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  boost::system::error_code ec;
  const auto ip =
      asio::ip::make_address(std::string(address.substr(0, colon)), ec);
  if (ec)
    return std::nullopt;
  const std::string_view digits = address.substr(colon + 1);
  uint16_t port = 0;
  const char *const end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return asio::ip::tcp::endpoint(ip, port);
}

void tuneSocket(asio::ip::tcp::socket &socket) {
  setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, AckTimeoutMs);
  setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

} // namespace orioletally::drivers::loop

#include "tests/lab/socket_stream.h"

#include "drivers/clock/clock.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace orioletally::lab {

namespace {

thread_local SocketStream *ServedConnection = nullptr;

constexpr int MaxPollMs = 1000;
constexpr size_t ReadBuffer = 16384;

using AddressGetter = int (*)(int, sockaddr *, socklen_t *);

void formatAddress(int fd, AddressGetter getter, std::string &ip, int &port) {
  sockaddr_in address{};
  socklen_t n = sizeof(address);
  if (getter(fd, reinterpret_cast<sockaddr *>(&address), &n) != 0 ||
      address.sin_family != AF_INET)
    return;
  std::array<char, INET_ADDRSTRLEN> buf{};
  inet_ntop(AF_INET, &address.sin_addr, buf.data(), buf.size());
  ip = buf.data();
  port = ntohs(address.sin_port);
}

} // namespace

SocketStream::SocketStream(int fd, absl::Duration writeTimeout)
    : Fd(fd), WriteTimeout(writeTimeout) {}

bool SocketStream::waitFor(short events, absl::Time deadline) const {
  while (true) {
    const absl::Duration left = deadline - drivers::clock::steadyNow();
    if (left <= absl::ZeroDuration())
      return false;
    const auto ms =
        std::min<int64_t>(MaxPollMs, absl::ToInt64Milliseconds(left) + 1);
    pollfd entry{Fd, events, 0};
    const int n = ::poll(&entry, 1, static_cast<int>(ms));
    if (n > 0)
      return true;
    if (n < 0 && errno != EINTR)
      return false;
  }
}

bool SocketStream::is_readable() const {
  return BufferNext < Buffer.size() || waitFor(POLLIN, ReadDeadline);
}

bool SocketStream::is_writable() const {
  return waitFor(POLLOUT, drivers::clock::steadyNow() + WriteTimeout) &&
         !isPeerGone();
}

ssize_t SocketStream::read(char *ptr, size_t size) {
  if (BufferNext == Buffer.size()) {
    const ssize_t n = fillBuffer();
    if (n <= 0)
      return n;
  }
  const size_t n = std::min(size, Buffer.size() - BufferNext);
  std::memcpy(ptr, Buffer.data() + BufferNext, n);
  BufferNext += n;
  return static_cast<ssize_t>(n);
}

ssize_t SocketStream::fillBuffer() {
  if (!waitFor(POLLIN, ReadDeadline)) {
    TimedOut = true;
    return -1;
  }
  Buffer.resize(ReadBuffer);
  const ssize_t n = ::recv(Fd, Buffer.data(), Buffer.size(), 0);
  Buffer.resize(static_cast<size_t>(std::max<ssize_t>(0, n)));
  BufferNext = 0;
  return n;
}

ssize_t SocketStream::write(const char *ptr, size_t size) {
  // A slow caller must not block the thread for longer than WriteTimeout.
  const absl::Time deadline = drivers::clock::steadyNow() + WriteTimeout;
  while (true) {
    const ssize_t n = ::send(Fd, ptr, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    const bool isFull = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (!isFull || !waitFor(POLLOUT, deadline))
      return n;
  }
}

void SocketStream::get_remote_ip_and_port(std::string &ip, int &port) const {
  formatAddress(Fd, ::getpeername, ip, port);
}

void SocketStream::get_local_ip_and_port(std::string &ip, int &port) const {
  formatAddress(Fd, ::getsockname, ip, port);
}

bool SocketStream::isPeerGone() const {
  pollfd entry{Fd, POLLRDHUP, 0};
  if (::poll(&entry, 1, 0) <= 0)
    return false;
  return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

SocketStream *currentConnection() { return ServedConnection; }

CurrentConnectionScope::CurrentConnectionScope(SocketStream &stream) {
  ServedConnection = &stream;
}

CurrentConnectionScope::~CurrentConnectionScope() {
  ServedConnection = nullptr;
}

} // namespace orioletally::lab

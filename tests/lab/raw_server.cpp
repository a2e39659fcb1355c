#include "tests/lab/raw_server.h"

#include <absl/strings/ascii.h>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace orioletally::lab {

namespace {

constexpr int Backlog = 256;
constexpr size_t ReadBytes = 16 << 10;
constexpr int SmallBuffer = 8 << 10;

sockaddr_in loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

RawRequest parseHead(const std::string &head) {
  RawRequest request;
  size_t from = head.find("\r\n");
  const std::string line = head.substr(0, from);
  const size_t first = line.find(' ');
  const size_t second = line.find(' ', first + 1);
  request.Method = line.substr(0, first);
  request.Target = line.substr(first + 1, second - first - 1);
  while (from + 2 < head.size()) {
    const size_t to = head.find("\r\n", from + 2);
    const std::string header = head.substr(from + 2, to - from - 2);
    const size_t colon = header.find(':');
    if (colon != std::string::npos) {
      std::string name = header.substr(0, colon);
      absl::AsciiStrToLower(&name);
      std::string value = header.substr(colon + 1);
      absl::StripAsciiWhitespace(&value);
      request.Headers[name] = value;
    }
    from = to;
  }
  return request;
}

} // namespace

std::string RawRequest::header(const std::string &name) const {
  const auto found = Headers.find(name);
  return found == Headers.end() ? std::string() : found->second;
}

RawConnection::~RawConnection() { ::close(Fd); }

std::optional<RawRequest> RawConnection::read(RequestPart part) {
  std::string buf(ReadBytes, '\0');
  size_t end = Buffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    const ssize_t n = ::recv(Fd, buf.data(), buf.size(), 0);
    if (n <= 0)
      return std::nullopt;
    Buffer.append(buf.data(), static_cast<size_t>(n));
    end = Buffer.find("\r\n\r\n");
  }
  RawRequest request = parseHead(Buffer.substr(0, end + 2));
  Buffer.erase(0, end + 4);
  if (part == RequestPart::Head)
    return request;
  const size_t length =
      std::strtoul(request.header("content-length").c_str(), nullptr, 10);
  while (Buffer.size() < length) {
    const ssize_t n = ::recv(Fd, buf.data(), buf.size(), 0);
    if (n <= 0)
      return std::nullopt;
    Buffer.append(buf.data(), static_cast<size_t>(n));
  }
  request.Body = Buffer.substr(0, length);
  Buffer.erase(0, length);
  return request;
}

void RawConnection::write(const std::string &bytes) const {
  size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n =
        ::send(Fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return;
    done += static_cast<size_t>(n);
  }
}

std::string RawConnection::receive(int ms) const {
  pollfd it{Fd, POLLIN, 0};
  if (::poll(&it, 1, ms) != 1)
    return "";
  std::string buf(ReadBytes, '\0');
  const ssize_t n = ::recv(Fd, buf.data(), buf.size(), 0);
  buf.resize(n > 0 ? static_cast<size_t>(n) : 0);
  return buf;
}

std::string RawConnection::receiveAll(int ms) const {
  std::string all;
  for (std::string next = receive(ms); !next.empty(); next = receive(ms))
    all += next;
  return all;
}

bool RawConnection::closesWithin(int ms) const {
  pollfd it{Fd, POLLIN, 0};
  if (::poll(&it, 1, ms) != 1)
    return false;
  char c = 0;
  return ::recv(Fd, &c, 1, MSG_PEEK) <= 0;
}

bool RawConnection::isResetWithin(int ms, std::string &received) const {
  std::string buf(ReadBytes, '\0');
  for (;;) {
    pollfd it{Fd, POLLIN, 0};
    if (::poll(&it, 1, ms) != 1)
      return false;
    const ssize_t n = ::recv(Fd, buf.data(), buf.size(), 0);
    if (n <= 0)
      return n < 0 && errno == ECONNRESET;
    received.append(buf.data(), static_cast<size_t>(n));
  }
}

void RawConnection::reset() const {
  const linger now{1, 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

void RawConnection::shutdown() const { ::shutdown(Fd, SHUT_RDWR); }

void RawConnection::shutdownSending() const { ::shutdown(Fd, SHUT_WR); }

RawServer::RawServer(Handler handler, RequestPart part)
    : Handle(std::move(handler)), Part(part) {
  Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  // Accepted connections inherit the size of the buffer.
  if (part == RequestPart::Head)
    ::setsockopt(Listener, SOL_SOCKET, SO_RCVBUF, &SmallBuffer,
                 sizeof(SmallBuffer));
  sockaddr_in address = loopback(0);
  ::bind(Listener, reinterpret_cast<sockaddr *>(&address), sizeof(address));
  ::listen(Listener, Backlog);
  socklen_t n = sizeof(address);
  ::getsockname(Listener, reinterpret_cast<sockaddr *>(&address), &n);
  Address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  Acceptor = std::thread([this] { accept(); });
}

RawServer::~RawServer() {
  Stopping = true;
  ::shutdown(Listener, SHUT_RDWR);
  Acceptor.join();
  ::close(Listener);
  {
    const std::lock_guard lock(Guard);
    for (const std::shared_ptr<RawConnection> &it : Connections)
      it->shutdown();
  }
  for (std::thread &it : Threads)
    it.join();
}

void RawServer::accept() {
  while (!Stopping) {
    const int fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    auto connection = std::make_shared<RawConnection>(fd);
    const std::lock_guard lock(Guard);
    Connections.push_back(connection);
    Threads.emplace_back([this, connection] { serve(connection); });
  }
}

void RawServer::serve(const std::shared_ptr<RawConnection> &connection) {
  while (const std::optional<RawRequest> request = connection->read(Part))
    if (!Handle(*request, *connection))
      break;
  const std::lock_guard lock(Guard);
  Connections.remove(connection);
}

std::unique_ptr<RawConnection> connectTo(const std::string &address) {
  const auto port = static_cast<uint16_t>(
      std::atoi(address.substr(address.rfind(':') + 1).c_str()));
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to = loopback(port);
  auto connection = std::make_unique<RawConnection>(fd);
  if (::connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof(to)) != 0)
    return nullptr;
  return connection;
}

} // namespace orioletally::lab

#include "tests/lab/threaded_server.h"

#include "drivers/clock/clock.h"
#include "tests/lab/socket_stream.h"

#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace leaf = boost::leaf;

namespace orioletally::lab {

namespace {

constexpr int ListenBacklog = 1024;
constexpr int IdlePollMs = 100;

thread_local ConnectionClass CurrentClass = ConnectionClass::KeepAlive;

void requireExclusivePort(socket_t sock) {
  // SO_REUSEPORT, the library's default, would let a second process bind the
  // port without an error and take half of the connections.
  const int yes = 1;
  setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

} // namespace

ConnectionThreads::ConnectionThreads(size_t limit) : Limit(limit) {}

ConnectionClass ConnectionThreads::connectionClass() { return CurrentClass; }

ConnectionClass ConnectionThreads::addConnection() {
  const std::lock_guard lock(Guard);
  ++Running;
  if (Running <= Limit)
    return ConnectionClass::KeepAlive;
  return Running <= 2 * Limit ? ConnectionClass::OneRequest
                              : ConnectionClass::Closed;
}

void ConnectionThreads::removeConnection() {
  const std::lock_guard lock(Guard);
  --Running;
  Ended.notify_all();
}

void ConnectionThreads::enqueue(std::function<void()> fn) {
  const ConnectionClass assigned = addConnection();
  if (assigned == ConnectionClass::Closed) {
    CurrentClass = assigned;
    fn();
    removeConnection();
    return;
  }
  std::thread([this, fn = std::move(fn), assigned] {
    CurrentClass = assigned;
    fn();
    removeConnection();
  }).detach();
}

void ConnectionThreads::shutdown() {
  std::unique_lock lock(Guard);
  Ended.wait(lock, [this] { return Running == 0; });
}

ThreadedServer::ThreadedServer(
    const drivers::http::HttpServerSettings &settings)
    : Settings(settings) {
  set_socket_options(requireExclusivePort);
  set_tcp_nodelay(true);
  set_payload_max_length(Settings.MaxBodyBytes);
  new_task_queue = [this] {
    return new ConnectionThreads(Settings.MaxConnections);
  };
}

ThreadedServer::~ThreadedServer() { stop(); }

leaf::result<void> ThreadedServer::start() {
  const std::string where =
      fmt::format("{}:{}", Settings.Address, Settings.Port);
  if (Settings.Port == 0)
    Port = bind_to_any_port(Settings.Address);
  else
    Port = bind_to_port(Settings.Address, Settings.Port) ? Settings.Port : -1;
  if (Port <= 0)
    return leaf::new_error(
        drivers::loop::ListenError{where, std::strerror(errno)});
  ::listen(svr_sock_, ListenBacklog);
  Acceptor = std::thread([this] { listen_after_bind(); });
  while (!is_running())
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  return {};
}

void ThreadedServer::stop() {
  Stopping = true;
  if (!Acceptor.joinable())
    return;
  httplib::Server::stop();
  Acceptor.join();
}

bool ThreadedServer::waitForRequest(const SocketStream &stream) const {
  if (stream.hasBuffered())
    return true;
  const absl::Time deadline =
      drivers::clock::steadyNow() + Settings.IdleTimeout;
  while (!Stopping && drivers::clock::steadyNow() < deadline) {
    pollfd entry{stream.socket(), POLLIN, 0};
    if (::poll(&entry, 1, IdlePollMs) > 0)
      return true;
  }
  return false;
}

bool ThreadedServer::process_and_close_socket(socket_t sock) {
  SocketStream stream(sock, Settings.WriteTimeout);
  const CurrentConnectionScope scope(stream);
  bool isServed = false;
  bool isClosed = false;
  const bool isRefused =
      ConnectionThreads::connectionClass() == ConnectionClass::Closed;
  while (!isRefused && !isClosed && waitForRequest(stream)) {
    stream.setReadDeadline(drivers::clock::steadyNow() +
                           Settings.RequestReadTimeout);
    const bool isLast = Stopping || ConnectionThreads::connectionClass() !=
                                        ConnectionClass::KeepAlive;
    isServed = process_request(stream, isLast, isClosed, nullptr);
    if (!isServed || isLast || stream.timedOut())
      break;
  }
  ::shutdown(sock, SHUT_RDWR);
  ::close(sock);
  return isServed;
}

} // namespace orioletally::lab

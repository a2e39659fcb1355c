#ifndef ORIOLETALLY_TESTS_LAB_THREADED_SERVER_H
#define ORIOLETALLY_TESTS_LAB_THREADED_SERVER_H

#include "drivers/http/http_server.h"

#include <absl/time/time.h>
#include <atomic>
#include <boost/leaf.hpp>
#include <condition_variable>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace orioletally::lab {

class SocketStream;

/// How a connection is served, by the number of open ones.
enum class ConnectionClass { KeepAlive, OneRequest, Closed };

/// Runs each accepted connection on its own thread. Connections up to the limit
/// are kept alive, as many again serve one request each, and others are closed.
class ConnectionThreads : public httplib::TaskQueue {
public:
  explicit ConnectionThreads(size_t limit);

  void enqueue(std::function<void()> fn) override;
  void shutdown() override;

  /// Returns the class of the connection that this thread serves.
  static ConnectionClass connectionClass();

private:
  ConnectionClass addConnection();
  void removeConnection();

  std::mutex Guard;
  std::condition_variable Ended;
  size_t Limit;
  size_t Running = 0;
};

/// A cpp-httplib server with a listen backlog for bursts, exclusive use of its
/// port, one thread per connection and timeouts for slow callers.
class ThreadedServer : private httplib::Server {
public:
  explicit ThreadedServer(const drivers::http::HttpServerSettings &settings);
  ~ThreadedServer() override;

  using httplib::Server::Delete;
  using httplib::Server::Get;
  using httplib::Server::Post;
  using httplib::Server::Put;
  using httplib::Server::set_error_handler;
  using httplib::Server::set_exception_handler;
  using httplib::Server::set_post_routing_handler;

  /// Binds the port and serves it on a background thread. Fails with
  /// loop::ListenError.
  boost::leaf::result<void> start();

  /// Stops accepting, closes idle connections and waits for requests in
  /// progress.
  void stop();

  /// The port in use after start().
  int port() const { return Port; }

private:
  bool process_and_close_socket(socket_t sock) override;
  bool waitForRequest(const SocketStream &stream) const;

  drivers::http::HttpServerSettings Settings;
  int Port = 0;
  std::atomic<bool> Stopping = false;
  std::thread Acceptor;
};

} // namespace orioletally::lab

#endif

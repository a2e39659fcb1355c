#ifndef ORIOLETALLY_TESTS_LAB_RAW_SERVER_H
#define ORIOLETALLY_TESTS_LAB_RAW_SERVER_H

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace orioletally::lab {

/// A request as a RawServer read it. Names of headers are in lower case.
struct RawRequest {
  std::string Method;
  std::string Target;
  std::map<std::string, std::string> Headers;
  std::string Body;

  std::string header(const std::string &name) const;
};

/// A connection on which any bytes may be written, wrong ones too.
class RawConnection {
public:
  explicit RawConnection(int socket) : Fd(socket) {}
  ~RawConnection();
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  /// Reads one whole request; empty when the other end has closed.
  std::optional<RawRequest> read();
  void write(const std::string &bytes) const;
  /// The bytes that come next; empty when the other end closes or sends nothing
  /// for \p ms.
  std::string receive(int ms) const;
  /// Everything until the other end closes or sends nothing for \p ms.
  std::string receiveAll(int ms) const;
  /// Whether the other end closes within \p ms.
  bool closesWithin(int ms) const;
  /// Makes the close a reset.
  void reset() const;
  void shutdown() const;

private:
  int Fd;
  std::string Buffer;
};

/// A stand-in that answers each request on each connection by a function,
/// which returns whether the connection is kept. One thread a connection.
class RawServer {
public:
  using Handler =
      std::function<bool(const RawRequest &, const RawConnection &)>;

  explicit RawServer(Handler handler);
  ~RawServer();
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  /// "127.0.0.1:port".
  const std::string &address() const { return Address; }

private:
  void accept();
  void serve(const std::shared_ptr<RawConnection> &connection);

  Handler Handle;
  int Listener = -1;
  std::string Address;
  std::atomic<bool> Stopping = false;
  std::mutex Guard;
  std::list<std::shared_ptr<RawConnection>> Connections;
  std::list<std::thread> Threads;
  std::thread Acceptor;
};

/// Opens a connection to \p address ("ip:port"); null when that fails.
std::unique_ptr<RawConnection> connectTo(const std::string &address);

} // namespace orioletally::lab

#endif

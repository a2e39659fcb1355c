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

/// A request that a RawServer received. Header names are in lower case.
struct RawRequest {
  std::string Method;
  std::string Target;
  std::map<std::string, std::string> Headers;
  std::string Body;

  std::string header(const std::string &name) const;
};

/// How much of a request is read before it is answered.
enum class RequestPart { Whole, Head };

/// A connection on which any bytes can be written, malformed ones too.
class RawConnection {
public:
  explicit RawConnection(int socket) : Fd(socket) {}
  ~RawConnection();
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  /// Reads one request, without its body if \p part is Head; empty if the peer
  /// closes first.
  std::optional<RawRequest> read(RequestPart part = RequestPart::Whole);
  void write(const std::string &bytes) const;
  /// Returns the next bytes; empty if the peer closes or stays silent for
  /// \p ms.
  std::string receive(int ms) const;
  /// Returns all bytes until the peer closes or sends nothing for \p ms.
  std::string receiveAll(int ms) const;
  /// Returns whether the peer closes within \p ms, before it sends anything.
  bool closesWithin(int ms) const;
  /// Appends all bytes until the peer closes to \p received; returns whether
  /// it closed with a TCP reset within \p ms.
  bool isResetWithin(int ms, std::string &received) const;
  /// Makes the close send a TCP reset.
  void reset() const;
  void shutdown() const;
  /// Ends what is sent; the peer can still send.
  void shutdownSending() const;

private:
  int Fd;
  std::string Buffer;
};

/// A stand-in server that passes each request to a handler, which writes the
/// answer and returns whether the connection stays open. Uses one thread per
/// connection.
class RawServer {
public:
  using Handler =
      std::function<bool(const RawRequest &, const RawConnection &)>;

  /// With \p part Head, connections have small receive buffers, so that what
  /// isn't read stays with the peer.
  explicit RawServer(Handler handler, RequestPart part = RequestPart::Whole);
  ~RawServer();
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  /// "127.0.0.1:port".
  const std::string &address() const { return Address; }

private:
  void accept();
  void serve(const std::shared_ptr<RawConnection> &connection);

  Handler Handle;
  RequestPart Part;
  int Listener = -1;
  std::string Address;
  std::atomic<bool> Stopping = false;
  std::mutex Guard;
  std::list<std::shared_ptr<RawConnection>> Connections;
  std::list<std::thread> Threads;
  std::thread Acceptor;
};

/// Opens a connection to the port of \p address ("ip:port") on the loopback
/// interface; returns null on failure.
std::unique_ptr<RawConnection> connectTo(const std::string &address);

} // namespace orioletally::lab

#endif

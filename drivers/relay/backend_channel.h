#ifndef ORIOLETALLY_DRIVERS_RELAY_BACKEND_CHANNEL_H
#define ORIOLETALLY_DRIVERS_RELAY_BACKEND_CHANNEL_H

#include "drivers/loop/asio_use.h"

#include <absl/time/time.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace orioletally::drivers::relay {

/// Bound on what is read ahead of an answer's parser: its longest head and
/// one read more.
constexpr size_t MaxBufferBytes = 128 << 10;

/// A connection to a backend server, which carries one call at a time.
struct BackendChannel {
  explicit BackendChannel(asio::io_context &loop) : Socket(loop) {}

  std::string Address;
  asio::ip::tcp::socket Socket;
  /// Holds at most a head or a chunk's header; a longer one is an error.
  beast::flat_buffer Buffer{MaxBufferBytes};
  /// Whether it has carried a call before.
  bool Reused = false;
  /// When it is too old to be used again; the other end closes it about then.
  absl::Time ReusableUntil;
};

/// Connections that wait for their next call.
class ChannelPool {
public:
  /// Returns the connection to \p address that was used last and is still
  /// open and quiet; null when there is none.
  std::unique_ptr<BackendChannel> acquire(const std::string &address,
                                          absl::Time now);

  /// Takes back a connection after a whole answer. \p keepAlive is what the
  /// other end said of how long it keeps it; zero if it didn't.
  void release(std::unique_ptr<BackendChannel> channel,
               absl::Duration keepAlive, absl::Time now);

  /// Closes the connections to \p address.
  void drop(const std::string &address);

  /// Closes what has waited for too long.
  void closeIdle(absl::Time now);

private:
  std::map<std::string, std::vector<std::unique_ptr<BackendChannel>>>
      IdleChannels;
};

} // namespace orioletally::drivers::relay

#endif

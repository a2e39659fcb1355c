#ifndef ORIOLETALLY_DRIVERS_RELAY_BACKEND_CHANNEL_H
#define ORIOLETALLY_DRIVERS_RELAY_BACKEND_CHANNEL_H

#include "drivers/loop/asio_use.h"
#include "drivers/loop/read_buffer.h"

#include <absl/time/time.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace orioletally::drivers::relay {

/// Limit on the bytes buffered ahead of the answer parser: the longest head
/// and one more read.
constexpr size_t MaxBufferBytes = 128 << 10;

/// A connection to a backend server. It carries one call at a time.
struct BackendChannel {
  BackendChannel(asio::io_context &loop, core::limits::MemoryAccount &memory)
      : Socket(loop),
        Buffer(MaxBufferBytes, memory, core::limits::MemoryUse::AnswerHead) {}

  std::string Address;
  asio::ip::tcp::socket Socket;
  /// Holds at most one head, chunk header or block of trailers; a longer one is
  /// an error.
  loop::ReadBuffer Buffer;
  /// Whether the connection has carried an earlier call.
  bool Reused = false;
  /// The connection isn't reused after this, because the server is about to
  /// close it.
  absl::Time ReusableUntil;
};

/// Idle connections to backend servers, kept for reuse.
class ChannelPool {
public:
  /// Removes and returns the most recently used connection to \p address that
  /// is still open and idle; null when there is none.
  std::unique_ptr<BackendChannel> acquire(const std::string &address,
                                          absl::Time now);

  /// Keeps a connection for reuse after a complete answer. \p keepAlive is the
  /// timeout that the server named for idle connections; zero if it named none.
  void release(std::unique_ptr<BackendChannel> channel,
               absl::Duration keepAlive, absl::Time now);

  /// Closes the idle connections to \p address.
  void drop(const std::string &address);

  /// Closes the connections that must no longer be reused.
  void closeIdle(absl::Time now);

private:
  std::map<std::string, std::vector<std::unique_ptr<BackendChannel>>>
      IdleChannels;
};

} // namespace orioletally::drivers::relay

#endif

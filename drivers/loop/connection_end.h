#ifndef ORIOLETALLY_DRIVERS_LOOP_CONNECTION_END_H
#define ORIOLETALLY_DRIVERS_LOOP_CONNECTION_END_H

#include "drivers/loop/asio_use.h"
#include "drivers/loop/read_buffer.h"

#include <chrono>
#include <functional>
#include <memory>

namespace orioletally::drivers::loop {

/// Whether the peer has closed or reset \p socket; false while received data is
/// unread. A peer that has shut down only its sending side counts as gone,
/// because the two look the same.
bool isPeerGone(asio::ip::tcp::socket &socket);

/// Whether \p socket is open and has no unread bytes.
bool isOpenAndIdle(asio::ip::tcp::socket &socket);

/// Whether a peer that has closed its side did so in order: it had received all
/// that was sent to it, and no reset has come since. A peer that closes before
/// that may have broken off; on the wire, the two look the same.
bool hasClosedInOrder(asio::ip::tcp::socket &socket);

/// Calls \p onGone once when the peer closes \p socket. Data from the peer, or
/// cancelling the socket's operations, ends the watch. \p onGone must keep the
/// socket alive.
void watchPeer(asio::ip::tcp::socket &socket, std::function<void()> onGone);

/// Closes \p stream after an answer to a request that wasn't read completely.
/// Before that, reads and discards about \p maxBytes at most, for up to
/// \p timeout, because closing with unread bytes resets the connection and may
/// lose the answer.
asio::awaitable<void>
lingeringClose(beast::tcp_stream &stream, ReadBuffer &buffer, size_t maxBytes,
               std::chrono::nanoseconds timeout = std::chrono::seconds(1));

/// Reads what has arrived on the non-blocking \p socket, up to \p maxBytes,
/// into \p buffer. Fails with not_enough_memory if it can't hold as much. After
/// a wait for readiness, unlike after an asynchronous read, all bytes that
/// aren't in \p buffer are still counted as available.
boost::system::error_code takeBytes(asio::ip::tcp::socket &socket,
                                    ReadBuffer &buffer, size_t maxBytes);

/// Closes \p stream, whose sending side is shut down, once the peer has closed
/// its own, or after \p timeout. Bytes that arrive meanwhile are left unread,
/// because nothing answers them; returns how many.
asio::awaitable<size_t>
closeAfterPeer(beast::tcp_stream &stream,
               std::chrono::nanoseconds timeout = std::chrono::seconds(1));

/// Closes \p socket with a TCP reset. The peer can't take this for the end of a
/// body that ends with its connection.
void resetConnection(asio::ip::tcp::socket &socket);

/// Cancels a stream's operations after a timeout but leaves the stream open for
/// writing; the expiry of beast::tcp_stream itself closes the stream.
/// Operations that begin after the timeout are cancelled as well: one that has
/// completed when the timeout ends isn't cancelled by it, and the next one
/// would wait for ever.
class CancelAfter {
public:
  CancelAfter(beast::tcp_stream &stream, std::chrono::nanoseconds timeout);
  ~CancelAfter();
  CancelAfter(const CancelAfter &) = delete;
  CancelAfter &operator=(const CancelAfter &) = delete;

  bool hasExpired() const { return Shared->Expired; }

private:
  struct State {
    beast::tcp_stream *Stream;
    bool Expired = false;
  };

  void arm();

  std::shared_ptr<State> Shared;
  asio::steady_timer Timer;
};

} // namespace orioletally::drivers::loop

#endif

#ifndef ORIOLETALLY_DRIVERS_LOOP_CONNECTION_END_H
#define ORIOLETALLY_DRIVERS_LOOP_CONNECTION_END_H

#include "drivers/loop/asio_use.h"

#include <chrono>
#include <functional>
#include <memory>

namespace orioletally::drivers::loop {

/// Whether the other side has closed or reset \p socket. One that closes only
/// its sending side counts as gone: the two can't be told apart.
bool isPeerGone(asio::ip::tcp::socket &socket);

/// Calls \p onGone once if the other side closes \p socket before its
/// operations are cancelled. \p onGone keeps the socket alive.
void watchPeer(asio::ip::tcp::socket &socket, std::function<void()> onGone);

/// Closes \p stream after an answer to a request that wasn't read to its end:
/// reads on for a moment, and up to \p maxBytes, because a close with unread
/// bytes resets the connection and takes the answer with it.
asio::awaitable<void> lingeringClose(beast::tcp_stream &stream,
                                     beast::flat_buffer &buffer,
                                     size_t maxBytes);

/// Cancels what a stream waits for once a time has passed, and leaves it open
/// to be written to; a beast::tcp_stream's own expiry closes it.
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

  std::shared_ptr<State> Shared;
  asio::steady_timer Timer;
};

} // namespace orioletally::drivers::loop

#endif

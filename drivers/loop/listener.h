#ifndef ORIOLETALLY_DRIVERS_LOOP_LISTENER_H
#define ORIOLETALLY_DRIVERS_LOOP_LISTENER_H

#include "drivers/loop/asio_use.h"

#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <string>

namespace orioletally::drivers::loop {

/// Why listening on an address failed.
struct ListenError {
  std::string Address;
  std::string Reason;
};

/// Accepts connections on one address, on the event loop.
class Listener : public std::enable_shared_from_this<Listener> {
public:
  using ConnectionHandler = std::function<void(asio::ip::tcp::socket socket)>;

  /// Binds \p address ("ip:port"; port 0 takes a free one). The port isn't
  /// shared with other processes.
  static boost::leaf::result<std::shared_ptr<Listener>>
  open(asio::io_context &loop, const std::string &address);

  /// Passes each accepted connection to \p handler until close().
  void start(ConnectionHandler handler);

  /// Stops accepting connections. Passes those that have been established to
  /// the handler first, because closing would reset them.
  void close();

  /// The port that is bound; 0 after close().
  int port() const;

  explicit Listener(asio::io_context &loop) : Acceptor(loop) {}

private:
  /// \p self keeps the listener alive.
  asio::awaitable<void> accept(std::shared_ptr<Listener> self);

  /// Passes waiting connections to the handler, up to \p max.
  boost::system::error_code acceptWaiting(int max);

  asio::ip::tcp::acceptor Acceptor;
  ConnectionHandler Handler;
};

} // namespace orioletally::drivers::loop

#endif

#ifndef ORIOLETALLY_DRIVERS_HTTP_HTTP_REPLY_H
#define ORIOLETALLY_DRIVERS_HTTP_HTTP_REPLY_H

#include "drivers/http/http_message.h"
#include "drivers/loop/asio_use.h"

#include <absl/time/time.h>
#include <functional>
#include <memory>
#include <string>

namespace orioletally::drivers::http {

/// A handler's way to answer: fill in Answer and return, or stream its body by
/// write() and end it by finish(). A stream without its finish() is cut.
class HttpReply {
public:
  HttpReply(beast::tcp_stream &connection, unsigned version,
            absl::Duration writeTimeout);

  HttpResponse Answer;

  /// Sends \p piece of the body, after the head of Answer the first time.
  /// False when the caller is gone or takes nothing for the write bound.
  asio::awaitable<bool> write(std::string piece);

  /// Ends the body.
  asio::awaitable<bool> finish();

  /// Calls \p handler once when the caller closes its side, while the request
  /// is handled.
  void onCallerDisconnected(std::function<void()> handler);

  /// Called by the session when it sees the caller close.
  void notifyCallerDisconnected();

  bool hasStarted() const { return Started; }
  bool isFinished() const { return Finished; }

private:
  asio::awaitable<bool> sendHead();
  asio::awaitable<bool> sendAll(std::string bytes);

  beast::tcp_stream &Connection;
  unsigned Version;
  absl::Duration WriteTimeout;
  std::function<void()> DisconnectHandler;
  bool Started = false;
  bool Finished = false;
  bool Disconnected = false;
};

} // namespace orioletally::drivers::http

#endif

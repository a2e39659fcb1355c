#ifndef ORIOLETALLY_DRIVERS_HTTP_HTTP_REPLY_H
#define ORIOLETALLY_DRIVERS_HTTP_HTTP_REPLY_H

#include "drivers/http/http_message.h"
#include "drivers/loop/asio_use.h"

#include <absl/time/time.h>
#include <functional>
#include <memory>
#include <string>

namespace orioletally::drivers::http {

/// Lets a handler respond to a request. The handler either fills in Answer and
/// returns, or streams the body with write() and ends it with finish(). The
/// connection is closed after a stream without finish().
class HttpReply {
public:
  HttpReply(beast::tcp_stream &connection, unsigned version,
            absl::Duration writeTimeout);

  HttpResponse Answer;

  /// Sends \p piece of the body; the first call sends the head of Answer before
  /// it. Returns false if the caller has disconnected or the piece isn't sent
  /// within the write timeout.
  asio::awaitable<bool> write(std::string piece);

  /// Ends a streamed body. Returns false if its end can't be sent.
  asio::awaitable<bool> finish();

  /// Calls \p handler once if the caller closes its side of the connection
  /// while the request is handled; immediately if it already has.
  void onCallerDisconnected(std::function<void()> handler);

  /// Called by the session when the caller closes its side.
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

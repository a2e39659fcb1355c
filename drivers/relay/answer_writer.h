#ifndef ORIOLETALLY_DRIVERS_RELAY_ANSWER_WRITER_H
#define ORIOLETALLY_DRIVERS_RELAY_ANSWER_WRITER_H

#include "drivers/loop/asio_use.h"

#include <absl/time/time.h>
#include <string>

namespace orioletally::drivers::relay {

using PlainResponse = bhttp::response<bhttp::string_body>;
using StreamHead = bhttp::response<bhttp::empty_body>;

/// A caller that doesn't accept a part of its answer within this time counts
/// as disconnected.
constexpr absl::Duration CallerWriteTimeout = absl::Seconds(5);

/// Writes the answer to one call to its caller: a whole message, or a stream
/// piece by piece. Each write returns false if it failed.
class AnswerWriter {
public:
  /// \p version is the HTTP version of the call, 11 for HTTP/1.1.
  AnswerWriter(asio::ip::tcp::socket &socket, unsigned version)
      : Caller(socket), Version(version) {}

  /// Whether the caller's connection can carry another call after this one.
  bool keepsOpen() const { return KeepOpen; }
  void setKeepOpen(bool keepOpen) { KeepOpen = keepOpen; }

  /// Writes the head of a stream; at most once.
  asio::awaitable<bool> beginStream(StreamHead head);
  /// Writes a part of a stream's body.
  asio::awaitable<bool> writeEvents(std::string bytes);
  /// Writes the end of a stream.
  asio::awaitable<bool> endStream();
  asio::awaitable<bool> writePlain(PlainResponse answer);

  /// Ends the write in progress, if there is one, and the connection.
  void closeCaller();

  /// Resets the connection if its end would make a stream look complete that
  /// isn't.
  void resetIfTruncated();

  /// Whether the head of a stream has been written, at least in part.
  bool hasBegun() const { return HasBegun; }
  /// Whether the answer was written to its end.
  bool isWhole() const { return IsWhole; }
  /// The status that was written; 0 if none was.
  int status() const { return Status; }

private:
  bool isChunked() const;

  asio::ip::tcp::socket &Caller;
  unsigned Version;
  bool KeepOpen = true;
  bool HasBegun = false;
  bool IsWhole = false;
  int Status = 0;
};

} // namespace orioletally::drivers::relay

#endif

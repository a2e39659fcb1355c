#ifndef ORIOLETALLY_CORE_RELAY_EVENT_STREAM_H
#define ORIOLETALLY_CORE_RELAY_EVENT_STREAM_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace orioletally::core::relay {

/// Splits a stream of server-sent events into complete events and drops those
/// that were already delivered. A stream that breaks off inside an event can
/// thus be resumed at another backend server.
class EventStream {
public:
  /// Default size limit of an incomplete event, in bytes.
  static constexpr size_t DefaultMaxEventBytes = 256 << 10;

  /// \p resumeAfter is the id of the last event that the caller received; an
  /// incomplete event may grow to \p maxEventBytes.
  explicit EventStream(std::optional<int64_t> resumeAfter = std::nullopt,
                       size_t maxEventBytes = DefaultMaxEventBytes);

  /// Appends \p bytes and returns the undelivered events that they complete.
  std::string push(std::string_view bytes);

  /// Drops the incomplete event because the next bytes come from another
  /// backend server.
  void restart();

  /// Returns the id of the last event that was delivered to the caller, here or
  /// before it resumed the stream.
  std::optional<int64_t> lastId() const { return LastId; }

  /// Returns the number of events that push() has returned.
  int64_t eventCount() const { return EventCount; }

  /// Whether an incomplete event exceeded the size limit. Later bytes are
  /// dropped until restart().
  bool isOverlong() const { return Overlong; }

  /// Whether bytes of an incomplete event are buffered. A stream that ends in
  /// this state has broken off, however its body was framed.
  bool isInsideEvent() const { return !Partial.empty(); }

  /// Returns the number of bytes buffered of an incomplete event.
  size_t bufferedBytes() const { return Partial.size(); }

  /// Returns and clears the buffered bytes that no delimiter follows, for
  /// bodies that don't consist of events.
  std::string takeRest();

private:
  /// Appends \p event to \p out unless it was already delivered.
  void appendUndelivered(std::string_view event, std::string &out);

  std::string Partial;
  /// Leading bytes of Partial that were searched and contain no event
  /// delimiter.
  size_t Searched = 0;
  size_t MaxEventBytes;
  bool Overlong = false;
  std::optional<int64_t> LastId;
  int64_t EventCount = 0;
};

} // namespace orioletally::core::relay

#endif

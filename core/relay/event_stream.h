#ifndef ORIOLETALLY_CORE_RELAY_EVENT_STREAM_H
#define ORIOLETALLY_CORE_RELAY_EVENT_STREAM_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace orioletally::core::relay {

/// Cuts a stream of server-sent events into whole events, so that a stream
/// that breaks off inside an event can go on at another backend server, and
/// drops events that were delivered before.
class EventStream {
public:
  /// Bound on an unfinished event in bytes, where none is given.
  static constexpr size_t DefaultMaxEventBytes = 256 << 10;

  /// \p resumeAfter is the id of the last event that the caller has; an
  /// unfinished event may grow to \p maxEventBytes.
  explicit EventStream(std::optional<int64_t> resumeAfter = std::nullopt,
                       size_t maxEventBytes = DefaultMaxEventBytes);

  /// Takes in \p bytes and returns the whole events that they complete.
  std::string push(std::string_view bytes);

  /// The next bytes come from another backend server: an event that was cut
  /// off is dropped.
  void restart();

  /// Id of the last event that was returned or that the caller had before.
  std::optional<int64_t> lastId() const { return LastId; }

  /// Whether an event has grown beyond its bound without an end. What push()
  /// is given from then on is dropped.
  bool isOverlong() const { return Overlong; }

  /// Whether bytes of an unfinished event are held.
  bool isInsideEvent() const { return !Partial.empty(); }

  /// Returns what is held of an unfinished event and forgets it.
  std::string takeRest();

private:
  void appendUndelivered(std::string_view event, std::string &out);

  std::string Partial;
  /// Bytes of Partial in which no end of an event begins.
  size_t Searched = 0;
  size_t MaxEventBytes;
  bool Overlong = false;
  std::optional<int64_t> LastId;
};

} // namespace orioletally::core::relay

#endif

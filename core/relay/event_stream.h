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
  /// \p resumeAfter is the id of the last event that the caller has.
  explicit EventStream(std::optional<int64_t> resumeAfter = std::nullopt);

  /// Takes in \p bytes and returns the whole events that they complete.
  std::string push(std::string_view bytes);

  /// The next bytes come from another backend server: an event that was cut
  /// off is dropped.
  void restart();

  /// Id of the last event that was returned or that the caller had before.
  std::optional<int64_t> lastId() const { return LastId; }

  /// Whether bytes of an unfinished event are held.
  bool isInsideEvent() const { return !Partial.empty(); }

  /// Returns what is held of an unfinished event and forgets it.
  std::string takeRest();

private:
  void take(std::string_view event, std::string &out);

  std::string Partial;
  std::optional<int64_t> LastId;
};

} // namespace orioletally::core::relay

#endif

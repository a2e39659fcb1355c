#include "core/relay/event_stream.h"

#include <charconv>
#include <utility>

namespace orioletally::core::relay {

namespace {

constexpr std::string_view IdField = "id:";

/// Returns the length of the first whole event of \p text with the empty line
/// that ends it; npos when there is none.
size_t eventLength(std::string_view text) {
  const size_t lf = text.find("\n\n");
  const size_t crlf = text.find("\r\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos)
    return std::string_view::npos;
  if (crlf == std::string_view::npos || lf < crlf)
    return lf + 2;
  return crlf + 4;
}

std::optional<int64_t> eventId(std::string_view event) {
  while (!event.empty()) {
    const size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.starts_with(IdField))
      continue;
    line.remove_prefix(IdField.size());
    while (line.starts_with(' '))
      line.remove_prefix(1);
    int64_t id = 0;
    const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc())
      return id;
  }
  return std::nullopt;
}

} // namespace

EventStream::EventStream(std::optional<int64_t> resumeAfter)
    : LastId(resumeAfter) {}

std::string EventStream::push(std::string_view bytes) {
  std::string out;
  Partial.append(bytes);
  std::string_view rest = Partial;
  size_t n = eventLength(rest);
  while (n != std::string_view::npos) {
    take(rest.substr(0, n), out);
    rest.remove_prefix(n);
    n = eventLength(rest);
  }
  Partial.erase(0, Partial.size() - rest.size());
  return out;
}

void EventStream::restart() { Partial.clear(); }

std::string EventStream::takeRest() { return std::exchange(Partial, {}); }

void EventStream::take(std::string_view event, std::string &out) {
  const std::optional<int64_t> id = eventId(event);
  if (id.has_value()) {
    if (LastId.has_value() && *id <= *LastId)
      return; // Delivered before the stream was resumed.
    LastId = id;
  }
  out.append(event);
}

} // namespace orioletally::core::relay

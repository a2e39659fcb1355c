#include "core/relay/event_stream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace orioletally::core::relay {

namespace {

constexpr std::string_view IdField = "id:";

/// Length of the longest event delimiter minus one: the bytes of a delimiter
/// that may already be at the end of the searched text.
constexpr size_t DelimiterOverlap = 3;

/// Returns the length of the first event of \p text, including the empty line
/// that ends it; npos if the event is incomplete. The search starts at \p from.
size_t eventLength(std::string_view text, size_t from) {
  for (size_t n = text.find('\n', from); n != std::string_view::npos;
       n = text.find('\n', n + 1)) {
    const std::string_view rest = text.substr(n + 1);
    if (rest.starts_with('\n'))
      return n + 2;
    if (n > 0 && text[n - 1] == '\r' && rest.starts_with("\r\n"))
      return n + 3;
  }
  return std::string_view::npos;
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

EventStream::EventStream(std::optional<int64_t> resumeAfter,
                         size_t maxEventBytes)
    : MaxEventBytes(maxEventBytes), LastId(resumeAfter) {}

std::string EventStream::push(std::string_view bytes) {
  std::string out;
  if (Overlong)
    return out;
  Partial.append(bytes);
  std::string_view rest = Partial;
  size_t n = eventLength(rest, Searched);
  while (n != std::string_view::npos) {
    appendUndelivered(rest.substr(0, n), out);
    rest.remove_prefix(n);
    n = eventLength(rest, 0);
  }
  Partial.erase(0, Partial.size() - rest.size());
  Searched = Partial.size() - std::min(Partial.size(), DelimiterOverlap);
  if (Partial.size() > MaxEventBytes) {
    Overlong = true;
    Partial.clear();
  }
  return out;
}

void EventStream::restart() {
  Partial.clear();
  Searched = 0;
  Overlong = false;
}

std::string EventStream::takeRest() {
  Searched = 0;
  return std::exchange(Partial, {});
}

void EventStream::appendUndelivered(std::string_view event, std::string &out) {
  const std::optional<int64_t> id = eventId(event);
  if (id.has_value()) {
    if (LastId.has_value() && *id <= *LastId)
      return; // Already delivered before the stream was resumed.
    LastId = id;
  }
  out.append(event);
  ++EventCount;
}

} // namespace orioletally::core::relay

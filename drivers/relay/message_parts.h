#ifndef ORIOLETALLY_DRIVERS_RELAY_MESSAGE_PARTS_H
#define ORIOLETALLY_DRIVERS_RELAY_MESSAGE_PARTS_H

#include "core/errors/request_error.h"
#include "core/relay/call_head.h"
#include "drivers/loop/asio_use.h"

#include <absl/time/time.h>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::drivers::relay {

/// Beast's strings as the standard's.
inline std::string_view view(beast::string_view text) {
  return {text.data(), text.size()};
}

/// The header lines of \p fields; the views live as long as it does.
std::vector<core::relay::HeaderView> headerViews(const bhttp::fields &fields);

/// Whether \p name, in a message with \p connection in its Connection header,
/// concerns a single connection and isn't passed on.
bool isHopByHop(std::string_view name, std::string_view connection);

/// Copies the headers of \p from that aren't about one connection or the
/// framing of its body, but for those that \p isExcluded names.
template <typename Predicate>
void copyEndToEnd(const bhttp::fields &from, bhttp::fields &to,
                  Predicate isExcluded) {
  const std::string connection(view(from[bhttp::field::connection]));
  for (const auto &it : from) {
    const std::string_view name = view(it.name_string());
    if (!isHopByHop(name, connection) && !isExcluded(name))
      to.insert(it.name_string(), it.value());
  }
}

/// Whether \p status promises that the call hasn't been executed.
bool impliesNotExecuted(int status);

/// The status that carries \p error to a caller. Statuses that promise that
/// the call hasn't been executed are only used where that is so.
int answerStatus(const core::errors::RequestError &error);

/// An answer of this node's own to the attempt \p attemptId.
bhttp::response<bhttp::string_body>
errorResponse(const core::errors::RequestError &error,
              std::string_view attemptId, const core::relay::CallCodec &codec);

/// How long the sender of \p answer keeps its connection open; zero if it
/// doesn't say.
absl::Duration keepAliveTime(const bhttp::fields &answer);

/// Whether \p ec says that the bytes aren't HTTP, not that they ended.
bool isProtocolError(const boost::system::error_code &ec);

} // namespace orioletally::drivers::relay

#endif

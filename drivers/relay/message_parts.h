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

/// Converts Beast's string view to the standard one.
inline std::string_view view(beast::string_view text) {
  return {text.data(), text.size()};
}

/// Returns the header lines of \p fields; the views are valid as long as it is.
std::vector<core::relay::HeaderView> headerViews(const bhttp::fields &fields);

/// Whether header \p name is hop-by-hop and must not be forwarded, in a message
/// whose Connection header is \p connection.
bool isHopByHop(std::string_view name, std::string_view connection);

/// Copies the end-to-end headers of \p from, without those that describe the
/// framing of the body and those for which \p isExcluded returns true.
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

/// Whether \p status implies that the call wasn't executed.
bool impliesNotExecuted(int status);

/// Returns the HTTP status for \p error. A status that implies that the call
/// wasn't executed is replaced by 502 unless that is certain.
int answerStatus(const core::errors::RequestError &error);

/// Removes the body of \p answer, but not its length, if it answers a HEAD
/// request: a body would be taken for the next answer on the connection.
void omitBodyForHead(bhttp::response<bhttp::string_body> &answer,
                     bhttp::verb method);

/// Whether an answer with \p status to a request with \p method has no body.
bool isBodiless(bhttp::verb method, int status);

/// Builds this node's own error answer for the caller's attempt \p attemptId.
bhttp::response<bhttp::string_body>
errorResponse(const core::errors::RequestError &error,
              std::string_view attemptId, const core::relay::CallCodec &codec);

/// Returns the timeout in the Keep-Alive header of \p answer; zero without one.
absl::Duration keepAliveTime(const bhttp::fields &answer);

/// Whether the body of \p answer to a streaming call consists of server-sent
/// events, which is also assumed when it names no type.
bool isEventStream(const bhttp::fields &answer);

/// Whether the body of the successful answer \p answer can be appended to a
/// stream that broke off at another backend server.
bool canContinueStream(const bhttp::response_header<> &answer);

/// Whether \p ec reports malformed HTTP, as opposed to a connection that ended.
bool isProtocolError(const boost::system::error_code &ec);

} // namespace orioletally::drivers::relay

#endif

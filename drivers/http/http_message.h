#ifndef ORIOLETALLY_DRIVERS_HTTP_HTTP_MESSAGE_H
#define ORIOLETALLY_DRIVERS_HTTP_HTTP_MESSAGE_H

#include <boost/beast/core/string.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::drivers::http {

constexpr int StatusOk = 200;

/// Headers by name, which is compared without regard to case.
using HeaderMap = std::multimap<std::string, std::string, boost::beast::iless>;

/// Returns the value of the first header \p name, or an empty string.
std::string headerOf(const HeaderMap &headers, const std::string &name);

/// Decodes %XX escapes and, with \p isQuery, also + as a space. Invalid escapes
/// stay as they are.
std::string percentDecoded(std::string_view text, bool isQuery);

/// Percent-encodes \p text for use as a value in a query.
std::string percentEncoded(std::string_view text);

/// A complete request, as passed to a handler.
struct HttpRequest {
  /// Upper case.
  std::string Method;
  /// Decoded and without the query.
  std::string Path;
  /// What the capture groups of the route's pattern matched, in order.
  std::vector<std::string> Matches;
  std::map<std::string, std::string> Query;
  HeaderMap Headers;
  std::string Body;
  std::string RemoteAddress;

  std::string header(const std::string &name) const {
    return headerOf(Headers, name);
  }
};

/// A response that is sent as a whole.
struct HttpResponse {
  int Status = 200;
  HeaderMap Headers;
  std::string Body;

  /// Sets the body and its Content-Type.
  void setContent(std::string body, const std::string &type);

  /// Sets the header \p name, replacing all earlier values.
  void setHeader(const std::string &name, std::string value);
};

} // namespace orioletally::drivers::http

#endif

#ifndef ORIOLETALLY_DRIVERS_HTTP_HTTP_MESSAGE_H
#define ORIOLETALLY_DRIVERS_HTTP_HTTP_MESSAGE_H

#include <boost/beast/core/string.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::drivers::http {

/// Header lines by name, whose case doesn't matter.
using HeaderMap = std::multimap<std::string, std::string, boost::beast::iless>;

/// Returns the first value of \p name, or an empty text.
std::string headerOf(const HeaderMap &headers, const std::string &name);

/// Decodes the %XX of a path or, with \p isQuery, also the + of a query.
std::string percentDecoded(std::string_view text, bool isQuery);

/// Encodes \p text for use as a value in a query.
std::string percentEncoded(std::string_view text);

/// A whole request as a handler sees it.
struct HttpRequest {
  /// Upper case.
  std::string Method;
  /// Without the query, decoded.
  std::string Path;
  /// What the groups of the route's pattern matched, in order.
  std::vector<std::string> Matches;
  std::map<std::string, std::string> Query;
  HeaderMap Headers;
  std::string Body;
  std::string RemoteAddress;

  std::string header(const std::string &name) const {
    return headerOf(Headers, name);
  }
};

/// An answer that is sent whole.
struct HttpResponse {
  int Status = 200;
  HeaderMap Headers;
  std::string Body;

  /// Sets the body and its type.
  void setContent(std::string body, const std::string &type);

  /// Sets \p name to \p value alone.
  void setHeader(const std::string &name, std::string value);
};

} // namespace orioletally::drivers::http

#endif

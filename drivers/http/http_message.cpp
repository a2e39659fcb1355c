#include "drivers/http/http_message.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>
#include <utility>

namespace orioletally::drivers::http {

namespace {

constexpr size_t EscapeLength = 3;

/// Returns the byte that the %XX escape at \p n encodes, or -1 if the escape is
/// invalid.
int escapedByte(std::string_view text, size_t n) {
  if (n + EscapeLength > text.size() || !absl::ascii_isxdigit(text[n + 1]) ||
      !absl::ascii_isxdigit(text[n + 2]))
    return -1;
  return std::stoi(std::string(text.substr(n + 1, 2)), nullptr, 16);
}

bool isUnreserved(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' ||
         c == '_' || c == '.' || c == '~';
}

} // namespace

std::string headerOf(const HeaderMap &headers, const std::string &name) {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

std::string percentDecoded(std::string_view text, bool isQuery) {
  std::string result;
  for (size_t n = 0; n < text.size(); ++n) {
    const int byte = text[n] == '%' ? escapedByte(text, n) : -1;
    if (byte >= 0) {
      result += static_cast<char>(byte);
      n += EscapeLength - 1;
    } else {
      result += isQuery && text[n] == '+' ? ' ' : text[n];
    }
  }
  return result;
}

std::string percentEncoded(std::string_view text) {
  std::string result;
  for (const char c : text)
    result += isUnreserved(c)
                  ? std::string(1, c)
                  : fmt::format("%{:02X}", static_cast<unsigned char>(c));
  return result;
}

void HttpResponse::setContent(std::string body, const std::string &type) {
  Body = std::move(body);
  setHeader("Content-Type", type);
}

void HttpResponse::setHeader(const std::string &name, std::string value) {
  Headers.erase(name);
  Headers.emplace(name, std::move(value));
}

} // namespace orioletally::drivers::http

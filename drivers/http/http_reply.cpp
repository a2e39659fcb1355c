#include "drivers/http/http_reply.h"

#include "drivers/loop/message_framing.h"

#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace orioletally::drivers::http {

using loop::AsTuple;
using loop::FirstChunkedVersion;

namespace {

constexpr std::string_view LastChunk = "0\r\n\r\n";

std::string encodeChunk(std::string_view piece) {
  return fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
}

} // namespace

HttpReply::HttpReply(beast::tcp_stream &connection, unsigned version,
                     absl::Duration writeTimeout)
    : Connection(connection), Version(version), WriteTimeout(writeTimeout) {}

asio::awaitable<bool> HttpReply::sendHead() {
  Started = true;
  boost::system::error_code ignored;
  Connection.socket().non_blocking(true, ignored);
  Connection.expires_after(absl::ToChronoNanoseconds(WriteTimeout));
  bhttp::response<bhttp::empty_body> head(
      static_cast<bhttp::status>(Answer.Status), Version);
  for (const auto &[name, value] : Answer.Headers)
    head.insert(name, value);
  if (Version >= FirstChunkedVersion)
    head.chunked(true);
  else
    head.keep_alive(false);
  bhttp::response_serializer<bhttp::empty_body> serializer(head);
  const auto [ec, n] =
      co_await bhttp::async_write_header(Connection, serializer, AsTuple);
  co_return !ec;
}

asio::awaitable<bool> HttpReply::write(std::string piece) {
  if (!Started) {
    const bool isSent = co_await sendHead();
    if (!isSent) {
      co_return false;
    }
  }
  if (Disconnected) {
    co_return false;
  }
  if (piece.empty()) {
    co_return true;
  }
  if (Version >= FirstChunkedVersion)
    piece = encodeChunk(piece);
  co_return co_await sendAll(std::move(piece));
}

asio::awaitable<bool> HttpReply::sendAll(std::string bytes) {
  // Tries a write that doesn't wait first, because most pieces fit into the
  // socket's send buffer.
  boost::system::error_code ec;
  const size_t sent = Connection.socket().write_some(asio::buffer(bytes), ec);
  if (ec && ec != asio::error::would_block) {
    co_return false;
  }
  if (sent == bytes.size()) {
    co_return true;
  }
  Connection.expires_after(absl::ToChronoNanoseconds(WriteTimeout));
  const auto rest = asio::buffer(bytes) + sent;
  const auto [writeError, n] =
      co_await asio::async_write(Connection, rest, AsTuple);
  co_return !writeError;
}

asio::awaitable<bool> HttpReply::finish() {
  Finished = true;
  if (Version < FirstChunkedVersion) {
    co_return true;
  }
  co_return co_await sendAll(std::string(LastChunk));
}

void HttpReply::onCallerDisconnected(std::function<void()> handler) {
  DisconnectHandler = std::move(handler);
  if (Disconnected && DisconnectHandler)
    DisconnectHandler();
}

void HttpReply::notifyCallerDisconnected() {
  Disconnected = true;
  if (DisconnectHandler)
    DisconnectHandler();
}

} // namespace orioletally::drivers::http

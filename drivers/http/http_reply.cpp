#include "drivers/http/http_reply.h"

#include <utility>

namespace orioletally::drivers::http {

using loop::AsTuple;

namespace {

/// Chunks came with HTTP/1.1; before it, the end of the connection ends a body.
constexpr unsigned ChunkVersion = 11;

} // namespace

HttpReply::HttpReply(beast::tcp_stream &connection, unsigned version,
                     absl::Duration writeBound)
    : Connection(connection), Version(version), WriteBound(writeBound) {}

asio::awaitable<bool> HttpReply::begin() {
  Begun = true;
  bhttp::response<bhttp::empty_body> head(
      static_cast<bhttp::status>(Answer.Status), Version);
  for (const auto &[name, value] : Answer.Headers)
    head.insert(name, value);
  if (Version >= ChunkVersion)
    head.chunked(true);
  else
    head.keep_alive(false);
  bhttp::response_serializer<bhttp::empty_body> serializer(head);
  const auto [ec, n] =
      co_await bhttp::async_write_header(Connection, serializer, AsTuple);
  co_return !ec;
}

asio::awaitable<bool> HttpReply::write(std::string piece) {
  Connection.expires_after(absl::ToChronoNanoseconds(WriteBound));
  if (!Begun && !co_await begin()) {
    co_return false;
  }
  if (Gone) {
    co_return false;
  }
  if (piece.empty()) {
    co_return true;
  }
  if (Version < ChunkVersion) {
    const auto [ec, n] =
        co_await asio::async_write(Connection, asio::buffer(piece), AsTuple);
    co_return !ec;
  }
  const auto chunk = bhttp::make_chunk(asio::buffer(piece));
  const auto [ec, n] = co_await asio::async_write(Connection, chunk, AsTuple);
  co_return !ec;
}

asio::awaitable<bool> HttpReply::finish() {
  Finished = true;
  if (Version < ChunkVersion) {
    co_return true;
  }
  Connection.expires_after(absl::ToChronoNanoseconds(WriteBound));
  const auto last = bhttp::make_chunk_last();
  const auto [ec, n] = co_await asio::async_write(Connection, last, AsTuple);
  co_return !ec;
}

void HttpReply::onCallerGone(std::function<void()> handler) {
  GoneHandler = std::move(handler);
  if (Gone && GoneHandler)
    GoneHandler();
}

void HttpReply::callerGone() {
  Gone = true;
  if (GoneHandler)
    GoneHandler();
}

} // namespace orioletally::drivers::http

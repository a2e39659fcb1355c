#include "drivers/relay/answer_writer.h"

#include "drivers/loop/connection_end.h"
#include "drivers/loop/message_framing.h"

#include <utility>

namespace orioletally::drivers::relay {

using loop::AsTuple;

bool AnswerWriter::isChunked() const {
  return Version >= loop::FirstChunkedVersion;
}

asio::awaitable<bool> AnswerWriter::beginStream(StreamHead head) {
  Status = static_cast<int>(head.result_int());
  HasBegun = true;
  if (isChunked())
    head.chunked(true);
  else
    KeepOpen = false;
  if (!KeepOpen)
    head.set(bhttp::field::connection, "close");
  bhttp::response_serializer<bhttp::empty_body> serializer(head);
  const auto [ec, n] =
      co_await bhttp::async_write_header(Caller, serializer, AsTuple);
  co_return !ec;
}

asio::awaitable<bool> AnswerWriter::writeEvents(std::string bytes) {
  if (!isChunked()) {
    const auto [ec, n] =
        co_await asio::async_write(Caller, asio::buffer(bytes), AsTuple);
    co_return !ec;
  }
  const auto [ec, n] = co_await asio::async_write(
      Caller, bhttp::make_chunk(asio::buffer(bytes)), AsTuple);
  co_return !ec;
}

asio::awaitable<bool> AnswerWriter::endStream() {
  if (!isChunked()) {
    IsWhole = true;
    co_return true;
  }
  const auto [ec, n] =
      co_await asio::async_write(Caller, bhttp::make_chunk_last(), AsTuple);
  IsWhole = !ec;
  co_return IsWhole;
}

asio::awaitable<bool> AnswerWriter::writePlain(PlainResponse answer) {
  Status = static_cast<int>(answer.result_int());
  if (!KeepOpen)
    answer.set(bhttp::field::connection, "close");
  const auto [ec, n] = co_await bhttp::async_write(Caller, answer, AsTuple);
  IsWhole = !ec;
  co_return IsWhole;
}

void AnswerWriter::closeCaller() {
  boost::system::error_code ignored;
  Caller.close(ignored);
}

void AnswerWriter::resetIfTruncated() {
  if (HasBegun && !IsWhole && !isChunked())
    loop::resetConnection(Caller);
}

} // namespace orioletally::drivers::relay

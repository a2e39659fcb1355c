#include "drivers/loop/request_reader.h"

#include "drivers/clock/clock.h"

namespace orioletally::drivers::loop {

boost::system::error_code memoryFull() {
  return make_error_code(boost::system::errc::not_enough_memory);
}

asio::awaitable<boost::system::error_code>
readRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer,
            RequestParser &parser, HeadCheck isRejected,
            std::optional<std::chrono::nanoseconds> bodyTimeout,
            core::limits::MemoryGrant *memory) {
  const auto [headError, headBytes] =
      co_await bhttp::async_read_header(stream, buffer, parser, AsTuple);
  if (headError) {
    co_return headError;
  }
  if (isRejected(parser.get())) {
    co_return bhttp::make_error_code(bhttp::error::bad_field);
  }
  if (memory != nullptr &&
      !memory->cover(parser.content_length().value_or(0), clock::steadyNow())) {
    co_return memoryFull();
  }
  if (beast::iequals(parser.get()[bhttp::field::expect], "100-continue")) {
    const bhttp::response<bhttp::empty_body> proceed(bhttp::status::continue_,
                                                     11);
    const auto [ec, n] = co_await bhttp::async_write(stream, proceed, AsTuple);
    if (ec) {
      co_return ec;
    }
  }
  if (parser.is_done()) {
    co_return boost::system::error_code();
  }
  if (bodyTimeout.has_value())
    stream.expires_after(*bodyTimeout);
  while (!parser.is_done()) {
    const auto [ec, n] =
        co_await bhttp::async_read_some(stream, buffer, parser, AsTuple);
    if (ec) {
      co_return ec;
    }
    if (memory != nullptr &&
        !memory->cover(parser.get().body().size(), clock::steadyNow())) {
      co_return memoryFull();
    }
  }
  co_return boost::system::error_code();
}

} // namespace orioletally::drivers::loop

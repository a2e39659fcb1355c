#include "drivers/loop/request_reader.h"

namespace orioletally::drivers::loop {

asio::awaitable<boost::system::error_code>
readRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer,
            RequestParser &parser, HeadCheck isRejected,
            std::optional<std::chrono::nanoseconds> bodyTimeout) {
  const auto [headError, headBytes] =
      co_await bhttp::async_read_header(stream, buffer, parser, AsTuple);
  if (headError) {
    co_return headError;
  }
  if (isRejected(parser.get())) {
    co_return bhttp::make_error_code(bhttp::error::bad_field);
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
  const auto [bodyError, bodyBytes] =
      co_await bhttp::async_read(stream, buffer, parser, AsTuple);
  co_return bodyError;
}

} // namespace orioletally::drivers::loop

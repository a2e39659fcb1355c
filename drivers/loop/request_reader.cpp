#include "drivers/loop/request_reader.h"

#include "drivers/clock/clock.h"

#include <string>
#include <string_view>

namespace orioletally::drivers::loop {

using core::limits::ReadOverrun;

namespace {

/// What a reader asks for when nothing is buffered.
constexpr size_t ReadBytes = 16 << 10;
/// Memory for a header field besides its text.
constexpr size_t FieldOverhead = 80;

/// Returns the error of a read that ended because \p buffer, which holds the
/// start of a chunk header or of the trailers, didn't grow.
boost::system::error_code overflowBehindHead(const ReadBuffer &buffer) {
  if (buffer.isRefused())
    return memoryFull();
  const auto data = buffer.data();
  std::string_view held(static_cast<const char *>(data.data()), data.size());
  // The end of the chunk before belongs to what follows it.
  if (held.starts_with("\r\n"))
    held.remove_prefix(2);
  return held.find('\n') == std::string_view::npos ? chunkHeaderTooLong()
                                                   : trailersTooLong();
}

bool coverFields(RequestMemory *memory, const bhttp::fields &fields) {
  return memory == nullptr ||
         memory->Head.cover(fieldBytes(fields), clock::steadyNow());
}

} // namespace

boost::system::error_code memoryFull() {
  return make_error_code(boost::system::errc::not_enough_memory);
}

boost::system::error_code trailersTooLong() {
  return make_error_code(boost::system::errc::message_size);
}

boost::system::error_code chunkHeaderTooLong() {
  return make_error_code(boost::system::errc::value_too_large);
}

std::string readErrorText(const boost::system::error_code &ec) {
  if (ec == trailersTooLong())
    return "trailers too long";
  if (ec == chunkHeaderTooLong())
    return "chunk header too long";
  return ec.message();
}

size_t readBufferBytes(size_t maxHeaderBytes) {
  return maxHeaderBytes + ReadBytes;
}

size_t fieldBytes(const bhttp::fields &fields) {
  size_t sum = 0;
  for (const auto &it : fields)
    sum += it.name_string().size() + it.value().size() + FieldOverhead;
  return sum;
}

std::optional<ReadOverrun> overrunOf(const boost::system::error_code &ec) {
  if (ec == bhttp::error::header_limit)
    return ReadOverrun::Head;
  if (ec == bhttp::error::body_limit)
    return ReadOverrun::Body;
  if (ec == beast::error::timeout)
    return ReadOverrun::Time;
  if (ec == trailersTooLong())
    return ReadOverrun::Trailers;
  if (ec == chunkHeaderTooLong())
    return ReadOverrun::ChunkHeader;
  return std::nullopt;
}

asio::awaitable<boost::system::error_code>
readRequest(beast::tcp_stream &stream, ReadBuffer &buffer,
            RequestParser &parser, HeadCheck isRejected,
            std::optional<std::chrono::nanoseconds> bodyTimeout,
            RequestMemory *memory) {
  const auto [headError, headBytes] =
      co_await bhttp::async_read_header(stream, buffer, parser, AsTuple);
  if (headError == bhttp::error::buffer_overflow && buffer.isRefused()) {
    co_return memoryFull();
  }
  if (headError) {
    co_return headError;
  }
  if (isRejected(parser.get())) {
    co_return bhttp::make_error_code(bhttp::error::bad_field);
  }
  if (!coverFields(memory, parser.get())) {
    co_return memoryFull();
  }
  if (memory != nullptr &&
      !memory->Body.cover(parser.content_length().value_or(0),
                          clock::steadyNow())) {
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
    if (ec == bhttp::error::buffer_overflow) {
      co_return overflowBehindHead(buffer);
    }
    if (ec) {
      co_return ec;
    }
    if (memory != nullptr &&
        !memory->Body.cover(parser.get().body().size(), clock::steadyNow())) {
      co_return memoryFull();
    }
  }
  // Trailers become header fields.
  if (!coverFields(memory, parser.get())) {
    co_return memoryFull();
  }
  co_return boost::system::error_code();
}

} // namespace orioletally::drivers::loop

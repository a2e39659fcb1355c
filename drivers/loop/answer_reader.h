#ifndef ORIOLETALLY_DRIVERS_LOOP_ANSWER_READER_H
#define ORIOLETALLY_DRIVERS_LOOP_ANSWER_READER_H

#include "drivers/loop/connection_end.h"
#include "drivers/loop/read_buffer.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace orioletally::drivers::loop {

/// Returns why an answer with \p head is malformed, although Beast's parser
/// accepts it; no error if it isn't.
boost::system::error_code checkAnswerHead(const bhttp::response_header<> &head);

/// Whether a line in \p head, a part of a message's head that ends with a line,
/// is continued on the next one. RFC 9112 lets a gateway refuse such an answer
/// (section 5.2). Parsers disagree about it: to some, the second line is a
/// field of its own.
bool hasFoldedLine(std::string_view head);

/// Returns space in \p buffer for the next read; empty if it is full or the
/// account has no memory.
std::optional<ReadBuffer::mutable_buffers_type> readSpace(ReadBuffer &buffer);

inline asio::ip::tcp::socket &socketOf(asio::ip::tcp::socket &stream) {
  return stream;
}
inline asio::ip::tcp::socket &socketOf(beast::tcp_stream &stream) {
  return stream.socket();
}

/// Reads one answer of a server and refuses what RFC 9112 doesn't allow. All
/// clients use it. \p Body is a body type of Beast.
template <typename Body> class AnswerReader {
public:
  using Parser = bhttp::response_parser<Body>;

  /// \p maxBodyBytes is empty for no limit. \p isHeadRequest is whether the
  /// request was a HEAD, whose answers have no body.
  AnswerReader(uint32_t maxHeadBytes, std::optional<uint64_t> maxBodyBytes,
               bool isHeadRequest = false)
      : MaxHeadBytes(maxHeadBytes), MaxBodyBytes(maxBodyBytes),
        IsHeadRequest(isHeadRequest) {}

  /// Reads the head of the final answer from \p stream; interim ones are
  /// skipped.
  template <typename Stream>
  asio::awaitable<boost::system::error_code> readHead(Stream &stream,
                                                      ReadBuffer &buffer);

  /// Reads a part of the body, after readHead(). A body that the end of its
  /// connection cuts off isn't complete.
  template <typename Stream>
  asio::awaitable<boost::system::error_code> readSome(Stream &stream,
                                                      ReadBuffer &buffer);

  /// Bytes of the answer and of interim ones that were read so far.
  uint64_t receivedBytes() const { return Received; }

  bool isDone() const { return Message->is_done(); }

  /// The answer; valid after readHead().
  auto &answer() { return Message->get(); }
  const Parser &parser() const { return *Message; }

private:
  /// Interim answers (1xx) accepted before the final one; servers send one or
  /// two.
  static constexpr int MaxInterimAnswers = 16;

  void reset();
  /// Reads one head, of an interim answer or the final one.
  template <typename Stream>
  asio::awaitable<boost::system::error_code> parseHead(Stream &stream,
                                                       ReadBuffer &buffer);

  uint32_t MaxHeadBytes;
  std::optional<uint64_t> MaxBodyBytes;
  bool IsHeadRequest;
  std::optional<Parser> Message;
  uint64_t Received = 0;
};

template <typename Body> void AnswerReader<Body>::reset() {
  Message.emplace();
  Message->header_limit(MaxHeadBytes);
  if (MaxBodyBytes.has_value())
    Message->body_limit(*MaxBodyBytes);
  else
    Message->body_limit(boost::none);
  Message->skip(IsHeadRequest);
}

template <typename Body>
template <typename Stream>
asio::awaitable<boost::system::error_code>
AnswerReader<Body>::readHead(Stream &stream, ReadBuffer &buffer) {
  for (int interim = 0; interim < MaxInterimAnswers; ++interim) {
    reset();
    const boost::system::error_code ec = co_await parseHead(stream, buffer);
    if (ec) {
      co_return ec;
    }
    const boost::system::error_code malformed = checkAnswerHead(answer());
    if (malformed) {
      co_return malformed;
    }
    if (bhttp::to_status_class(answer().result_int()) !=
        bhttp::status_class::informational) {
      co_return boost::system::error_code();
    }
  }
  co_return bhttp::make_error_code(bhttp::error::bad_status);
}

// Beast's own operation would take the bytes from the buffer before they can be
// checked.
template <typename Body>
template <typename Stream>
asio::awaitable<boost::system::error_code>
AnswerReader<Body>::parseHead(Stream &stream, ReadBuffer &buffer) {
  while (true) {
    if (buffer.size() > 0) {
      boost::system::error_code ec;
      const auto bytes = buffer.data();
      const size_t n = Message->put(bytes, ec);
      const bool isFolded =
          hasFoldedLine({static_cast<const char *>(bytes.data()), n});
      buffer.consume(n);
      Received += n;
      if (isFolded) {
        co_return bhttp::make_error_code(bhttp::error::bad_obs_fold);
      }
      if (ec != bhttp::error::need_more) {
        co_return ec;
      }
    }
    const auto space = readSpace(buffer);
    if (!space.has_value()) {
      co_return bhttp::make_error_code(bhttp::error::buffer_overflow);
    }
    const auto [ec, n] = co_await stream.async_read_some(*space, AsTuple);
    buffer.commit(n);
    if (ec == asio::error::eof) {
      co_return bhttp::make_error_code(Message->got_some()
                                           ? bhttp::error::partial_message
                                           : bhttp::error::end_of_stream);
    }
    if (ec) {
      co_return ec;
    }
  }
}

template <typename Body>
template <typename Stream>
asio::awaitable<boost::system::error_code>
AnswerReader<Body>::readSome(Stream &stream, ReadBuffer &buffer) {
  const auto [ec, n] =
      co_await bhttp::async_read_some(stream, buffer, *Message, AsTuple);
  Received += n;
  const bool isEndedByClose = !ec && isDone() && Message->need_eof();
  if (isEndedByClose && !hasClosedInOrder(socketOf(stream))) {
    co_return bhttp::make_error_code(bhttp::error::partial_message);
  }
  co_return ec;
}

} // namespace orioletally::drivers::loop

#endif

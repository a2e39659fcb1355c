#ifndef ORIOLETALLY_DRIVERS_LOOP_ANSWER_READER_H
#define ORIOLETALLY_DRIVERS_LOOP_ANSWER_READER_H

#include "drivers/loop/read_buffer.h"

#include <cstdint>
#include <optional>

namespace orioletally::drivers::loop {

/// Returns why an answer with \p head is malformed, although Beast's parser
/// accepts it; no error if it isn't.
boost::system::error_code checkAnswerHead(const bhttp::response_header<> &head);

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

  /// Reads a part of the body, after readHead().
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
    const auto [ec, n] =
        co_await bhttp::async_read_header(stream, buffer, *Message, AsTuple);
    Received += n;
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

template <typename Body>
template <typename Stream>
asio::awaitable<boost::system::error_code>
AnswerReader<Body>::readSome(Stream &stream, ReadBuffer &buffer) {
  const auto [ec, n] =
      co_await bhttp::async_read_some(stream, buffer, *Message, AsTuple);
  Received += n;
  co_return ec;
}

} // namespace orioletally::drivers::loop

#endif

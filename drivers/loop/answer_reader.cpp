#include "drivers/loop/answer_reader.h"

#include "drivers/loop/message_framing.h"

#include <stdexcept>

namespace orioletally::drivers::loop {

namespace {

constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;
constexpr size_t MaxReadBytes = 64 << 10;

} // namespace

boost::system::error_code
checkAnswerHead(const bhttp::response_header<> &head) {
  const unsigned status = head.result_int();
  // No call asks for another protocol.
  if (status < MinStatus || status > MaxStatus ||
      head.result() == bhttp::status::switching_protocols)
    return bhttp::make_error_code(bhttp::error::bad_status);
  // Transfer encodings came with HTTP/1.1.
  const bool isEncoded = head.count(bhttp::field::transfer_encoding) > 0;
  if (isFramingAmbiguous(head) ||
      (isEncoded && head.version() < FirstChunkedVersion))
    return bhttp::make_error_code(bhttp::error::bad_transfer_encoding);
  return {};
}

bool hasFoldedLine(std::string_view head) {
  for (size_t at = head.find('\n'); at != std::string_view::npos;
       at = head.find('\n', at + 1)) {
    const char next = at + 1 < head.size() ? head[at + 1] : '\0';
    if (next == ' ' || next == '\t')
      return true;
  }
  return false;
}

std::optional<ReadBuffer::mutable_buffers_type> readSpace(ReadBuffer &buffer) {
  const size_t n = beast::read_size(buffer, MaxReadBytes);
  if (n == 0)
    return std::nullopt;
  try {
    return buffer.prepare(n);
  } catch (const std::length_error &) {
    return std::nullopt;
  }
}

} // namespace orioletally::drivers::loop

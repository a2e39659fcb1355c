#include "drivers/loop/answer_reader.h"

namespace orioletally::drivers::loop {

namespace {

constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;

} // namespace

boost::system::error_code
checkAnswerHead(const bhttp::response_header<> &head) {
  const unsigned status = head.result_int();
  // No call asks for another protocol.
  if (status < MinStatus || status > MaxStatus ||
      head.result() == bhttp::status::switching_protocols)
    return bhttp::make_error_code(bhttp::error::bad_status);
  return {};
}

} // namespace orioletally::drivers::loop

#ifndef ORIOLETALLY_DRIVERS_LOOP_REQUEST_READER_H
#define ORIOLETALLY_DRIVERS_LOOP_REQUEST_READER_H

#include "core/limits/memory_account.h"
#include "core/limits/read_overruns.h"
#include "drivers/loop/asio_use.h"
#include "drivers/loop/read_buffer.h"

#include <chrono>
#include <optional>
#include <string>

namespace orioletally::drivers::loop {

using RequestParser = bhttp::request_parser<bhttp::string_body>;
using RequestMessage = bhttp::request<bhttp::string_body>;

/// Returns whether to reject a request because of its request line or headers.
using HeadCheck = bool (*)(const RequestMessage &head);

/// Memory that a request uses until its answer is complete.
struct RequestMemory {
  core::limits::MemoryGrant Head;
  core::limits::MemoryGrant Body;
};

/// Returns the limit on what a reader buffers: a head or trailers of
/// \p maxHeaderBytes and one more read.
size_t readBufferBytes(size_t maxHeaderBytes);

/// Returns the memory that header fields take when they are parsed.
size_t fieldBytes(const bhttp::fields &fields);

/// Returns which bound a read went over that failed with \p ec, if any.
std::optional<core::limits::ReadOverrun>
overrunOf(const boost::system::error_code &ec);

/// Reads one request into \p parser, whose limits the caller has set, and
/// answers "Expect: 100-continue". Returns bhttp::error::bad_field without
/// reading the body when \p isRejected returns true. \p bodyTimeout, if given,
/// replaces the stream's expiry before the body is read. \p memory, if given,
/// holds the header fields and the body: all of it before it is read if its
/// length is known, else as it arrives. Returns memoryFull() when memory is
/// refused, trailersTooLong() or chunkHeaderTooLong() when \p buffer can't hold
/// them.
asio::awaitable<boost::system::error_code>
readRequest(beast::tcp_stream &stream, ReadBuffer &buffer,
            RequestParser &parser, HeadCheck isRejected,
            std::optional<std::chrono::nanoseconds> bodyTimeout,
            RequestMemory *memory = nullptr);

/// The error of a message for which the process has no memory.
boost::system::error_code memoryFull();

/// The errors of a message whose trailers or chunk header exceed the buffer; no
/// operation of a TCP socket has them.
boost::system::error_code trailersTooLong();
boost::system::error_code chunkHeaderTooLong();

/// Returns the text that says why reading a request failed with \p ec.
std::string readErrorText(const boost::system::error_code &ec);

} // namespace orioletally::drivers::loop

#endif

#ifndef ORIOLETALLY_DRIVERS_LOOP_REQUEST_READER_H
#define ORIOLETALLY_DRIVERS_LOOP_REQUEST_READER_H

#include "core/limits/memory_account.h"
#include "drivers/loop/asio_use.h"

#include <chrono>
#include <optional>

namespace orioletally::drivers::loop {

using RequestParser = bhttp::request_parser<bhttp::string_body>;
using RequestMessage = bhttp::request<bhttp::string_body>;

/// Returns whether to reject a request because of its request line or headers.
using HeadCheck = bool (*)(const RequestMessage &head);

/// Reads one request into \p parser, whose limits the caller has set, and
/// answers "Expect: 100-continue". Returns bhttp::error::bad_field without
/// reading the body when \p isRejected returns true. \p bodyTimeout, if given,
/// replaces the stream's expiry before the body is read. \p memory, if given,
/// holds the body: all of it before it is read if its length is known, else as
/// it arrives. Returns memoryFull() when memory is refused.
asio::awaitable<boost::system::error_code>
readRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer,
            RequestParser &parser, HeadCheck isRejected,
            std::optional<std::chrono::nanoseconds> bodyTimeout,
            core::limits::MemoryGrant *memory = nullptr);

/// The error of a message for which the process has no memory.
boost::system::error_code memoryFull();

} // namespace orioletally::drivers::loop

#endif

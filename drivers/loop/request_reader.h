#ifndef ORIOLETALLY_DRIVERS_LOOP_REQUEST_READER_H
#define ORIOLETALLY_DRIVERS_LOOP_REQUEST_READER_H

#include "drivers/loop/asio_use.h"

#include <chrono>
#include <optional>

namespace orioletally::drivers::loop {

using RequestParser = bhttp::request_parser<bhttp::string_body>;
using RequestMessage = bhttp::request<bhttp::string_body>;

/// Whether a request is turned away for what its head says.
using HeadCheck = bool (*)(const RequestMessage &head);

/// Reads one request into \p parser, which has its limits, and tells a caller
/// that waits for leave to send its body to go on. Returns
/// bhttp::error::bad_field for a head that \p isRejected names; its body
/// isn't read. With \p bodyTimeout, the stream's expiry is set anew for the
/// body.
asio::awaitable<boost::system::error_code>
readRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer,
            RequestParser &parser, HeadCheck isRejected,
            std::optional<std::chrono::nanoseconds> bodyTimeout);

} // namespace orioletally::drivers::loop

#endif

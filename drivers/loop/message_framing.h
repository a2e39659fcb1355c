#ifndef ORIOLETALLY_DRIVERS_LOOP_MESSAGE_FRAMING_H
#define ORIOLETALLY_DRIVERS_LOOP_MESSAGE_FRAMING_H

#include "drivers/loop/asio_use.h"

namespace orioletally::drivers::loop {

/// HTTP/1.1, the first version with chunked encoding. Before it, the end of the
/// connection ends a streamed body.
constexpr unsigned FirstChunkedVersion = 11;

/// Whether two HTTP parsers could disagree about where the body of a message
/// with these headers ends: repeated Content-Length or Transfer-Encoding, both
/// together, or a transfer encoding other than chunked.
bool isFramingAmbiguous(const bhttp::fields &fields);

} // namespace orioletally::drivers::loop

#endif

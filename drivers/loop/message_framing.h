#ifndef ORIOLETALLY_DRIVERS_LOOP_MESSAGE_FRAMING_H
#define ORIOLETALLY_DRIVERS_LOOP_MESSAGE_FRAMING_H

#include "drivers/loop/asio_use.h"

namespace orioletally::drivers::loop {

/// Whether two readers could find different ends of the body of a message with
/// these headers: two lengths, a length beside chunks, an unknown encoding.
bool isFramingAmbiguous(const bhttp::fields &fields);

} // namespace orioletally::drivers::loop

#endif

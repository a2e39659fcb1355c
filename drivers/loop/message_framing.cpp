#include "drivers/loop/message_framing.h"

namespace orioletally::drivers::loop {

bool isFramingAmbiguous(const bhttp::fields &fields) {
  const size_t lengths = fields.count(bhttp::field::content_length);
  const size_t encodings = fields.count(bhttp::field::transfer_encoding);
  if (lengths + encodings > 1)
    return true;
  return encodings == 1 &&
         !beast::iequals(fields[bhttp::field::transfer_encoding], "chunked");
}

} // namespace orioletally::drivers::loop

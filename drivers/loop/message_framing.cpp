#include "drivers/loop/message_framing.h"

namespace orioletally::drivers::loop {

bool isFramingAmbiguous(const bhttp::fields &fields) {
  const auto encoding = fields[bhttp::field::transfer_encoding];
  if (!encoding.empty() && !beast::iequals(encoding, "chunked"))
    return true;
  if (fields.count(bhttp::field::content_length) > 1 ||
      fields.count(bhttp::field::transfer_encoding) > 1)
    return true;
  return !encoding.empty() && fields.count(bhttp::field::content_length) > 0;
}

} // namespace orioletally::drivers::loop

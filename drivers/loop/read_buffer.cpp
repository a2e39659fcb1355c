#include "drivers/loop/read_buffer.h"

#include "drivers/clock/clock.h"

#include <algorithm>
#include <stdexcept>

namespace orioletally::drivers::loop {

void ReadBuffer::setMaxBytes(size_t maxBytes) {
  Bytes.max_size(std::max(maxBytes, Bytes.size()));
}

ReadBuffer::mutable_buffers_type ReadBuffer::prepare(size_t n) {
  const size_t held = Bytes.size();
  if (IsAccounted && n > Bytes.capacity() - held) {
    // flat_buffer doubles its capacity when it grows.
    const size_t wanted =
        std::min(Bytes.max_size(), std::max(2 * held, held + n));
    IsRefused = !Grant.cover(wanted, clock::steadyNow());
    if (IsRefused)
      throw std::length_error("no memory for what a connection receives");
  }
  return Bytes.prepare(n);
}

void ReadBuffer::releaseIfEmpty() {
  if (Bytes.size() > 0)
    return;
  Bytes.clear();
  Bytes.shrink_to_fit();
  Grant.release();
}

} // namespace orioletally::drivers::loop

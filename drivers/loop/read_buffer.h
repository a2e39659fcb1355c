#ifndef ORIOLETALLY_DRIVERS_LOOP_READ_BUFFER_H
#define ORIOLETALLY_DRIVERS_LOOP_READ_BUFFER_H

#include "core/limits/memory_account.h"
#include "drivers/loop/asio_use.h"

namespace orioletally::drivers::loop {

/// Bytes that a connection has received and that its parser hasn't taken yet,
/// for use as a dynamic buffer of Beast. A parser takes a head, the header of a
/// chunk or the trailers only as a whole, so this is what bounds them. All
/// readers of connections use it instead of beast::flat_buffer.
class ReadBuffer {
public:
  using const_buffers_type = beast::flat_buffer::const_buffers_type;
  using mutable_buffers_type = beast::flat_buffer::mutable_buffers_type;

  /// Holds at most \p maxBytes.
  explicit ReadBuffer(size_t maxBytes) : Bytes(maxBytes) {}
  /// Asks \p account before it allocates memory.
  ReadBuffer(size_t maxBytes, core::limits::MemoryAccount &account,
             core::limits::MemoryUse use)
      : Bytes(maxBytes), IsAccounted(true), Grant(account, use) {}

  /// Changes the limit; bytes beyond it that are held already stay.
  void setMaxBytes(size_t maxBytes);

  /// Whether the account has refused the last growth.
  bool isRefused() const { return IsRefused; }

  size_t size() const { return Bytes.size(); }
  // NOLINTNEXTLINE(readability-identifier-naming): the name that Beast calls.
  size_t max_size() const { return Bytes.max_size(); }
  size_t capacity() const { return Bytes.capacity(); }
  const_buffers_type data() const { return Bytes.data(); }

  /// Throws std::length_error if the limit or the account allows no \p n
  /// further bytes; Beast turns it into http::error::buffer_overflow.
  mutable_buffers_type prepare(size_t n);
  void commit(size_t n) { Bytes.commit(n); }
  void consume(size_t n) { Bytes.consume(n); }
  void clear() { Bytes.clear(); }

  /// Frees the memory if the buffer is empty.
  void releaseIfEmpty();

private:
  beast::flat_buffer Bytes;
  bool IsAccounted = false;
  bool IsRefused = false;
  core::limits::MemoryGrant Grant;
};

} // namespace orioletally::drivers::loop

#endif

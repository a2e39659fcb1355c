#ifndef ORIOLETALLY_DRIVERS_LOOP_EVENT_LOOP_H
#define ORIOLETALLY_DRIVERS_LOOP_EVENT_LOOP_H

#include "drivers/loop/asio_use.h"

namespace orioletally::drivers::loop {

/// The event loop that a node runs on, with one thread.
class EventLoop : public asio::io_context {
public:
  EventLoop() : asio::io_context(1) {}

  /// Destroys what still waits on the loop, while everything that it refers to
  /// is there. Nothing runs on the loop afterwards.
  void end() { shutdown(); }
};

} // namespace orioletally::drivers::loop

#endif

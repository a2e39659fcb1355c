#ifndef ORIOLETALLY_DRIVERS_LOOP_EVENT_LOOP_H
#define ORIOLETALLY_DRIVERS_LOOP_EVENT_LOOP_H

#include "drivers/loop/asio_use.h"

namespace orioletally::drivers::loop {

/// The event loop of a node, run by a single thread.
class EventLoop : public asio::io_context {
public:
  EventLoop() : asio::io_context(1) {}

  /// Destroys the pending handlers and coroutines; call it while the objects
  /// that they refer to still exist. Nothing runs on the loop afterwards.
  void end() { shutdown(); }
};

} // namespace orioletally::drivers::loop

#endif

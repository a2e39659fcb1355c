#ifndef ORIOLETALLY_DRIVERS_RELAY_START_GATE_H
#define ORIOLETALLY_DRIVERS_RELAY_START_GATE_H

#include "core/relay/start_wait.h"
#include "drivers/loop/asio_use.h"

#include <list>

namespace orioletally::drivers::relay {

/// Where calls wait while a node that has just started reads what it must know
/// to serve them.
class StartGate {
public:
  StartGate(asio::io_context &loop, absl::Time now) : Loop(loop), Wait(now) {}

  /// Returns once the gate is open or waiting is no longer worth it for a call
  /// whose caller waits for \p callerTimeout; at once when it is open.
  asio::awaitable<void> pass(absl::Duration callerTimeout);

  /// Lets all calls through, those that come later as well.
  void open();

private:
  asio::io_context &Loop;
  core::relay::StartWait Wait;
  std::list<asio::steady_timer> WaitTimers;
};

} // namespace orioletally::drivers::relay

#endif

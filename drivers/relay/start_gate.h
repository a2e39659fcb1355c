#ifndef ORIOLETALLY_DRIVERS_RELAY_START_GATE_H
#define ORIOLETALLY_DRIVERS_RELAY_START_GATE_H

#include "core/relay/start_wait.h"
#include "drivers/loop/asio_use.h"

#include <list>

namespace orioletally::drivers::relay {

/// Delays calls while a node that has just started reads its configuration and
/// the backend servers.
class StartGate {
public:
  StartGate(asio::io_context &loop, absl::Time now) : Loop(loop), Wait(now) {}

  /// Returns immediately when the gate is open, otherwise when it opens or when
  /// core::relay::StartWait's limit for a call with \p callerTimeout is
  /// reached.
  asio::awaitable<void> pass(absl::Duration callerTimeout);

  /// Lets all waiting and later calls through.
  void open();

private:
  asio::io_context &Loop;
  core::relay::StartWait Wait;
  std::list<asio::steady_timer> WaitTimers;
};

} // namespace orioletally::drivers::relay

#endif

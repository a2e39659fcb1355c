#ifndef ORIOLETALLY_DRIVERS_LOOP_LOOP_MONITOR_H
#define ORIOLETALLY_DRIVERS_LOOP_LOOP_MONITOR_H

#include "core/loop/turn_log.h"
#include "drivers/loop/asio_use.h"

#include <absl/time/time.h>

namespace orioletally::drivers::loop {

/// Measures how long the works of an event loop keep everything else waiting.
/// Each loop has one; all calls come from its thread.
class LoopMonitor : public asio::execution_context::service {
public:
  using key_type = LoopMonitor;
  static asio::execution_context::id id;

  explicit LoopMonitor(asio::execution_context &loop)
      : asio::execution_context::service(loop) {}

  static LoopMonitor &of(asio::io_context &loop) {
    return asio::use_service<LoopMonitor>(loop);
  }

  /// Measures one work from its construction to its destruction. Must not live
  /// across a co_await.
  class Scope {
  public:
    Scope(asio::io_context &loop, core::loop::LoopWork work);
    ~Scope();
    Scope(const Scope &) = delete;
    Scope &operator=(const Scope &) = delete;

  private:
    LoopMonitor &Monitor;
    core::loop::LoopWork Work;
    absl::Time Since;
    absl::Duration ProcessorTime;
  };

  /// Records that a timer due at \p dueAt fired, and writes what there is to
  /// report. Called periodically.
  void timerFired(absl::Time dueAt);

  const core::loop::TurnLog &turns() const { return Turns; }

private:
  void shutdown() override {}

  core::loop::TurnLog Turns;
  /// Processor time of the thread when the timer last fired.
  absl::Duration LastProcessorTime = absl::ZeroDuration();
};

} // namespace orioletally::drivers::loop

#endif

#include "drivers/loop/loop_monitor.h"

#include "drivers/clock/clock.h"
#include "drivers/log/log.h"

#include <utility>

namespace orioletally::drivers::loop {

using core::loop::LoopTurn;
using core::loop::LoopWork;

asio::execution_context::id LoopMonitor::id;

LoopMonitor::Scope::Scope(asio::io_context &loop, LoopWork work)
    : Monitor(of(loop)), Work(work), Since(clock::steadyNow()),
      ProcessorTime(clock::threadProcessorTime()) {}

LoopMonitor::Scope::~Scope() {
  Monitor.Turns.record({Work, clock::steadyNow() - Since,
                        clock::threadProcessorTime() - ProcessorTime});
}

void LoopMonitor::timerFired(absl::Time dueAt) {
  const absl::Time now = clock::steadyNow();
  const absl::Duration used = clock::threadProcessorTime();
  Turns.record({LoopWork::Other, now - dueAt,
                used - std::exchange(LastProcessorTime, used)});
  const std::optional<LoopTurn> turn = Turns.takeReport(now);
  if (!turn.has_value())
    return;
  log::write(
      log::Level::Warn, "loop_stall",
      {{"work", core::loop::loopWorkName(turn->Work)},
       {"loop_stall_ms", absl::ToInt64Milliseconds(turn->Time)},
       {"processor_ms", absl::ToDoubleMilliseconds(turn->ProcessorTime)}});
}

} // namespace orioletally::drivers::loop

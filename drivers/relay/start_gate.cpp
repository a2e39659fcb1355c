#include "drivers/relay/start_gate.h"

#include "drivers/clock/clock.h"

namespace orioletally::drivers::relay {

asio::awaitable<void> StartGate::pass(absl::Duration callerTimeout) {
  const absl::Time now = clock::steadyNow();
  const absl::Time until = Wait.waitUntil(now, callerTimeout);
  if (until <= now)
    co_return;
  const auto timer = WaitTimers.emplace(WaitTimers.end(), Loop);
  timer->expires_at(clock::waitDeadline(until, now));
  co_await timer->async_wait(loop::AsTuple);
  WaitTimers.erase(timer);
}

void StartGate::open() {
  if (Wait.isOver())
    return;
  Wait.end();
  for (asio::steady_timer &it : WaitTimers)
    it.cancel();
}

} // namespace orioletally::drivers::relay

#include "drivers/relay/start_gate.h"

#include "drivers/clock/clock.h"

namespace orioletally::drivers::relay {

asio::awaitable<void> StartGate::pass(absl::Duration patience) {
  const absl::Time now = clock::steadyNow();
  const absl::Time until = Wait.waitUntil(now, patience);
  if (until <= now)
    co_return;
  const auto timer = Waiting.emplace(Waiting.end(), Loop);
  timer->expires_at(clock::waitPoint(until, now));
  co_await timer->async_wait(loop::AsTuple);
  Waiting.erase(timer);
}

void StartGate::open() {
  if (Wait.isOver())
    return;
  Wait.end();
  for (asio::steady_timer &it : Waiting)
    it.cancel();
}

} // namespace orioletally::drivers::relay

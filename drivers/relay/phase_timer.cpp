#include "drivers/relay/phase_timer.h"

#include "drivers/clock/clock.h"

namespace orioletally::drivers::relay {

void PhaseTimer::setEnd(absl::Time end) {
  End = end;
  if (End < ExpiresAt)
    arm();
}

void PhaseTimer::arm() {
  ExpiresAt = End;
  if (ExpiresAt == absl::InfiniteFuture())
    return;
  Timer.expires_at(clock::waitDeadline(ExpiresAt, clock::steadyNow()));
  Timer.async_wait(
      [this, alive = std::weak_ptr<char>(Alive)](boost::system::error_code ec) {
        if (!ec && !alive.expired())
          onExpiry();
      });
}

void PhaseTimer::onExpiry() {
  ExpiresAt = absl::InfiniteFuture();
  const absl::Time now = clock::steadyNow();
  if (now < End) {
    arm();
    return;
  }
  End = absl::InfiniteFuture();
  OnEnd(now);
}

} // namespace orioletally::drivers::relay

#ifndef ORIOLETALLY_DRIVERS_RELAY_PHASE_TIMER_H
#define ORIOLETALLY_DRIVERS_RELAY_PHASE_TIMER_H

#include "drivers/loop/asio_use.h"

#include <absl/time/time.h>
#include <functional>
#include <memory>

namespace orioletally::drivers::relay {

/// Calls a handler when a wait has lasted too long. Setting a later end, which
/// happens at each event of a stream, needs no operation on the event loop's
/// timers.
class PhaseTimer {
public:
  using Handler = std::function<void(absl::Time now)>;

  PhaseTimer(asio::io_context &loop, Handler onEnd)
      : Timer(loop), OnEnd(std::move(onEnd)), Alive(std::make_shared<char>()) {}

  /// Sets when the wait in progress ends; infinite future for never.
  void setEnd(absl::Time end);

private:
  void arm();
  void onExpiry();

  asio::steady_timer Timer;
  Handler OnEnd;
  absl::Time End = absl::InfiniteFuture();
  /// When Timer was last set to expire: at End, or earlier if End was put off
  /// since. Infinite while it isn't armed.
  absl::Time ExpiresAt = absl::InfiniteFuture();
  /// Expires with this object, for handlers that are queued by then.
  std::shared_ptr<char> Alive;
};

} // namespace orioletally::drivers::relay

#endif

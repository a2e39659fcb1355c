#include "drivers/clock/clock.h"

#include <absl/time/clock.h>
#include <algorithm>
#include <ctime>

namespace orioletally::drivers::clock {

namespace {
constexpr absl::Duration MaxWait = absl::Hours(1);
} // namespace

absl::Time steadyNow() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return absl::TimeFromTimespec(ts);
}

absl::Duration threadProcessorTime() {
  timespec ts{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
  return absl::DurationFromTimespec(ts);
}

absl::Time wallNow() { return absl::Now(); }

std::chrono::steady_clock::time_point waitDeadline(absl::Time until,
                                                   absl::Time now) {
  const absl::Duration wait =
      std::clamp(until - now, absl::ZeroDuration(), MaxWait);
  return std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(wait);
}

} // namespace orioletally::drivers::clock

#ifndef ORIOLETALLY_DRIVERS_CLOCK_CLOCK_H
#define ORIOLETALLY_DRIVERS_CLOCK_CLOCK_H

#include <absl/time/time.h>
#include <chrono>

namespace orioletally::drivers::clock {

/// Time that never jumps and goes on while the VM is suspended. Only its
/// differences mean anything.
absl::Time steadyNow();

/// The time of day, for people and for the audit trail only.
absl::Time wallNow();

/// Returns the point of std::chrono::steady_clock that lies as far ahead as
/// \p until lies ahead of \p now; a wait for longer than an hour is cut.
std::chrono::steady_clock::time_point waitDeadline(absl::Time until,
                                                   absl::Time now);

} // namespace orioletally::drivers::clock

#endif

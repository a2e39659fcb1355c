#ifndef ORIOLETALLY_DRIVERS_CLOCK_CLOCK_H
#define ORIOLETALLY_DRIVERS_CLOCK_CLOCK_H

#include <absl/time/time.h>
#include <chrono>

namespace orioletally::drivers::clock {

/// Monotonic time, which also advances while the VM is suspended. Only
/// differences between two values are meaningful.
absl::Time steadyNow();

/// Processor time that the calling thread has used.
absl::Duration threadProcessorTime();

/// Wall-clock time, which can jump: only for timestamps that people read, the
/// audit trail and the incarnation of a process.
absl::Time wallNow();

/// Converts a deadline to std::chrono::steady_clock: returns the time that is
/// as far in the future as \p until is after \p now, limited to between zero
/// and one hour.
std::chrono::steady_clock::time_point waitDeadline(absl::Time until,
                                                   absl::Time now);

} // namespace orioletally::drivers::clock

#endif

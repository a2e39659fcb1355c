#ifndef ORIOLETALLY_CORE_RELAY_ATTEMPT_POLICY_H
#define ORIOLETALLY_CORE_RELAY_ATTEMPT_POLICY_H

#include "core/errors/request_error.h"
#include "core/fleet/backend_health.h"
#include "core/routes/routing_config.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string_view>

namespace orioletally::core::relay {

/// How one attempt at one backend server ended.
enum class AttemptEnd {
  /// A whole answer of success, or one that counts as the caller's own error.
  Answered,
  /// A whole answer that reports a failure of the backend server.
  Failed,
  /// The backend server said that it didn't execute the call.
  Refused,
  /// Another backend server has the address, or another start of the same.
  WrongBackend,
  /// Nothing was written.
  NotSent,
  /// Nothing was written because memory couldn't be reserved.
  NoMemory,
  /// The connection broke after the call was written.
  Broken,
  /// No byte came for too long.
  Stalled,
  /// What came isn't an answer to this call.
  Garbled,
  /// The call's time is over.
  OutOfTime,
  /// The caller has left.
  CallerGone,
};

/// Returns the name of \p end in logs and metrics.
std::string_view attemptEndName(AttemptEnd end);

/// Whether the call may have been executed in an attempt that ended so.
bool mayHaveRun(AttemptEnd end);

/// What \p end says of the backend server's health; empty for nothing.
std::optional<fleet::HealthSignal> healthSign(AttemptEnd end);

/// A call's attempts so far.
struct CallProgress {
  /// Backend servers that the call was sent to.
  int64_t Sent = 0;
  /// Whether any of them may have executed it.
  bool MayHaveRun = false;
  /// Whether bytes of an answer have been given to the caller.
  bool Delivered = false;
  absl::Time Deadline;
};

/// What follows an attempt.
enum class NextStep {
  /// Try another backend server.
  Retry,
  /// Give the caller the backend server's answer.
  PassOn,
  /// Give the caller an answer of our own.
  GiveUp,
  /// Break off the answer that the caller has a part of.
  BreakOff,
};

/// Decides what follows an attempt at a call of \p route that ended with
/// \p end, but for the budget of retries.
NextStep nextStep(const routes::Route &route, const CallProgress &progress,
                  AttemptEnd end, absl::Time now);

/// The final answer of a call that is given up. It says "not run" only where
/// no attempt may have been executed.
errors::RequestError giveUpError(const CallProgress &progress, AttemptEnd end,
                                 absl::Duration comeBackIn);

} // namespace orioletally::core::relay

#endif

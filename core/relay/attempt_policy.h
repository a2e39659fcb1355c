#ifndef ORIOLETALLY_CORE_RELAY_ATTEMPT_POLICY_H
#define ORIOLETALLY_CORE_RELAY_ATTEMPT_POLICY_H

#include "core/errors/request_error.h"
#include "core/fleet/backend_health.h"
#include "core/relay/call_head.h"
#include "core/routes/routing_config.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string_view>

namespace orioletally::core::relay {

/// How one attempt at one backend server ended.
enum class AttemptEnd {
  /// A complete answer that reports success or an error of the caller.
  Answered,
  /// A complete answer that reports a failure of the backend server.
  Failed,
  /// The backend server answered that it didn't execute the call.
  Refused,
  /// The address belongs to another backend server or to a later start of the
  /// same one.
  WrongBackend,
  /// Nothing was written.
  NotSent,
  /// Nothing was written because memory couldn't be reserved.
  NoMemory,
  /// The connection broke after the call was written, or the stream ended
  /// inside an event.
  Broken,
  /// No event or answer arrived within the silence timeout, and another
  /// attempt was answered first; or the prompt hadn't begun when its reserved
  /// memory had to be released.
  Stalled,
  /// The received bytes aren't an answer to this call.
  Garbled,
  /// The call's deadline has passed.
  OutOfTime,
  /// The caller has disconnected.
  CallerGone,
  /// Another attempt at the same call was answered first.
  Superseded,
  /// The same, before anything was written.
  Withdrawn,
  /// The answer exceeded the memory that this node had left for it.
  TooLarge,
  /// The backend server doesn't meet a condition that the caller set. Says
  /// nothing about other calls.
  ConditionNotMet,
  /// Nothing was written because the availability zone of the backend server or
  /// of a helper was evacuated meanwhile. Says nothing about their health.
  Evacuated,
};

/// Returns the name of \p end in logs and metrics.
std::string_view attemptEndName(AttemptEnd end);

/// Whether the request of an attempt that ended with \p end was written, at
/// least in part.
bool wasSent(AttemptEnd end);

/// Whether an attempt that ended with \p end may have executed the call.
bool mayHaveRun(AttemptEnd end);

/// Returns what \p end indicates about the backend server's health; empty if it
/// indicates nothing.
std::optional<fleet::HealthSignal> healthSignal(AttemptEnd end);

/// Returns how an attempt at the backend server \p expected ended that was
/// answered with "wrong backend server": WrongBackend if another one answered,
/// ConditionNotMet if the one that was meant did. \p hasCondition tells whether
/// the caller set a condition that is answered in the same way.
AttemptEnd wrongBackendEnd(const AnswerHead &answer, std::string_view expected,
                           bool hasCondition);

/// The state of a call's attempts so far.
struct CallProgress {
  /// Number of backend servers that the call was sent to.
  int64_t Sent = 0;
  /// Whether any of them may have executed it.
  bool MayHaveRun = false;
  /// Number of attempts in progress.
  int64_t InProgress = 0;
  /// Whether one of those may still be answered in time; the others are silent.
  bool IsAnswering = false;
  /// Whether a backend server that the call was sent to may be asked again,
  /// because its attempt ended only since another was answered first.
  bool MayReturn = false;
  /// Whether bytes of an answer have been written to the caller.
  bool Delivered = false;
  absl::Time Deadline;
};

/// What to do after an attempt.
enum class NextStep {
  /// Try another backend server.
  Retry,
  /// Wait for the attempts that are still in progress.
  Wait,
  /// Write the backend server's answer to the caller.
  ForwardAnswer,
  /// Write this node's own error to the caller.
  GiveUp,
  /// Abort the answer that was partly written to the caller.
  AbortAnswer,
};

/// Returns what to do after an attempt at a call of \p route ended in \p end.
/// \p progress counts that attempt as sent, no longer as in progress.
/// Doesn't consider the retry budget.
NextStep nextStep(const routes::Route &route, const CallProgress &progress,
                  AttemptEnd end, absl::Time now);

/// Whether another attempt at a call of \p route may begin beside those in
/// progress, because one of them is silent. Doesn't consider the retry budget.
bool mayOverlap(const routes::Route &route, const CallProgress &progress,
                absl::Time now);

/// Returns the error that ends a call without an answer. It reports "not run"
/// only if no attempt may have been executed.
errors::RequestError giveUpError(const CallProgress &progress, AttemptEnd end,
                                 absl::Duration retryAfter);

} // namespace orioletally::core::relay

#endif

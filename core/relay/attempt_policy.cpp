#include "core/relay/attempt_policy.h"

#include <array>
#include <fmt/format.h>

namespace orioletally::core::relay {

namespace {

constexpr std::array<std::string_view, 16> EndNames = {
    "answered",      "failed",      "refused",
    "wrong_backend", "not_sent",    "no_memory",
    "broken",        "stalled",     "garbled",
    "out_of_time",   "caller_gone", "superseded",
    "withdrawn",     "too_large",   "condition_not_met",
    "evacuated"};

/// No attempt is retried with less time than this before the deadline: about
/// one round trip between availability zones and the work of a short call.
constexpr absl::Duration MinRetryTime = absl::Milliseconds(40);

bool isSafeToResend(const routes::Route &route, AttemptEnd end) {
  return route.mayRepeat() || !mayHaveRun(end);
}

bool mayBeginAttempt(const routes::Route &route, const CallProgress &progress,
                     absl::Time now) {
  return !progress.IsAnswering && now + MinRetryTime < progress.Deadline &&
         (progress.MayReturn ||
          progress.Sent + progress.InProgress < route.MaxAttempts);
}

} // namespace

std::string_view attemptEndName(AttemptEnd end) {
  return EndNames[static_cast<size_t>(end)];
}

bool wasSent(AttemptEnd end) {
  return end != AttemptEnd::NotSent && end != AttemptEnd::NoMemory &&
         end != AttemptEnd::Withdrawn && end != AttemptEnd::Evacuated;
}

bool mayHaveRun(AttemptEnd end) {
  switch (end) {
  case AttemptEnd::Refused:
  case AttemptEnd::WrongBackend:
  case AttemptEnd::NotSent:
  case AttemptEnd::NoMemory:
  case AttemptEnd::Withdrawn:
  case AttemptEnd::ConditionNotMet:
  case AttemptEnd::Evacuated:
    return false;
  default:
    return true;
  }
}

std::optional<fleet::HealthSignal> healthSignal(AttemptEnd end) {
  switch (end) {
  case AttemptEnd::Answered:
    return fleet::HealthSignal::Good;
  case AttemptEnd::Failed:
  case AttemptEnd::Garbled:
  case AttemptEnd::TooLarge:
    return fleet::HealthSignal::Failed;
  case AttemptEnd::Refused:
    return fleet::HealthSignal::Full;
  case AttemptEnd::NotSent:
  case AttemptEnd::Broken:
  case AttemptEnd::Stalled:
    return fleet::HealthSignal::Lost;
  default:
    return std::nullopt;
  }
}

AttemptEnd wrongBackendEnd(const AnswerHead &answer, std::string_view expected,
                           bool hasCondition) {
  if (!answer.BackendId.empty())
    return answer.BackendId == expected ? AttemptEnd::ConditionNotMet
                                        : AttemptEnd::WrongBackend;
  if (!answer.FaultyBackend.empty() && answer.FaultyBackend != expected)
    return AttemptEnd::WrongBackend;
  return hasCondition ? AttemptEnd::ConditionNotMet : AttemptEnd::WrongBackend;
}

NextStep nextStep(const routes::Route &route, const CallProgress &progress,
                  AttemptEnd end, absl::Time now) {
  const bool isOver = end == AttemptEnd::OutOfTime ||
                      end == AttemptEnd::CallerGone ||
                      end == AttemptEnd::Answered;
  const bool canRetry = !isOver && isSafeToResend(route, end) &&
                        mayBeginAttempt(route, progress, now);
  if (canRetry)
    return NextStep::Retry;
  if (!isOver && progress.InProgress > 0)
    return NextStep::Wait;
  if (progress.Delivered)
    return end == AttemptEnd::Answered ? NextStep::ForwardAnswer
                                       : NextStep::AbortAnswer;
  if (end == AttemptEnd::Answered || end == AttemptEnd::Failed)
    return NextStep::ForwardAnswer;
  return NextStep::GiveUp;
}

bool mayOverlap(const routes::Route &route, const CallProgress &progress,
                absl::Time now) {
  return route.mayRepeat() && mayBeginAttempt(route, progress, now);
}

errors::RequestError giveUpError(const CallProgress &progress, AttemptEnd end,
                                 absl::Duration retryAfter) {
  using errors::ErrorCode;
  using errors::RunState;
  const std::string rule =
      fmt::format("attempts sent: {}, end of the last attempt: {}",
                  progress.Sent, attemptEndName(end));
  if (!progress.MayHaveRun) {
    const bool isUnreachable =
        end == AttemptEnd::NotSent || end == AttemptEnd::Evacuated;
    const ErrorCode code =
        isUnreachable ? ErrorCode::NoBackend : ErrorCode::Overloaded;
    return errors::RequestErrorBuilder(code,
                                       "no backend server accepted the request")
        .run(RunState::NotRun)
        .rule(rule)
        .retryAfterMs(absl::ToInt64Milliseconds(retryAfter))
        .build();
  }
  const ErrorCode code = end == AttemptEnd::OutOfTime
                             ? ErrorCode::DeadlineExceeded
                             : ErrorCode::BackendFailed;
  return errors::RequestErrorBuilder(code, "the request may have been executed")
      .run(RunState::Unknown)
      .rule(rule)
      .build();
}

} // namespace orioletally::core::relay

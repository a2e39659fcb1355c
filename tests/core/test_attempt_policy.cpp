#include "core/relay/attempt_policy.h"
#include "core/relay/silence_timeout.h"
#include "tests/support/request_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace orioletally::core::relay;
using namespace orioletally::core;
using orioletally::tests::at;
using routes::Route;
using routes::RouteKind;

TEST_GROUP(AttemptPolicy) {
  Route route;
  CallProgress progress;

  void setup() override {
    route.Kind = RouteKind::Idempotent;
    route.MaxAttempts = 2;
    progress.Sent = 1;
    progress.Deadline = at(1'000);
  }

  NextStep next(RouteKind kind, AttemptEnd end) {
    route.Kind = kind;
    return nextStep(route, progress, end, at(0));
  }
};

TEST(AttemptPolicy, RetriesAttemptsThatMayHaveRunOnlyIfTheRouteAllows) {
  for (const AttemptEnd end : {AttemptEnd::Failed, AttemptEnd::Broken,
                               AttemptEnd::Stalled, AttemptEnd::Garbled}) {
    CHECK(next(RouteKind::Idempotent, end) == NextStep::Retry);
    CHECK(next(RouteKind::NonIdempotent, end) != NextStep::Retry);
    CHECK(next(RouteKind::Streaming, end) != NextStep::Retry);
    route.Resumable = true;
    CHECK(next(RouteKind::Streaming, end) == NextStep::Retry);
    CHECK(next(RouteKind::NonIdempotent, end) != NextStep::Retry);
    route.Resumable = false;
  }
}

TEST(AttemptPolicy, RetriesAttemptsThatDidNotRunForAnyRouteKind) {
  for (const AttemptEnd end :
       {AttemptEnd::Refused, AttemptEnd::WrongBackend, AttemptEnd::NotSent})
    for (const RouteKind kind :
         {RouteKind::Idempotent, RouteKind::NonIdempotent,
          RouteKind::Streaming})
      CHECK(next(kind, end) == NextStep::Retry);
}

TEST(AttemptPolicy, GivesUpAtTheAttemptLimitAndNearTheDeadline) {
  progress.Sent = 2;
  CHECK(next(RouteKind::Idempotent, AttemptEnd::Broken) == NextStep::GiveUp);
  progress.Sent = 1;
  progress.Deadline = at(30);
  CHECK(next(RouteKind::Idempotent, AttemptEnd::Broken) == NextStep::GiveUp);
}

TEST(AttemptPolicy, ForwardsTheAnswerIfTheCallIsNotRetried) {
  CHECK(next(RouteKind::NonIdempotent, AttemptEnd::Failed) ==
        NextStep::ForwardAnswer);
  CHECK(next(RouteKind::NonIdempotent, AttemptEnd::Answered) ==
        NextStep::ForwardAnswer);
}

// One caller's condition must not speak for the backend server as a whole.
TEST(AttemptPolicy, ConditionOfACallerIsNotTakenForAnotherBackendServer) {
  struct Case {
    const char *BackendId;
    const char *Faulty;
    bool HasCondition;
    AttemptEnd End;
  };
  for (const Case &it : {Case{"a", "", false, AttemptEnd::ConditionNotMet},
                         Case{"a", "b", true, AttemptEnd::ConditionNotMet},
                         Case{"b", "a", true, AttemptEnd::WrongBackend},
                         Case{"", "b", true, AttemptEnd::WrongBackend},
                         Case{"", "a", true, AttemptEnd::ConditionNotMet},
                         Case{"", "a", false, AttemptEnd::WrongBackend},
                         Case{"", "", true, AttemptEnd::ConditionNotMet},
                         Case{"", "", false, AttemptEnd::WrongBackend}}) {
    AnswerHead answer;
    answer.BackendId = it.BackendId;
    answer.FaultyBackend = it.Faulty;
    CHECK(wrongBackendEnd(answer, "a", it.HasCondition) == it.End);
  }
  CHECK_FALSE(mayHaveRun(AttemptEnd::ConditionNotMet));
  CHECK_FALSE(healthSignal(AttemptEnd::ConditionNotMet).has_value());
  STRCMP_EQUAL("condition_not_met",
               attemptEndName(AttemptEnd::ConditionNotMet).data());
}

// A truncated answer must not look complete to the caller.
TEST(AttemptPolicy, AbortsAPartlyDeliveredAnswer) {
  progress.Delivered = true;
  CHECK(next(RouteKind::Streaming, AttemptEnd::Broken) ==
        NextStep::AbortAnswer);
  CHECK(next(RouteKind::Streaming, AttemptEnd::Failed) ==
        NextStep::AbortAnswer);
  CHECK(next(RouteKind::Streaming, AttemptEnd::OutOfTime) ==
        NextStep::AbortAnswer);
}

TEST(AttemptPolicy, ReportsNotRunOnlyIfNoAttemptMayHaveRun) {
  const errors::RequestError notRun =
      giveUpError(progress, AttemptEnd::Refused, absl::Milliseconds(250));
  CHECK(notRun.Run == errors::RunState::NotRun);
  LONGS_EQUAL(503, errors::httpStatus(notRun.Code));
  LONGS_EQUAL(250, notRun.RetryAfterMs);
  progress.MayHaveRun = true;
  for (const AttemptEnd end : {AttemptEnd::Refused, AttemptEnd::Broken,
                               AttemptEnd::OutOfTime, AttemptEnd::NotSent}) {
    const errors::RequestError unknown =
        giveUpError(progress, end, absl::Milliseconds(250));
    CHECK(unknown.Run == errors::RunState::Unknown);
    LONGS_EQUAL(0, unknown.RetryAfterMs);
  }
}

// The server of another attempt may only be silent for a while.
TEST(AttemptPolicy, WaitsForAnAttemptInProgressInsteadOfGivingUp) {
  route.Resumable = true;
  progress.Sent = 1;
  progress.InProgress = 1;
  for (const bool isDelivered : {false, true}) {
    progress.Delivered = isDelivered;
    for (const AttemptEnd end :
         {AttemptEnd::Refused, AttemptEnd::Failed, AttemptEnd::Broken,
          AttemptEnd::Garbled, AttemptEnd::NotSent, AttemptEnd::WrongBackend})
      CHECK(next(RouteKind::Streaming, end) == NextStep::Wait);
  }
  CHECK(next(RouteKind::Streaming, AttemptEnd::Answered) ==
        NextStep::ForwardAnswer);
  CHECK(next(RouteKind::Streaming, AttemptEnd::OutOfTime) ==
        NextStep::AbortAnswer);
}

TEST(AttemptPolicy, AttemptsInProgressCountTowardsTheLimit) {
  route.Resumable = true;
  route.MaxAttempts = 3;
  progress.Sent = 1;
  progress.InProgress = 1;
  CHECK(next(RouteKind::Streaming, AttemptEnd::Refused) == NextStep::Retry);
  progress.IsAnswering = true;
  CHECK(next(RouteKind::Streaming, AttemptEnd::Refused) == NextStep::Wait);
  progress.IsAnswering = false;
  progress.InProgress = 2;
  CHECK(next(RouteKind::Streaming, AttemptEnd::Refused) == NextStep::Wait);
}

// A server that was asked beside a silent one is no further server.
TEST(AttemptPolicy, SupersededServerMayBeAskedAgainAtTheLimit) {
  route.Resumable = true;
  progress.Sent = 2;
  CHECK(next(RouteKind::Streaming, AttemptEnd::Broken) == NextStep::GiveUp);
  progress.MayReturn = true;
  CHECK(next(RouteKind::Streaming, AttemptEnd::Broken) == NextStep::Retry);
  CHECK(next(RouteKind::NonIdempotent, AttemptEnd::Broken) == NextStep::GiveUp);
}

TEST(AttemptPolicy, WithdrawnAttemptTellsNothing) {
  CHECK_FALSE(wasSent(AttemptEnd::Withdrawn));
  CHECK_FALSE(mayHaveRun(AttemptEnd::Withdrawn));
  CHECK_FALSE(healthSignal(AttemptEnd::Withdrawn).has_value());
  CHECK_FALSE(healthSignal(AttemptEnd::Superseded).has_value());
  CHECK(wasSent(AttemptEnd::Superseded));
  CHECK(mayHaveRun(AttemptEnd::Superseded));
}

TEST(AttemptPolicy, OnlyRepeatableCallsOverlapTheirAttempts) {
  progress.Sent = 0;
  progress.InProgress = 1;
  route.Kind = RouteKind::Idempotent;
  CHECK(mayOverlap(route, progress, at(0)));
  CHECK_FALSE(mayOverlap(route, progress, at(970)));
  route.Kind = RouteKind::NonIdempotent;
  CHECK_FALSE(mayOverlap(route, progress, at(0)));
  route.Kind = RouteKind::Streaming;
  CHECK_FALSE(mayOverlap(route, progress, at(0)));
  route.Resumable = true;
  CHECK(mayOverlap(route, progress, at(0)));
  progress.IsAnswering = true;
  CHECK_FALSE(mayOverlap(route, progress, at(0)));
  progress.IsAnswering = false;
  progress.Sent = 1;
  CHECK_FALSE(mayOverlap(route, progress, at(0)));
}

TEST(AttemptPolicy, RespondingBackendServerGetsALongerSilenceTimeout) {
  const absl::Duration timeout = absl::Seconds(1);
  CHECK_FALSE(
      isConnectionLost(absl::Milliseconds(900), timeout, absl::Seconds(9)));
  CHECK(isConnectionLost(absl::Seconds(1), timeout, absl::Seconds(9)));
  CHECK_FALSE(
      isConnectionLost(absl::Seconds(1), timeout, absl::Milliseconds(50)));
  CHECK(isConnectionLost(absl::Seconds(2), timeout, absl::Milliseconds(50)));
}

TEST(AttemptPolicy, SilenceTimeoutsApplyOnlyToCallsThatMayBeRetried) {
  route.Kind = RouteKind::NonIdempotent;
  CHECK(firstByteTimeout(route, absl::ZeroDuration()) ==
        absl::InfiniteDuration());
  CHECK(eventGapTimeout(route) == absl::InfiniteDuration());
  route.Kind = RouteKind::Streaming;
  route.Resumable = true;
  route.Objective = absl::Milliseconds(300);
  route.GapObjective = absl::Milliseconds(200);
  // Callers disconnect after a gap of two seconds.
  CHECK(firstByteTimeout(route, absl::Milliseconds(130)) < absl::Seconds(2));
  CHECK(eventGapTimeout(route) < absl::Seconds(2));
}

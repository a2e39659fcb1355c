#include "tests/support/request_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace orioletally;
using namespace orioletally::core::requests;
using core::backends::CancelAnswer;
using core::backends::CancelState;
using core::backends::Frame;
using core::backends::FrameKind;
using core::errors::ErrorCode;
using core::errors::RunState;
using tests::at;

namespace {

Frame frame(FrameKind kind, uint64_t offset, uint32_t attempt = 1,
            const std::string &requestId = "r-1") {
  Frame result;
  result.Kind = kind;
  result.RequestId = requestId;
  result.Attempt = attempt;
  result.Offset = offset;
  result.Text = "t" + std::to_string(offset) + " ";
  return result;
}

template <typename Action> int countOf(const RequestActions &actions) {
  int n = 0;
  for (const RequestAction &it : actions)
    n += std::holds_alternative<Action>(it) ? 1 : 0;
  return n;
}

template <typename Action> const Action *findIn(const RequestActions &actions) {
  for (const RequestAction &it : actions)
    if (const auto *found = std::get_if<Action>(&it))
      return found;
  return nullptr;
}

} // namespace

TEST_GROUP(RequestMachine) {
  tests::ScriptedSelector selector;

  RequestMachine make(const nlohmann::json &fields = nlohmann::json::object()) {
    return {tests::planWith(tests::profileWith(fields)), tests::requestChart(),
            selector};
  }

  /// Returns a request that has started and that its engine has accepted.
  RequestMachine running(const nlohmann::json &fields =
                             nlohmann::json::object()) {
    selector.offer("a");
    RequestMachine machine = make(fields);
    machine.start(at(0));
    machine.handle(FrameArrived{1, frame(FrameKind::Accepted, 0)}, at(1));
    return machine;
  }

  void checkFailed(const RequestActions &actions, ErrorCode code,
                   RunState run) {
    const auto *failed = findIn<FailAnswer>(actions);
    CHECK(failed != nullptr);
    LONGS_EQUAL(static_cast<int>(code), static_cast<int>(failed->Error.Code));
    LONGS_EQUAL(static_cast<int>(run), static_cast<int>(failed->Error.Run));
  }
};

TEST(RequestMachine, DeliversTokensInOrderAndCompletes) {
  RequestMachine machine = running();
  const auto first =
      machine.handle(FrameArrived{1, frame(FrameKind::Token, 0)}, at(5));
  STRCMP_EQUAL("t0 ", findIn<DeliverToken>(first)->Text.c_str());
  const auto last =
      machine.handle(FrameArrived{1, frame(FrameKind::Final, 1)}, at(6));
  LONGS_EQUAL(1, findIn<CompleteAnswer>(last)->Tokens);
  CHECK(machine.isDone());
  STRCMP_EQUAL("completed a", selector.RecordedCalls.back().c_str());
}

TEST(RequestMachine, DropsForeignLateAndDuplicateFrames) {
  RequestMachine machine = running();
  machine.handle(FrameArrived{1, frame(FrameKind::Token, 0)}, at(2));
  struct Case {
    FrameArrived Event;
    uint64_t DroppedFrames::*Counter;
  };
  const Case cases[] = {
      {{1, frame(FrameKind::Token, 1, 1, "r-2")}, &DroppedFrames::Foreign},
      {{1, frame(FrameKind::Token, 1, 2)}, &DroppedFrames::Late},
      {{9, frame(FrameKind::Token, 1)}, &DroppedFrames::Late},
      {{1, frame(FrameKind::Token, 0)}, &DroppedFrames::Duplicate},
  };
  for (const Case &it : cases) {
    const uint64_t before = machine.dropped().*it.Counter;
    const auto actions = machine.handle(it.Event, at(3));
    LONGS_EQUAL(0, countOf<DeliverToken>(actions));
    LONGS_EQUAL(before + 1, machine.dropped().*it.Counter);
  }
}

TEST(RequestMachine, EndOfStreamWithoutFinalFrameIsNoCompletion) {
  RequestMachine machine = running();
  machine.handle(FrameArrived{1, frame(FrameKind::Token, 0)}, at(2));
  const auto actions =
      machine.handle(ConnectionClosed{1, {"ended", true}}, at(3));
  LONGS_EQUAL(0, countOf<CompleteAnswer>(actions));
  const auto *resume = findIn<OpenResume>(actions);
  LONGS_EQUAL(1, resume->Offset);
  LONGS_EQUAL(2, resume->Connection);
}

TEST(RequestMachine, FinalFrameThatSkipsTokensIsNoCompletion) {
  RequestMachine machine = running();
  const auto actions =
      machine.handle(FrameArrived{1, frame(FrameKind::Final, 5)}, at(2));
  LONGS_EQUAL(0, countOf<CompleteAnswer>(actions));
  LONGS_EQUAL(1, countOf<OpenResume>(actions));
}

TEST(RequestMachine, SilentConnectionIsResumedOverANewOne) {
  RequestMachine machine = running({{"stall_ms", 2000}});
  machine.handle(FrameArrived{1, frame(FrameKind::Token, 0)}, at(10));
  CHECK(machine.nextWake() == at(2010));
  const auto actions = machine.handle(TimerFired{}, at(2010));
  LONGS_EQUAL(1, countOf<DropConnection>(actions));
  LONGS_EQUAL(1, findIn<OpenResume>(actions)->Offset);
  machine.handle(FrameArrived{2, frame(FrameKind::Accepted, 1)}, at(2012));
  const auto next =
      machine.handle(FrameArrived{2, frame(FrameKind::Token, 1)}, at(2013));
  LONGS_EQUAL(1, countOf<DeliverToken>(next));
}

// A restarted answer is another sample, which must not continue the tokens that
// the caller already has.
TEST(RequestMachine, DoesNotRestartAPartlyDeliveredAnswer) {
  RequestMachine machine = running();
  selector.offer("b");
  machine.handle(FrameArrived{1, frame(FrameKind::Token, 0)}, at(2));
  machine.handle(ConnectionClosed{1, {"reset", true}}, at(3));
  const auto actions = machine.handle(StreamNotFound{2}, at(4));
  LONGS_EQUAL(0, countOf<OpenSubmit>(actions));
  checkFailed(actions, ErrorCode::BackendFailed, RunState::Ran);
}

TEST(RequestMachine, RestartsAnAnswerThatHasNotReachedTheCaller) {
  selector.offer("a");
  selector.offer("b");
  RequestPlan plan = tests::planWith(tests::profileWith());
  plan.Streaming = false;
  RequestMachine machine(plan, tests::requestChart(), selector);
  machine.start(at(0));
  machine.handle(FrameArrived{1, frame(FrameKind::Token, 0)}, at(2));
  machine.handle(ConnectionClosed{1, {"reset", true}}, at(3));
  const auto actions = machine.handle(StreamNotFound{2}, at(4));
  LONGS_EQUAL(1, countOf<RestartAnswer>(actions));
  LONGS_EQUAL(2, findIn<OpenSubmit>(actions)->Attempt);
}

TEST(RequestMachine, UnsentSubmitIsRetriedElsewhereAndReportedNotRun) {
  selector.offer("a");
  selector.offer("b");
  RequestMachine machine = make();
  machine.start(at(0));
  const auto actions =
      machine.handle(ConnectionClosed{1, {"refused", false}}, at(1));
  STRCMP_EQUAL("b", findIn<OpenSubmit>(actions)->BackendId.c_str());
  const auto afterSecondRefusal =
      machine.handle(ConnectionClosed{2, {"refused", false}}, at(2));
  checkFailed(afterSecondRefusal, ErrorCode::NoBackend, RunState::NotRun);
}

TEST(RequestMachine, UnrepeatableRequestAwaitsACancelBeforeTheRetry) {
  selector.offer("a");
  selector.offer("b");
  RequestMachine machine = make({{"repeatable", false}});
  machine.start(at(0));
  machine.handle(ConnectionClosed{1, {"reset", true}}, at(1));
  const auto afterNotFound = machine.handle(StreamNotFound{2}, at(2));
  LONGS_EQUAL(0, countOf<OpenSubmit>(afterNotFound));
  CHECK(findIn<SendCancel>(afterNotFound)->Awaited);
  const auto afterCancel =
      machine.handle(CancelAnswered{1, CancelAnswer{CancelState::NeverStarted,
                                                    absl::Hours(1)}},
                     at(3));
  LONGS_EQUAL(1, countOf<OpenSubmit>(afterCancel));
}

TEST(RequestMachine, UnrepeatableRequestFailsWithTheRunStateOfTheCancel) {
  struct Case {
    std::optional<CancelAnswer> Answer;
    RunState Run;
  };
  const Case cases[] = {
      {CancelAnswer{CancelState::Stopped, absl::Hours(1)}, RunState::Ran},
      {CancelAnswer{CancelState::Finished, absl::Hours(1)}, RunState::Ran},
      {CancelAnswer{CancelState::NeverStarted, absl::Milliseconds(1)},
       RunState::Unknown},
      {std::nullopt, RunState::Unknown}};
  for (const Case &it : cases) {
    selector.offer("a");
    RequestMachine machine = make({{"repeatable", false}});
    machine.start(at(0));
    machine.handle(ConnectionClosed{1, {"reset", true}}, at(1));
    machine.handle(StreamNotFound{2}, at(2));
    const auto actions = machine.handle(CancelAnswered{1, it.Answer}, at(3));
    checkFailed(actions, ErrorCode::BackendFailed, it.Run);
  }
}

TEST(RequestMachine, EndsAtTheDeadlineInEveryState) {
  using Steps = std::vector<RequestEvent>;
  const Steps cases[] = {
      {},
      {FrameArrived{1, frame(FrameKind::Accepted, 0)}},
      {FrameArrived{1, frame(FrameKind::Token, 0)}},
      {ConnectionClosed{1, {"reset", true}}},
      {ConnectionClosed{1, {"reset", true}}, StreamNotFound{2}},
  };
  for (const Steps &steps : cases) {
    selector.Results.clear();
    selector.offer("a");
    RequestMachine machine = make({{"repeatable", false},
                                   {"deadline_ms", 1000},
                                   {"queue_ms", 1000},
                                   {"stall_ms", 1000}});
    machine.start(at(0));
    for (const RequestEvent &it : steps)
      machine.handle(it, at(990));
    CHECK(machine.nextWake() <= at(1000));
    const auto actions = machine.handle(TimerFired{}, at(1000));
    LONGS_EQUAL(1, countOf<FailAnswer>(actions));
    CHECK(machine.isDone());
  }
}

TEST(RequestMachine, RejectsEarlyIfTheDeadlineCannotBeMet) {
  selector.offer("a", absl::Seconds(20));
  RequestMachine machine = make({{"deadline_ms", 10000}});
  const auto actions = machine.start(at(0));
  checkFailed(actions, ErrorCode::Overloaded, RunState::NotRun);
  CHECK(findIn<FailAnswer>(actions)->Error.RetryAfterMs >= 10000);
  LONGS_EQUAL(0, countOf<OpenSubmit>(actions));
  STRCMP_EQUAL("released a", selector.RecordedCalls.back().c_str());
}

TEST(RequestMachine, RejectsAtOnceIfTheRetryDelayExceedsTheQueueTimeout) {
  selector.Results.emplace_back(
      core::routing::RouteDenied{core::routing::RouteRefusal::AllBusy, 5000});
  RequestMachine machine = make({{"queue_ms", 2000}});
  checkFailed(machine.start(at(0)), ErrorCode::Overloaded, RunState::NotRun);
}

TEST(RequestMachine, DisconnectedCallerCancelsTheStream) {
  RequestMachine machine = running();
  const auto actions = machine.handle(CallerDisconnected{}, at(5));
  LONGS_EQUAL(1, countOf<SendCancel>(actions));
  LONGS_EQUAL(1, countOf<DropConnection>(actions));
  CHECK(machine.isDone());
  LONGS_EQUAL(0,
              machine.handle(FrameArrived{1, frame(FrameKind::Token, 0)}, at(6))
                  .size());
}

TEST(RequestMachine, StopsAfterItsLastAttempt) {
  for (int n = 0; n < 3; ++n)
    selector.offer("a");
  RequestMachine machine = make({{"max_attempts", 2}});
  machine.start(at(0));
  machine.handle(SubmitRefused{1, {"full", "", 0, false}}, at(1));
  const auto actions =
      machine.handle(SubmitRefused{2, {"full", "", 0, false}}, at(2));
  checkFailed(actions, ErrorCode::BackendFailed, RunState::NotRun);
}

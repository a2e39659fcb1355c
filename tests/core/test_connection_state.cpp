#include "core/relay/connection_state.h"

#include <CppUTest/TestHarness.h>

using orioletally::core::relay::ConnectionPhase;
using orioletally::core::relay::ConnectionState;

TEST_GROUP(ConnectionState) {
  absl::Time start = absl::FromUnixSeconds(1'000);
  ConnectionState state{start};

  absl::Time at(int64_t ms) const { return start + absl::Milliseconds(ms); }
};

TEST(ConnectionState, NewConnectionHasTimeToSendItsCall) {
  CHECK_FALSE(state.closesForShutdown(at(999), 0));
  CHECK(state.keepsNode(at(999), 0));
  CHECK(state.closesForShutdown(at(1'000), 0));
  CHECK_FALSE(state.keepsNode(at(1'000), 0));
}

TEST(ConnectionState, BytesThatWereNotTakenAreACall) {
  CHECK_FALSE(state.isIdle(1));
  CHECK_FALSE(state.closesForShutdown(at(5'000), 1));
  CHECK(state.isArriving(1));
  CHECK(state.keepsNode(at(5'000), 1));
}

TEST(ConnectionState, CallIsUnansweredUntilTheNextWait) {
  state.startReading();
  CHECK(state.isArriving(0));
  CHECK(state.keepsNode(at(5'000), 0));
  CHECK_FALSE(state.isIdle(0));
  state.startAnswering();
  CHECK_FALSE(state.isArriving(0));
  CHECK(state.keepsNode(at(5'000), 0));
  CHECK_FALSE(state.closesForShutdown(at(5'000), 0));
  state.startWaiting(at(5'000));
  CHECK_FALSE(state.closesForShutdown(at(5'999), 0));
  CHECK(state.closesForShutdown(at(6'000), 0));
  LONGS_EQUAL(1, state.calls());
}

TEST(ConnectionState, AnnouncedCloseIsFinal) {
  state.startClosing(false);
  state.startReading();
  state.startWaiting(at(10));
  CHECK(state.phase() == ConnectionPhase::Closing);
  CHECK_FALSE(state.isArriving(3));
  CHECK_FALSE(state.keepsNode(at(20), 3));
}

TEST(ConnectionState, AnswerThatAnnouncesTheCloseIsDelivered) {
  state.startReading();
  state.startAnswering();
  state.startClosing(true);
  CHECK(state.keepsNode(at(20), 0));
}

#include "core/relay/drain_plan.h"

#include <CppUTest/TestHarness.h>

using orioletally::core::relay::DrainPlan;

TEST_GROUP(DrainPlan) {
  absl::Time start = absl::FromUnixSeconds(1'000);
  DrainPlan plan{start, absl::Seconds(2), start + absl::Seconds(7)};

  absl::Time at(int64_t ms) const { return start + absl::Milliseconds(ms); }
};

TEST(DrainPlan, NodeServesUntilItIsOutOfRotation) {
  CHECK_FALSE(plan.closesIdle(at(1'999)));
  CHECK_FALSE(plan.isOver(at(1'999), 0, 0));
  CHECK(plan.closesIdle(at(2'000)));
  CHECK(plan.isOver(at(2'000), 0, 0));
}

TEST(DrainPlan, CallsInProgressAndCallsThatAreReadKeepTheNode) {
  CHECK_FALSE(plan.isOver(at(6'999), 1, 0));
  CHECK_FALSE(plan.isOver(at(6'999), 0, 1));
}

TEST(DrainPlan, LastConnectionsHaveTimeToSendTheirCalls) {
  CHECK_FALSE(plan.stopsAccepting(at(1'999), 0, 0));
  CHECK(plan.stopsAccepting(at(2'000), 0, 0));
  CHECK_FALSE(plan.stopsAccepting(at(5'999), 1, 0));
  CHECK_FALSE(plan.stopsAccepting(at(5'999), 0, 1));
  CHECK(plan.stopsAccepting(at(6'000), 1, 1));
}

TEST(DrainPlan, NothingKeepsTheNodeBeyondItsGracePeriod) {
  CHECK(plan.isOver(at(7'000), 1, 1));
}

#include "core/relay/recent_idle_timeout.h"

#include <CppUTest/TestHarness.h>

using orioletally::core::relay::RecentIdleTimeout;

TEST_GROUP(RecentIdleTimeout) {
  absl::Time start = absl::FromUnixSeconds(1'000);
  RecentIdleTimeout timeout;

  int64_t waitMs(int64_t at, int64_t inForce) {
    return absl::ToInt64Milliseconds(timeout.forWait(
        start + absl::Milliseconds(at), absl::Milliseconds(inForce)));
  }
};

TEST(RecentIdleTimeout, LongerOneHoldsWhileCallersMayFollowIt) {
  LONGS_EQUAL(10'000, waitMs(0, 10'000));
  LONGS_EQUAL(10'000, waitMs(100, 2'000));
  LONGS_EQUAL(10'000, waitMs(5'099, 2'000));
  LONGS_EQUAL(2'000, waitMs(5'100, 2'000));
}

TEST(RecentIdleTimeout, LongestOfAFewChangesHolds) {
  LONGS_EQUAL(10'000, waitMs(0, 10'000));
  LONGS_EQUAL(10'000, waitMs(100, 4'000));
  LONGS_EQUAL(10'000, waitMs(200, 1'000));
  LONGS_EQUAL(10'000, waitMs(300, 3'000));
  LONGS_EQUAL(20'000, waitMs(400, 20'000));
}

#include "core/relay/start_wait.h"

#include <CppUTest/TestHarness.h>

using orioletally::core::relay::StartWait;

TEST_GROUP(StartWait) {
  absl::Time start = absl::FromUnixSeconds(1'000);
  StartWait wait{start};

  absl::Time at(int64_t ms) const { return start + absl::Milliseconds(ms); }
};

TEST(StartWait, CallsAfterAPowerLossWaitUntilTheFleetIsRead) {
  // A hundred callers retry in the first tenth of a second.
  for (int ms = 0; ms < 100; ++ms)
    CHECK(wait.waitUntil(at(ms), absl::Seconds(10)) > at(ms + 300));
  wait.end();
  CHECK(wait.waitUntil(at(100), absl::Seconds(10)) <= at(100));
}

// The wait also ends when the fleet can't be read.
TEST(StartWait, CallsDoNotWaitOnceTheWaitHasEnded) {
  wait.end();
  CHECK(wait.waitUntil(at(1), absl::Seconds(10)) <= at(1));
}

TEST(StartWait, WaitLeavesTimeForARetryElsewhere) {
  CHECK(wait.waitUntil(at(0), absl::Milliseconds(200)) <= at(100));
  CHECK(wait.waitUntil(at(0), absl::InfiniteDuration()) <= at(1'000));
  CHECK(wait.waitUntil(at(2'000), absl::Seconds(10)) <= at(2'000));
}

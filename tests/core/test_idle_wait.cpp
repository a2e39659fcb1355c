#include "core/relay/idle_wait.h"

#include <CppUTest/TestHarness.h>

using orioletally::core::relay::IdleWait;

TEST_GROUP(IdleWait) {
  absl::Time start = absl::FromUnixSeconds(1'000);
  IdleWait wait{start, absl::Seconds(2)};

  absl::Time at(int64_t ms) const { return start + absl::Milliseconds(ms); }
};

TEST(IdleWait, EndsWithTheTimeoutInForce) {
  CHECK_FALSE(wait.isOver(at(1'999), absl::Seconds(2)));
  CHECK(wait.isOver(at(2'000), absl::Seconds(2)));
}

TEST(IdleWait, LongerTimeoutExtendsIt) {
  CHECK_FALSE(wait.isOver(at(2'000), absl::Seconds(5)));
  CHECK(wait.endsAt() == at(5'000));
  CHECK(wait.isOver(at(5'000), absl::Seconds(5)));
}

TEST(IdleWait, ShorterTimeoutDoesNotEndIt) {
  CHECK_FALSE(wait.isOver(at(1'500), absl::Seconds(1)));
  CHECK_FALSE(wait.isOver(at(2'000), absl::Seconds(5)));
  CHECK_FALSE(wait.isOver(at(2'500), absl::Seconds(1)));
}

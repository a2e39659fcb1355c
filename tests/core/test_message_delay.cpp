#include "core/fleet/message_delay.h"

#include <CppUTest/TestHarness.h>

using orioletally::core::fleet::MessageDelay;

namespace {

const absl::Time ReaderStart = absl::FromUnixSeconds(1'000);
/// The sender's clock is another one.
const absl::Time SenderStart = absl::FromUnixSeconds(77);

} // namespace

TEST_GROUP(MessageDelay) {
  MessageDelay delay;

  /// Returns the delay of a message that is sent \p sentMs after the start and
  /// read \p readMs after it.
  int64_t record(int64_t sentMs, int64_t readMs) {
    return absl::ToInt64Milliseconds(
        delay.record(SenderStart + absl::Milliseconds(sentMs),
                     ReaderStart + absl::Milliseconds(readMs)));
  }
};

TEST(MessageDelay, QuickestMessageIsNotDelayed) {
  LONGS_EQUAL(0, record(0, 5));
  LONGS_EQUAL(3, record(100, 108));
  LONGS_EQUAL(0, record(200, 204));
}

// Guards against messages that waited during a freeze being taken for news.
TEST(MessageDelay, MessagesReadAfterAFreezeAreAsOldAsTheyAre) {
  record(0, 5);
  for (int sent = 1'000; sent <= 4'000; sent += 500)
    LONGS_EQUAL(4'500 - sent, record(sent, 4'505));
  LONGS_EQUAL(0, record(5'000, 5'005));
}

TEST(MessageDelay, FollowsClocksThatDrift) {
  for (int minute = 0; minute < 30; ++minute)
    CHECK(record(minute * 60'000, minute * 60'010 + 5) <= 20);
}

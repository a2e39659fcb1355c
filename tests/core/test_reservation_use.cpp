#include "core/relay/reservation_use.h"

#include <CppUTest/TestHarness.h>

using namespace orioletally::core::relay;

TEST_GROUP(ReservationUse){};

TEST(ReservationUse, IsAskedForUntilThePromptUsesIt) {
  CHECK_FALSE(shouldAskForUse(absl::Seconds(6), ReservationUse::Unknown));
  CHECK(shouldAskForUse(absl::Seconds(7), ReservationUse::Unknown));
  CHECK(shouldAskForUse(absl::Seconds(7), ReservationUse::Unused));
  CHECK_FALSE(shouldAskForUse(absl::Seconds(7), ReservationUse::Used));
}

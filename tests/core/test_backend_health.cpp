#include "core/fleet/backend_health.h"
#include "tests/support/request_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace orioletally::core::fleet;
using orioletally::tests::at;

TEST_GROUP(BackendHealth) { BackendHealth health; };

TEST(BackendHealth, OneLossClosesItForAWhile) {
  CHECK(health.isOpen(at(0)));
  health.observe(HealthSign::Lost, at(0));
  CHECK_FALSE(health.isOpen(at(499)));
  CHECK(health.isOpen(at(500)));
}

TEST(BackendHealth, LossesInARowCloseItForLonger) {
  health.observe(HealthSign::Lost, at(0));
  health.observe(HealthSign::Lost, at(500));
  CHECK_FALSE(health.isOpen(at(1'499)));
  CHECK(health.isOpen(at(1'500)));
}

TEST(BackendHealth, AfterALossOneTrialGoesFirst) {
  health.observe(HealthSign::Lost, at(0));
  health.sent(at(600));
  CHECK_FALSE(health.isOpen(at(700)));
  health.observe(HealthSign::Good, at(800));
  CHECK(health.isOpen(at(800)));
}

TEST(BackendHealth, FailuresRaiseTheShareAndAnswersLowerIt) {
  for (int n = 0; n < 10; ++n)
    health.observe(HealthSign::Failed, at(n));
  CHECK(health.failureShare() > 0.5);
  CHECK(health.isOpen(at(10)));
  for (int n = 0; n < 30; ++n)
    health.observe(HealthSign::Good, at(20 + n));
  CHECK(health.failureShare() < 0.1);
}

TEST(BackendHealth, PaceFollowsWhatIsSlowerThanPredicted) {
  for (int n = 0; n < 40; ++n)
    health.observePace(absl::Milliseconds(400), absl::Milliseconds(100));
  CHECK(health.pace() > 3.5);
  for (int n = 0; n < 40; ++n)
    health.observePace(absl::Milliseconds(50), absl::Milliseconds(100));
  CHECK(health.pace() < 1.1);
}

TEST(BackendHealth, APauseHoldsWhateverOtherCallsShow) {
  health.pause(absl::Seconds(3), at(0));
  CHECK(health.isPaused(at(2'999)));
  health.observe(HealthSign::Good, at(1'000));
  health.observe(HealthSign::Full, at(1'100));
  CHECK(health.isPaused(at(2'999)));
  CHECK_FALSE(health.isOpen(at(2'999)));
  // A shorter one that is asked for later doesn't end it early.
  health.pause(absl::Milliseconds(10), at(1'200));
  CHECK(health.isPaused(at(2'999)));
  CHECK(health.isOpen(at(3'000)));
}

TEST(BackendHealth, AfterAPauseOneTrialGoesFirst) {
  health.pause(absl::Seconds(1), at(0));
  health.sent(at(1'000));
  CHECK_FALSE(health.isOpen(at(1'100)));
  // Turned away again without a pause: still one at a time.
  health.observe(HealthSign::Full, at(1'200));
  CHECK(health.isOpen(at(1'200)));
  health.sent(at(1'200));
  CHECK_FALSE(health.isOpen(at(1'300)));
  health.observe(HealthSign::Good, at(1'400));
  health.sent(at(1'400));
  CHECK(health.isOpen(at(1'400)));
}

TEST(BackendHealth, AnAbsurdPauseIsCutToTenMinutes) {
  health.pause(absl::Hours(24 * 365), at(0));
  CHECK(health.isPaused(at(599'999)));
  CHECK_FALSE(health.isPaused(at(600'000)));
}

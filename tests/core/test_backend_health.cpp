#include "core/fleet/backend_health.h"
#include "tests/support/request_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace orioletally::core::fleet;
using orioletally::tests::at;

TEST_GROUP(BackendHealth) { BackendHealth health; };

TEST(BackendHealth, LostConnectionStartsABackoff) {
  CHECK(health.acceptsCalls(at(0)));
  health.observe(HealthSignal::Lost, at(0));
  CHECK_FALSE(health.acceptsCalls(at(499)));
  CHECK(health.acceptsCalls(at(500)));
}

TEST(BackendHealth, ConsecutiveLossesLengthenTheBackoff) {
  health.observe(HealthSignal::Lost, at(0));
  health.observe(HealthSignal::Lost, at(500));
  CHECK_FALSE(health.acceptsCalls(at(1'499)));
  CHECK(health.acceptsCalls(at(1'500)));
}

TEST(BackendHealth, AllowsOneTrialCallAfterABackoff) {
  health.observe(HealthSignal::Lost, at(0));
  health.recordSend(at(600));
  CHECK_FALSE(health.acceptsCalls(at(700)));
  health.observe(HealthSignal::Good, at(800));
  CHECK(health.acceptsCalls(at(800)));
}

TEST(BackendHealth, FailureShareRisesWithFailuresAndFallsWithAnswers) {
  for (int n = 0; n < 10; ++n)
    health.observe(HealthSignal::Failed, at(n));
  CHECK(health.failureShare() > 0.5);
  CHECK(health.acceptsCalls(at(10)));
  for (int n = 0; n < 30; ++n)
    health.observe(HealthSignal::Good, at(20 + n));
  CHECK(health.failureShare() < 0.1);
}

TEST(BackendHealth, SlowdownRatioFollowsMeasuredOverPredictedLatency) {
  for (int n = 0; n < 40; ++n)
    health.observeLatency(absl::Milliseconds(400), absl::Milliseconds(100));
  CHECK(health.slowdownRatio() > 3.5);
  for (int n = 0; n < 40; ++n)
    health.observeLatency(absl::Milliseconds(50), absl::Milliseconds(100));
  CHECK(health.slowdownRatio() < 1.1);
}

TEST(BackendHealth, PauseLastsDespiteOtherSignals) {
  health.pause(absl::Seconds(3), at(0));
  CHECK(health.isPaused(at(2'999)));
  health.observe(HealthSignal::Good, at(1'000));
  health.observe(HealthSignal::Full, at(1'100));
  CHECK(health.isPaused(at(2'999)));
  CHECK_FALSE(health.acceptsCalls(at(2'999)));
  // A later, shorter pause doesn't end it early.
  health.pause(absl::Milliseconds(10), at(1'200));
  CHECK(health.isPaused(at(2'999)));
  CHECK(health.acceptsCalls(at(3'000)));
}

TEST(BackendHealth, AllowsOneTrialCallAfterAPause) {
  health.pause(absl::Seconds(1), at(0));
  health.recordSend(at(1'000));
  CHECK_FALSE(health.acceptsCalls(at(1'100)));
  // Refused again without a pause: still one call at a time.
  health.observe(HealthSignal::Full, at(1'200));
  CHECK(health.acceptsCalls(at(1'200)));
  health.recordSend(at(1'200));
  CHECK_FALSE(health.acceptsCalls(at(1'300)));
  health.observe(HealthSignal::Good, at(1'400));
  health.recordSend(at(1'400));
  CHECK(health.acceptsCalls(at(1'400)));
}

TEST(BackendHealth, LimitsAPauseToTenMinutes) {
  health.pause(absl::Hours(24 * 365), at(0));
  CHECK(health.isPaused(at(599'999)));
  CHECK_FALSE(health.isPaused(at(600'000)));
}

#include "core/relay/config_refusal.h"

#include <CppUTest/TestHarness.h>

using namespace orioletally::core;
using errors::ErrorCode;
using errors::RequestError;
using relay::ConfigCurrency;

namespace {

constexpr absl::Duration MaxAge = absl::Seconds(2);
const absl::Time Now = absl::FromUnixSeconds(1'000);

RequestError refuse(const ConfigCurrency &currency) {
  return relay::refuseByConfig({ErrorCode::NotFound, "no route", 7}, currency,
                               MaxAge, Now);
}

} // namespace

TEST_GROUP(ConfigRefusal){};

TEST(ConfigRefusal, CurrentConfigurationRefusesForGood) {
  const RequestError error = refuse({Now - MaxAge, false, 7});
  CHECK(error.Code == ErrorCode::NotFound);
  LONGS_EQUAL(0, error.RetryAfterMs);
}

// Guards against a final refusal by a node that can't know of a newer route.
TEST(ConfigRefusal, OldConfigurationAsksToComeBack) {
  const RequestError error =
      refuse({Now - MaxAge - absl::Milliseconds(1), false, 0});
  CHECK(error.Code == ErrorCode::PlatformUnavailable);
  CHECK(error.Run == errors::RunState::NotRun);
  CHECK(error.RetryAfterMs > 0);
  CHECK(refuse({}).Code == ErrorCode::PlatformUnavailable);
}

// Guards against a final refusal by a node that knows of a newer configuration.
TEST(ConfigRefusal, ReportOfANewerConfigurationAsksToComeBack) {
  CHECK(refuse({Now, true, 8}).Code == ErrorCode::PlatformUnavailable);
  CHECK(refuse({Now, true, 6}).Code == ErrorCode::NotFound);
}

#include "core/limits/stream_limiter.h"
#include "core/routing/fleet_router.h"
#include "tests/support/request_fixture.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace orioletally;
using namespace orioletally::core::routing;
using tests::at;
using tests::engineVm;

TEST_GROUP(FleetRouter) {
  FleetRouter router{RouterSettings{}};
  RouteQuery query;

  void setup() override {
    query.Model = "default";
    query.Policy = "predicted_first_token";
    query.PromptTokens = 1000;
    query.MaxTokens = 10;
    router.registry().replaceList({engineVm("a"), engineVm("b")}, at(0));
  }

  std::string choose(absl::Time now) {
    const RouteResult result = router.select(query, now);
    if (const auto *choice = std::get_if<RouteChoice>(&result))
      return choice->BackendId;
    return std::string(routeRefusalName(std::get<RouteDenied>(result).Reason));
  }
};

TEST(FleetRouter, LeavingBackendGetsNoNewWork) {
  router.registry().markLeaving("a", at(0));
  for (int n = 0; n < 50; ++n)
    STRCMP_EQUAL("b", choose(at(n)).c_str());
}

TEST(FleetRouter, StaleListDoesNotBringBackALeavingBackend) {
  router.registry().markLeaving("a", at(0));
  router.registry().replaceList({engineVm("a"), engineVm("b")}, at(100));
  STRCMP_EQUAL("b", choose(at(101)).c_str());
}

// An empty VM list counts as faulty.
TEST(FleetRouter, IgnoresAnEmptyList) {
  router.registry().replaceList({}, at(100));
  CHECK(choose(at(101)) != "none_known");
}

TEST(FleetRouter, UnlistedBackendGetsNoNewWork) {
  router.registry().replaceList({engineVm("b")}, at(100));
  for (int n = 0; n < 20; ++n)
    STRCMP_EQUAL("b", choose(at(101)).c_str());
}

TEST(FleetRouter, RejectsAPromptLargerThanEveryBackend) {
  query.PromptTokens = 2'000'000;
  STRCMP_EQUAL("too_large", choose(at(0)).c_str());
}

TEST(FleetRouter, BalancesByItsOwnPendingRequests) {
  query.PromptTokens = 100'000;
  std::map<std::string, int> chosen;
  for (int n = 0; n < 10; ++n)
    ++chosen[choose(at(0))];
  LONGS_EQUAL(5, chosen["a"]);
  LONGS_EQUAL(5, chosen["b"]);
}

TEST(FleetRouter, PrefersTheBackendThatHasThePrefix) {
  query.PromptTokens = 50'000;
  query.Prefix = {{16384, 77}};
  const std::string first = choose(at(0));
  // Late enough for the previous prefill to have finished.
  for (int n = 1; n < 5; ++n)
    STRCMP_EQUAL(first.c_str(), choose(at(n * 10'000)).c_str());
}

TEST(FleetRouter, RetryBudgetLimitsRetries) {
  // Half of the backend servers refuse requests, and every refused request is
  // retried while the budget lasts.
  int submits = 0;
  constexpr int Requests = 2000;
  for (int n = 0; n < Requests; ++n) {
    query.AttemptsMade = 0;
    query.Exclude.clear();
    while (query.AttemptsMade < 3) {
      const absl::Time now = at(n * 5);
      const std::string id = choose(now);
      if (id != "a" && id != "b")
        break;
      ++submits;
      ++query.AttemptsMade;
      const bool isRefused = id == "a";
      if (isRefused)
        router.refused(id, 0, false, now);
      router.released(id, query, !isRefused, now);
      if (!isRefused)
        break;
      query.Exclude.push_back(id);
    }
  }
  CHECK(submits < 1.2 * Requests);
}

TEST(FleetRouter, RequestsOfOneFailedBackendAreRetriedBeyondTheBudget) {
  router.registry().replaceList(
      {engineVm("a"), engineVm("b"), engineVm("c"), engineVm("d")}, at(0));
  std::map<std::string, int> dispatched;
  for (int n = 0; n < 60; ++n)
    ++dispatched[choose(at(0))];
  query.AttemptsMade = 1;
  query.Exclude = {"a"};
  // No request has succeeded yet, so only the reserve is left to retry.
  const int reserve = static_cast<int>(RouterSettings{}.RetryReserve);
  for (int n = 0; n < reserve; ++n)
    CHECK(choose(at(1)) != "budget_spent");
  STRCMP_EQUAL("budget_spent", choose(at(1)).c_str());
  router.failed("a", at(2));
  for (int n = 0; n < dispatched["a"]; ++n) {
    const std::string id = choose(at(3));
    CHECK(id == "b" || id == "c" || id == "d");
  }
  STRCMP_EQUAL("budget_spent", choose(at(4)).c_str());
  // Another failure of engine a during its backoff grants no more retries.
  router.failed("a", at(5));
  STRCMP_EQUAL("budget_spent", choose(at(6)).c_str());
}

TEST(FleetRouter, UnusedExtraRetriesExpire) {
  router.registry().replaceList(
      {engineVm("a"), engineVm("b"), engineVm("c"), engineVm("d")}, at(0));
  for (int n = 0; n < 60; ++n)
    choose(at(0));
  query.AttemptsMade = 1;
  query.Exclude = {"a"};
  const int reserve = static_cast<int>(RouterSettings{}.RetryReserve);
  for (int n = 0; n < reserve; ++n)
    choose(at(1));
  router.failed("a", at(2));
  // By then the requests of engine a have been retried or have failed.
  STRCMP_EQUAL("budget_spent", choose(at(62'003)).c_str());
}

TEST(FleetRouter, NoExtraRetriesOnceMostBackendsFail) {
  router.registry().replaceList(
      {engineVm("a"), engineVm("b"), engineVm("c"), engineVm("d")}, at(0));
  std::map<std::string, int> dispatched;
  for (int n = 0; n < 80; ++n)
    ++dispatched[choose(at(0))];
  for (const char *it : {"a", "b", "c", "d"})
    router.failed(it, at(1));
  // Besides the reserve, only the requests of the first two may be retried.
  query.AttemptsMade = 1;
  int retried = 0;
  while (choose(at(1000)) != "budget_spent" && retried < 80)
    ++retried;
  const int reserve = static_cast<int>(RouterSettings{}.RetryReserve);
  LONGS_EQUAL(reserve + dispatched["a"] + dispatched["b"], retried);
}

TEST_GROUP(StreamLimiter){};

TEST(StreamLimiter, LimitsOneWorkspaceOnlyOnABusyNode) {
  core::limits::StreamLimiter limiter(10);
  using core::limits::StreamVerdict;
  for (int n = 0; n < 8; ++n)
    CHECK(limiter.tryEnter("large") == StreamVerdict::Admitted);
  CHECK(limiter.tryEnter("small") == StreamVerdict::Admitted);
  CHECK(limiter.tryEnter("large") == StreamVerdict::WorkspaceFull);
  CHECK(limiter.tryEnter("small") == StreamVerdict::Admitted);
  CHECK(limiter.tryEnter("small") == StreamVerdict::NodeFull);
  limiter.leave("large");
  CHECK(limiter.tryEnter("small") == StreamVerdict::Admitted);
}

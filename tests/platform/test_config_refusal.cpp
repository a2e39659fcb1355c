#include "tests/support/relay_fixture.h"

#include <chrono>
#include <thread>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally::tests;
namespace lab = orioletally::lab;

namespace {

/// The users' bound from the store's confirmation of a change until every node
/// follows it.
constexpr auto Deadline = std::chrono::milliseconds(2'000);
constexpr auto CallTime = std::chrono::milliseconds(100);

} // namespace

TEST_GROUP(ConfigRefusal) {
  StandInBackend backend{scripts::answer("hello")};
  RelayFixture fixture;

  void setup() override {
    fixture.configure(1);
    fixture.listBackend("i-1", "plain", backend.address());
    CHECK(fixture.start(1));
  }

  int callNewRoute() const { return fixture.call("GET", "/new/x").Status; }
  int callWithUnknownKey() const {
    return fixture.call("GET", "/read/x", "Authorization: Token key-x\r\n")
        .Status;
  }

  /// Adds a route while the store doesn't serve the node because of \p fault,
  /// and checks that the node refuses calls of it for good no longer than until
  /// the change must be in force.
  void checkRouteAddedMeanwhile(lab::StoreFault fault) {
    LONGS_EQUAL(404, callNewRoute());
    LONGS_EQUAL(401, callWithUnknownKey());
    fixture.Store.setFault(fault);
    fixture.configure(2, "/new/");
    std::this_thread::sleep_for(Deadline + CallTime);
    const CallerAnswer answer = fixture.call("GET", "/new/x");
    LONGS_EQUAL(503, answer.Status);
    CHECK_FALSE(answer.header("retry-after").empty());
    LONGS_EQUAL(503, callWithUnknownKey());
    // What the known configuration allows is served.
    LONGS_EQUAL(200, fixture.call("GET", "/read/x").Status);
    fixture.Store.setFault(lab::StoreFault::None);
    CHECK(within(4'000, [this] { return callNewRoute() == 200; }));
    LONGS_EQUAL(401, callWithUnknownKey());
  }
};

// These guard against a final refusal, which callers don't repeat, of a call
// whose route was added while the store didn't serve the node.
TEST(ConfigRefusal, RefusingStoreMakesRefusalsTemporary) {
  checkRouteAddedMeanwhile(lab::StoreFault::Refuse);
}

TEST(ConfigRefusal, SilentStoreMakesRefusalsTemporary) {
  checkRouteAddedMeanwhile(lab::StoreFault::Silence);
}

TEST(ConfigRefusal, ResettingStoreMakesRefusalsTemporary) {
  checkRouteAddedMeanwhile(lab::StoreFault::Reset);
}

// The log tells from which version, how old and from whom, a call was refused.
TEST(ConfigRefusal, LogNamesTheConfiguration) {
  LONGS_EQUAL(404, callNewRoute());
  const auto line =
      fixture.Process.waitEvent("call_not_in_config", std::chrono::seconds(2));
  CHECK(line.has_value());
  LONGS_EQUAL(1, line->value("version", 0));
  STRCMP_EQUAL("not_found", line->value("code", "").c_str());
  STRCMP_EQUAL("store", line->value("source", "").c_str());
  CHECK(line->value("age_ms", -1) >= 0);
}

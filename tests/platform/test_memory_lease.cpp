#include "tests/support/reserving_engine.h"

#include <chrono>
#include <fmt/format.h>
#include <thread>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally;
using namespace orioletally::tests;

namespace {

using std::chrono::milliseconds;

/// For how long memory may be reserved that no prompt uses, as the platform
/// states it.
constexpr milliseconds MaxUnused(9'000);
constexpr int CallTimeoutMs = 14'000;
constexpr size_t EngineCount = 6;
constexpr const char *LongPrompt = "X-Orioletally-Token-Counts: 60000,100\r\n"
                                   "X-Orioletally-Deadline-Ms: 14000\r\n";

} // namespace

TEST_GROUP(MemoryLease) {
  RelayFixture node;

  void start(const ReservingEngine &engine) {
    node.configure(1);
    configureSmallEngines(node, 2, CallTimeoutMs);
    for (size_t n = 0; n < EngineCount; ++n)
      node.listBackend(fmt::format("e-{}", n), "engine", engine.address());
    CHECK(node.start(EngineCount));
  }
};

// Its prompt waits for longer than the platform lets memory lie unused.
TEST(MemoryLease, MemoryThatNoPromptUsesIsReleasedInTime) {
  ReservingEngine engine(scripts::silence());
  start(engine);
  std::thread repeatable([&] { node.call("POST", "/ask/x", LongPrompt, "b"); });
  node.call("POST", "/once/x", LongPrompt, "b");
  repeatable.join();
  CHECK(engine.made() > 1);
  CHECK(within(500, [&] { return engine.left() == 0; }));
  CHECK_COMPARE(engine.longest().count(), <, MaxUnused.count());
}

TEST(MemoryLease, MemoryInUseIsKeptForALatePrompt) {
  for (const char *state : {"used", ""}) {
    RelayFixture other;
    other.configure(1);
    configureSmallEngines(other, 2, CallTimeoutMs);
    ReservingEngine engine(
        [](const lab::RawRequest &request, const lab::RawConnection &out) {
          if (out.closesWithin(10'000))
            return false;
          return scripts::stream(1, 3, 1)(request, out);
        });
    engine.setState(state);
    for (size_t n = 0; n < EngineCount; ++n)
      other.listBackend(fmt::format("e-{}", n), "engine", engine.address());
    CHECK(other.start(EngineCount));
    const CallerAnswer answer = other.call("POST", "/once/x", LongPrompt, "b");
    LONGS_EQUAL(200, answer.Status);
    CHECK(answer.Complete);
    CHECK_COMPARE(engine.longest().count(), >, MaxUnused.count());
    CHECK(within(500, [&] { return engine.left() == 0; }));
  }
}

// The reservations of a prompt are filled in turn: the later ones are unused
// while it is read.
TEST(MemoryLease, LaterMemoryThatIsUnusedDoesNotEndAPromptOfUnknownUse) {
  ReservingEngine engine(
      [](const lab::RawRequest &request, const lab::RawConnection &out) {
        if (out.closesWithin(10'000))
          return false;
        return scripts::stream(1, 3, 1)(request, out);
      });
  engine.setFirstState("unreadable");
  start(engine);
  const CallerAnswer answer =
      node.call("POST", "/once/x",
                "X-Orioletally-Token-Counts: 110000,100\r\n"
                "X-Orioletally-Deadline-Ms: 14000\r\n",
                "b");
  CHECK(engine.made() > 1);
  LONGS_EQUAL(200, answer.Status);
  CHECK_COMPARE(engine.longest().count(), >, MaxUnused.count());
}

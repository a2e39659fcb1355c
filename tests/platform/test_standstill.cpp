#include "tests/support/relay_fixture.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <thread>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally;
using namespace orioletally::tests;

namespace {

using lab::RawConnection;
using lab::RawRequest;
using std::chrono::milliseconds;

constexpr int CallsPerKind = 8;
constexpr auto BeforeStop = milliseconds(200);
/// Longer than any time after which a server counts as silent.
constexpr auto StopTime = milliseconds(2'000);
/// A plain answer comes during the stop, and without one is soon enough.
constexpr int PlainAnswerMs = 400;
constexpr int EventCount = 35;
constexpr int EventGapMs = 100;

std::string answer(const RawRequest &request, const std::string &rest) {
  return fmt::format("HTTP/1.1 200 OK\r\nX-Orioletally-Attempt-Id: {}\r\n"
                     "X-Orioletally-Response-Signature: sig\r\n{}",
                     request.header("x-orioletally-attempt-id"), rest);
}

} // namespace

TEST_GROUP(Standstill){};

// A node that stood still must read what waits before it doubts a server.
TEST(Standstill, NoServerIsDoubtedForIt) {
  RelayFixture fixture;
  fixture.PlainTimeoutMs = 6'000;
  fixture.configure(1);
  std::atomic<int> attempts = 0;
  const StandInBackend plain(
      [&](const RawRequest &request, const RawConnection &out) {
        ++attempts;
        if (out.closesWithin(PlainAnswerMs))
          return false;
        out.write(answer(request, "Content-Length: 5\r\n\r\nwhole"));
        return true;
      });
  const StandInBackend::Script stream =
      scripts::stream(1, EventCount, EventGapMs);
  const StandInBackend engine(
      [&](const RawRequest &request, const RawConnection &out) {
        ++attempts;
        return stream(request, out);
      });
  for (int n = 0; n < 2; ++n) {
    fixture.listBackend(fmt::format("plain-{}", n), "plain", plain.address());
    fixture.listBackend(fmt::format("engine-{}", n), "engine",
                        engine.address());
  }
  CHECK(fixture.start(4));
  std::vector<CallerAnswer> answers(2 * CallsPerKind);
  std::vector<std::thread> callers;
  for (int n = 0; n < 2 * CallsPerKind; ++n)
    callers.emplace_back([&, n] {
      answers[n] = n < CallsPerKind ? fixture.call("POST", "/read/x", "", "b")
                                    : fixture.call("POST", "/ask/x", "", "b");
    });
  std::this_thread::sleep_for(BeforeStop);
  const bool isFrozen = fixture.Process.freeze();
  std::this_thread::sleep_for(StopTime);
  fixture.Process.signal(SIGCONT);
  for (std::thread &it : callers)
    it.join();
  CHECK(isFrozen);
  int whole = 0;
  for (const CallerAnswer &it : answers)
    whole += it.Status == 200 && it.Complete ? 1 : 0;
  const std::string log = fixture.Process.log();
  int silences = 0;
  for (size_t at = log.find("\"silence\""); at != std::string::npos;
       at = log.find("\"silence\"", at + 1))
    ++silences;
  std::printf("%d whole, %d attempts, %d silences\n", whole, attempts.load(),
              silences);
  LONGS_EQUAL(2 * CallsPerKind, whole);
  LONGS_EQUAL(0, silences);
  LONGS_EQUAL(2 * CallsPerKind, attempts);
}

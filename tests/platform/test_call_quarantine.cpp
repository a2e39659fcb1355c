#include "tests/support/relay_fixture.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <memory>
#include <thread>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally;
using namespace orioletally::tests;

namespace {

/// As the platform states them: the time after the third crash from which
/// retries are counted, and the number allowed.
constexpr std::chrono::seconds DecisionTime(3);
constexpr int AllowedRetries = 3;
constexpr int BackendCount = 6;

/// Backend servers that crash when they begin to execute a certain call.
class CrashingBackends {
public:
  CrashingBackends(RelayFixture &fixture, const std::string &service) {
    for (int n = 0; n < BackendCount; ++n) {
      Backends.push_back(std::make_unique<StandInBackend>(
          [this, service](const lab::RawRequest &request,
                          const lab::RawConnection &out) {
            if (request.Body != "deadly")
              return service == "engine"
                         ? scripts::stream(1, 3, 1)(request, out)
                         : scripts::answer("ok")(request, out);
            ++Crashes;
            return false;
          }));
      fixture.listBackend(fmt::format("i-{}", n), service,
                          Backends.back()->address());
    }
  }

  int crashes() const { return Crashes; }

private:
  std::atomic<int> Crashes = 0;
  std::vector<std::unique_ptr<StandInBackend>> Backends;
};

} // namespace

TEST_GROUP(CallQuarantine) {
  std::vector<std::unique_ptr<RelayFixture>> nodes;

  void setup() override {
    nodes.push_back(std::make_unique<RelayFixture>());
    nodes.front()->configure(1);
    for (const char *name : {"n2", "n3"})
      nodes.push_back(std::make_unique<RelayFixture>(*nodes.front(), name));
  }

  void start() {
    for (const auto &it : nodes)
      CHECK(it->start(BackendCount));
    for (const auto &it : nodes)
      CHECK(it->Process.waitEvent("peer_found", std::chrono::seconds(15))
                .has_value());
  }

  CallerAnswer callDeadly(size_t node, const std::string &path) const {
    return nodes[node % nodes.size()]->call("POST", path, "", "deadly");
  }

  /// Repeats the call that crashes backend servers through each node in turn.
  /// Returns how many crashes it causes later than DecisionTime after the third
  /// one.
  int repeatDeadly(const CrashingBackends &backends, const std::string &path) {
    size_t node = 0;
    while (backends.crashes() < 3 && node < 50)
      callDeadly(node++, path);
    std::this_thread::sleep_for(DecisionTime);
    const int before = backends.crashes();
    for (int n = 0; n < 20; ++n)
      callDeadly(node++, path);
    return backends.crashes() - before;
  }
};

TEST(CallQuarantine, CallThatCrashesEnginesIsRefusedOnAllNodes) {
  const CrashingBackends engines(*nodes.front(), "engine");
  start();
  CHECK_COMPARE(repeatDeadly(engines, "/ask/x"), <=, AllowedRetries);
  for (size_t n = 0; n < nodes.size(); ++n) {
    const CallerAnswer refused = callDeadly(n, "/ask/x");
    LONGS_EQUAL(503, refused.Status);
    CHECK_COMPARE(std::atof(refused.header("retry-after").c_str()), >, 10);
    LONGS_EQUAL(200, nodes[n]->call("POST", "/ask/x", "", "harmless").Status);
    LONGS_EQUAL(200, nodes[n]
                         ->call("POST", "/ask/x",
                                "Authorization: Token key-s\r\n", "harmless")
                         .Status);
  }
}

TEST(CallQuarantine, CallThatCrashesPlainServersIsRefusedOnAllNodes) {
  const CrashingBackends servers(*nodes.front(), "plain");
  start();
  CHECK_COMPARE(repeatDeadly(servers, "/read/x"), <=, AllowedRetries);
  for (size_t n = 0; n < nodes.size(); ++n) {
    LONGS_EQUAL(503, callDeadly(n, "/read/x").Status);
    LONGS_EQUAL(200, nodes[n]->call("POST", "/read/x", "", "harmless").Status);
  }
}

TEST(CallQuarantine, CallThatMayRunOnceIsRefusedAfterItsThirdCrash) {
  const CrashingBackends servers(*nodes.front(), "plain");
  start();
  CHECK_COMPARE(repeatDeadly(servers, "/write/x"), <=, AllowedRetries);
  LONGS_EQUAL(503, callDeadly(0, "/write/x").Status);
}

TEST(CallQuarantine, OutlastsARestartOfAllNodes) {
  const CrashingBackends engines(*nodes.front(), "engine");
  start();
  repeatDeadly(engines, "/ask/x");
  for (const auto &it : nodes) {
    it->Process.signal(SIGKILL);
    it->Process.waitExit(std::chrono::seconds(5));
  }
  start();
  const int before = engines.crashes();
  for (size_t n = 0; n < 10; ++n)
    callDeadly(n, "/ask/x");
  CHECK_COMPARE(engines.crashes() - before, <=, AllowedRetries);
}

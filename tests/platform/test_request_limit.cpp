#include "tests/support/relay_fixture.h"

#include <algorithm>
#include <chrono>
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

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// As the platform states them: the window in which requests are counted, and
/// the number allowed in it.
constexpr milliseconds Window(4'000);
int allowedRequests(double perSecond) {
  return static_cast<int>(1.5 * perSecond * 4 + 5);
}

/// A backend server that states a limit on its requests.
class LimitedBackend {
public:
  explicit LimitedBackend(std::string limit)
      : Limit(std::move(limit)), Server([this](const lab::RawRequest &request,
                                               const lab::RawConnection &out) {
          std::string header;
          {
            const std::lock_guard lock(Guard);
            Arrivals.push_back(Clock::now());
            if (!Limit.empty())
              header = fmt::format("Server-Limit: {}\r\n", Limit);
          }
          return scripts::bytes("HTTP/1.1 200 OK\r\n" + header +
                                    "X-Orioletally-Attempt-Id: {id}\r\n"
                                    "X-Orioletally-Response-Signature: sig\r\n"
                                    "Content-Length: 2\r\n\r\nok",
                                false)(request, out);
        }) {}

  const std::string &address() const { return Server.address(); }
  /// An empty \p limit is no limit.
  void setLimit(std::string limit) {
    const std::lock_guard lock(Guard);
    Limit = std::move(limit);
  }
  /// Requests that have arrived since \p start.
  int countSince(Clock::time_point start) const {
    const std::lock_guard lock(Guard);
    return static_cast<int>(
        std::count_if(Arrivals.begin(), Arrivals.end(),
                      [&](Clock::time_point it) { return it >= start; }));
  }
  /// The most requests within Window since \p start.
  int mostInWindow(Clock::time_point start) const {
    const std::lock_guard lock(Guard);
    int most = 0;
    for (const Clock::time_point first : Arrivals)
      if (first >= start)
        most = std::max(most, static_cast<int>(std::count_if(
                                  Arrivals.begin(), Arrivals.end(),
                                  [&](Clock::time_point it) {
                                    return it >= first && it < first + Window;
                                  })));
    return most;
  }

private:
  mutable std::mutex Guard;
  std::string Limit;
  std::vector<Clock::time_point> Arrivals;
  StandInBackend Server;
};

} // namespace

TEST_GROUP(RequestLimit) {
  std::vector<std::unique_ptr<RelayFixture>> nodes;

  void setup() override {
    nodes.push_back(std::make_unique<RelayFixture>());
    nodes.front()->configure(1);
  }

  void addNodes(int count) {
    for (int n = 0; n < count; ++n)
      nodes.push_back(std::make_unique<RelayFixture>(
          *nodes.front(), fmt::format("n{}", nodes.size() + 1)));
  }

  void list(const std::string &id, const std::string &address) {
    nodes.front()->listBackend(id, "plain", address);
  }

  /// Starts all nodes and waits until they know each other.
  void start(size_t backends) {
    for (const auto &it : nodes)
      CHECK(it->start(backends));
    if (nodes.size() < 2)
      return;
    for (const auto &it : nodes)
      CHECK(it->Process.waitEvent("peer_found", std::chrono::seconds(15))
                .has_value());
  }

  /// Makes a call through each node in turn for \p time; returns how many were
  /// answered with \p status.
  int callAll(milliseconds time, int status = 200) {
    int count = 0;
    const Clock::time_point end = Clock::now() + time;
    while (Clock::now() < end)
      for (const auto &it : nodes) {
        count += it->call("GET", "/read/x").Status == status ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(8));
      }
    return count;
  }
};

TEST(RequestLimit, HoldsForAllNodesTogether) {
  LimitedBackend limited("1.5");
  StandInBackend other(scripts::answer("other"));
  addNodes(3);
  list("i-1", limited.address());
  list("i-2", other.address());
  start(2);
  callAll(milliseconds(500));
  const Clock::time_point start = Clock::now();
  const int refused = callAll(milliseconds(4'500), 503);
  CHECK_COMPARE(limited.mostInWindow(start), <=, allowedRequests(1.5));
  LONGS_EQUAL(0, refused);
}

// A node that starts later sends a request or two before it hears of the limit.
TEST(RequestLimit, BindsANodeThatStartsLater) {
  LimitedBackend limited("1");
  StandInBackend other(scripts::answer("other"));
  addNodes(2);
  list("i-1", limited.address());
  list("i-2", other.address());
  const std::unique_ptr<RelayFixture> late = std::move(nodes.back());
  nodes.pop_back();
  start(2);
  callAll(milliseconds(500));
  CHECK(late->start(2));
  CHECK(late->Process.waitEvent("request_limit", std::chrono::seconds(5))
            .has_value());
  const Clock::time_point start = Clock::now();
  const Clock::time_point end = start + Window;
  while (Clock::now() < end)
    LONGS_EQUAL(200, late->call("GET", "/read/x").Status);
  CHECK_COMPARE(limited.mostInWindow(start), <=, allowedRequests(1));
}

TEST(RequestLimit, IsKeptAgainAfterARestartOfAllNodes) {
  LimitedBackend limited("1");
  StandInBackend other(scripts::answer("other"));
  addNodes(2);
  list("i-1", limited.address());
  list("i-2", other.address());
  start(2);
  callAll(milliseconds(300));
  for (const auto &it : nodes) {
    it->Process.signal(SIGKILL);
    it->Process.waitExit(std::chrono::seconds(5));
  }
  start(2);
  callAll(milliseconds(500));
  const Clock::time_point start = Clock::now();
  const int refused = callAll(milliseconds(4'500), 503);
  CHECK_COMPARE(limited.mostInWindow(start), <=, allowedRequests(1));
  LONGS_EQUAL(0, refused);
}

TEST(RequestLimit, EndsOnAllNodesWhenItIsLifted) {
  LimitedBackend limited("2");
  StandInBackend other(scripts::answer("other"));
  addNodes(2);
  list("i-1", limited.address());
  list("i-2", other.address());
  start(2);
  callAll(milliseconds(500));
  limited.setLimit("");
  // Within a second, one of the nodes may send a request and learns of it.
  callAll(milliseconds(1'500));
  for (const auto &it : nodes)
    CHECK(it->Process.waitEvent("request_limit_lifted", milliseconds(100))
              .has_value());
  const Clock::time_point start = Clock::now();
  callAll(milliseconds(1'500));
  CHECK_COMPARE(limited.countSince(start), >, 20);
}

TEST(RequestLimit, OddValuesAreIgnored) {
  for (const char *value : {"-1", "nan", "many", "inf", "1e999"}) {
    RelayFixture node;
    node.configure(1);
    LimitedBackend limited(value);
    node.listBackend("i-1", "plain", limited.address());
    CHECK(node.start(1));
    for (int n = 0; n < 20; ++n)
      LONGS_EQUAL(200, node.call("GET", "/read/x").Status);
    CHECK(node.Process.waitEvent("request_limit_unreadable", milliseconds(500))
              .has_value());
  }
}

TEST(RequestLimit, OfZeroStopsCallsUntilItIsLifted) {
  LimitedBackend limited("0");
  list("i-1", limited.address());
  start(1);
  LONGS_EQUAL(200, nodes.front()->call("GET", "/read/x").Status);
  const CallerAnswer refused = nodes.front()->call("GET", "/read/x");
  LONGS_EQUAL(503, refused.Status);
  CHECK_COMPARE(std::atof(refused.header("retry-after").c_str()), >, 1);
}

// Nobody hears of it before the next call that the limit allows, 10 s apart.
TEST(RequestLimit, OfZeroHoldsNoCallBackOnceAnAnswerHasLiftedIt) {
  LimitedBackend limited("0");
  addNodes(1);
  list("i-1", limited.address());
  start(1);
  callAll(milliseconds(1'000));
  limited.setLimit("");
  const Clock::time_point lifted = Clock::now();
  const auto isServed = [](const auto &node) {
    return node->call("GET", "/read/x").Status == 200;
  };
  CHECK(within(10'500, [&] { return isServed(nodes.back()); }));
  const Clock::time_point known = Clock::now();
  for (const auto &it : nodes)
    CHECK(within(200, [&] { return isServed(it); }));
  fmt::print("served {} ms after the limit was lifted, by all nodes {} ms "
             "later\n",
             (known - lifted) / milliseconds(1),
             (Clock::now() - known) / milliseconds(1));
  LONGS_EQUAL(0, callAll(milliseconds(1'500), 503));
}

// The calls that the limits don't allow are refused at once, those that they
// allow are made.
TEST(RequestLimit, AllowedRateIsUsedWhenAllBackendServersAreLimited) {
  LimitedBackend first("2");
  LimitedBackend second("3");
  addNodes(2);
  list("i-1", first.address());
  list("i-2", second.address());
  start(2);
  callAll(milliseconds(500));
  const Clock::time_point start = Clock::now();
  const int served = callAll(Window);
  CHECK_COMPARE(served, >=, 4 * (2 + 3) - 3);
  CHECK_COMPARE(first.mostInWindow(start), <=, allowedRequests(2));
  CHECK_COMPARE(second.mostInWindow(start), <=, allowedRequests(3));
  const Clock::time_point sentAt = Clock::now();
  CallerAnswer refused;
  do
    refused = nodes.front()->call("GET", "/read/x");
  while (refused.Status != 503 && Clock::now() - sentAt < Window);
  LONGS_EQUAL(503, refused.Status);
  CHECK_COMPARE(std::atof(refused.header("retry-after").c_str()), >, 0);
}

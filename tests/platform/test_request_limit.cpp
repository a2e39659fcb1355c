#include "tests/support/relay_fixture.h"

#include <algorithm>
#include <chrono>
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

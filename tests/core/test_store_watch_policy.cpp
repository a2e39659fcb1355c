#include "core/fleet/store_watch_policy.h"
#include "tests/support/request_fixture.h"

#include <fmt/format.h>
#include <set>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally::core::fleet;
using orioletally::core::platform::FleetTopic;
using orioletally::tests::at;

namespace {

std::vector<std::string> names(int n) {
  std::vector<std::string> result;
  for (int it = 0; it < n; ++it)
    result.push_back(fmt::format("node-{}", it));
  return result;
}

/// A cell whose nodes apply their policy every 250 ms. Every second they send
/// each other a heartbeat with the time when the store last answered them.
struct Cell {
  static constexpr int64_t StepMs = 250;
  static constexpr int64_t HeartbeatMs = 1'000;

  explicit Cell(int n) : Names(names(n)) {
    for (const std::string &it : Names) {
      Policies.emplace_back(it);
      Policies.back().setCell(Names);
    }
    AnsweredAt.resize(Names.size(), absl::InfinitePast());
    LastFailedAt.resize(Names.size(), absl::InfinitePast());
  }

  bool shouldWatchStore(size_t n, absl::Time now) const {
    return Policies[n].shouldWatchStore(FleetTopic::Config, AnsweredAt[n], now);
  }

  std::set<size_t> watchers(absl::Time now) const {
    std::set<size_t> result;
    for (size_t n = 0; n < Names.size(); ++n)
      if (!SilentNodes.contains(n) && shouldWatchStore(n, now))
        result.insert(n);
    return result;
  }

  void callStore(size_t n, absl::Time now) {
    if (!IsStoreDown && !RejectedNodes.contains(n)) {
      AnsweredAt[n] = now;
      return;
    }
    // The pause of the driver between two failed calls.
    if (now - LastFailedAt[n] < absl::Seconds(1))
      return;
    LastFailedAt[n] = now;
    ++FailedCalls;
  }

  void sendHeartbeats(absl::Time now) {
    for (size_t from = 0; from < Names.size(); ++from)
      for (size_t to = 0; to < Names.size(); ++to) {
        if (to == from || SilentNodes.contains(from) ||
            SilentNodes.contains(to))
          continue;
        Policies[to].recordMessage(Names[from], now);
        Policies[to].recordStoreAnswer(Names[from], FleetTopic::Config,
                                       AnsweredAt[from]);
      }
  }

  void run(int64_t from, int64_t to) {
    for (int64_t ms = from; ms < to; ms += StepMs) {
      for (const size_t n : watchers(at(ms)))
        callStore(n, at(ms));
      if (ms % HeartbeatMs == 0)
        sendHeartbeats(at(ms));
    }
  }

  /// Whether the store has answered a node that isn't silent at \p since or
  /// later.
  bool hasAnswerSince(int64_t since) const {
    for (size_t n = 0; n < Names.size(); ++n)
      if (!SilentNodes.contains(n) && AnsweredAt[n] >= at(since))
        return true;
    return false;
  }

  std::vector<std::string> Names;
  std::vector<StoreWatchPolicy> Policies;
  std::vector<absl::Time> AnsweredAt;
  std::vector<absl::Time> LastFailedAt;
  /// Number of calls that the store did not answer.
  int FailedCalls = 0;
  bool IsStoreDown = false;
  std::set<size_t> SilentNodes;
  /// Nodes that the store doesn't answer.
  std::set<size_t> RejectedNodes;
};

/// Runs \p check on cells of every size up to 60, from the smallest in which
/// some nodes don't watch, each after five seconds without a fault.
template <typename Check> void forEachSettledCell(Check check) {
  for (int nodes = 9; nodes <= 60; ++nodes) {
    Cell cell(nodes);
    cell.run(0, 5'000);
    check(cell);
  }
}

} // namespace

TEST_GROUP(StoreWatchPolicy){};

TEST(StoreWatchPolicy, FewNodesOfALargeCellWatchTheStore) {
  Cell cell(24);
  LONGS_EQUAL(24, cell.watchers(at(0)).size());
  cell.run(0, 5'000);
  LONGS_EQUAL(StoreWatchPolicy::WatchersPerCell,
              cell.watchers(at(5'000)).size());
}

TEST(StoreWatchPolicy, AllNodesOfASmallCellWatchTheStore) {
  Cell cell(8);
  cell.run(0, 5'000);
  LONGS_EQUAL(8, cell.watchers(at(5'000)).size());
}

TEST(StoreWatchPolicy, OthersTakeOverFromSilentWatchers) {
  forEachSettledCell([](Cell &cell) {
    cell.SilentNodes = cell.watchers(at(5'000));
    // Silence is detected after 2.5 s.
    cell.run(5'000, 8'500);
    CHECK(cell.hasAnswerSince(7'000));
    cell.run(8'500, 20'000);
    LONGS_EQUAL(StoreWatchPolicy::WatchersPerCell,
                cell.watchers(at(20'000)).size());
  });
}

TEST(StoreWatchPolicy, OthersTakeOverFromWatchersThatTheStoreRejects) {
  forEachSettledCell([](Cell &cell) {
    cell.RejectedNodes = cell.watchers(at(5'000));
    cell.run(5'000, 9'000);
    CHECK(cell.hasAnswerSince(7'000));
    cell.run(9'000, 20'000);
    const std::set<size_t> watchers = cell.watchers(at(20'000));
    LONGS_EQUAL(StoreWatchPolicy::WatchersPerCell, watchers.size());
    for (const size_t n : watchers)
      CHECK_FALSE(cell.RejectedNodes.contains(n));
  });
}

// While the store is down for all nodes, a cell calls it as often as its few
// watchers would, not from each of its nodes.
TEST(StoreWatchPolicy, LimitsTheStoreCallsOfACellDuringAnOutage) {
  forEachSettledCell([](Cell &cell) {
    cell.IsStoreDown = true;
    cell.run(5'000, 16'000);
    // Two calls per retry slot for 11 s, and a quarter more by chance.
    CHECK(cell.FailedCalls <= 55);
    cell.IsStoreDown = false;
    cell.run(16'000, 17'500);
    CHECK(cell.hasAnswerSince(16'000));
    cell.run(17'500, 25'000);
    LONGS_EQUAL(StoreWatchPolicy::WatchersPerCell,
                cell.watchers(at(25'000)).size());
  });
}

TEST(StoreWatchPolicy, IsolatedNodeWatchesTheStore) {
  StoreWatchPolicy policy("node-0");
  const absl::Time never = absl::InfinitePast();
  CHECK(policy.shouldWatchStore(FleetTopic::Config, never, at(0)));
  policy.setCell(names(24));
  for (int64_t ms = 0; ms < 10'000; ms += 250)
    CHECK(policy.shouldWatchStore(FleetTopic::Config, never, at(ms)));
}

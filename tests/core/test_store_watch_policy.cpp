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

/// A cell whose nodes obey their duty every 250 ms and say every second that
/// they are there and when the store last answered them.
struct Cell {
  static constexpr int64_t StepMs = 250;
  static constexpr int64_t BeatMs = 1'000;

  explicit Cell(int n) : Names(names(n)) {
    for (const std::string &it : Names) {
      Duties.emplace_back(it);
      Duties.back().setCell(Names);
    }
    FollowedAt.resize(Names.size(), absl::InfinitePast());
    TriedAt.resize(Names.size(), absl::InfinitePast());
  }

  bool shouldWatchStore(size_t n, absl::Time now) const {
    return Duties[n].shouldWatchStore(FleetTopic::Config, FollowedAt[n], now);
  }

  std::set<size_t> followers(absl::Time now) const {
    std::set<size_t> result;
    for (size_t n = 0; n < Names.size(); ++n)
      if (!Silent.contains(n) && shouldWatchStore(n, now))
        result.insert(n);
    return result;
  }

  void call(size_t n, absl::Time now) {
    if (!IsStoreDown && !TurnedAway.contains(n)) {
      FollowedAt[n] = now;
      return;
    }
    // The driver's pause between tries.
    if (now - TriedAt[n] < absl::Seconds(1))
      return;
    TriedAt[n] = now;
    ++Tries;
  }

  void beat(absl::Time now) {
    for (size_t from = 0; from < Names.size(); ++from)
      for (size_t to = 0; to < Names.size(); ++to) {
        if (to == from || Silent.contains(from) || Silent.contains(to))
          continue;
        Duties[to].recordMessage(Names[from], now);
        Duties[to].recordStoreAnswer(Names[from], FleetTopic::Config,
                                     FollowedAt[from]);
      }
  }

  void run(int64_t from, int64_t to) {
    for (int64_t ms = from; ms < to; ms += StepMs) {
      for (const size_t n : followers(at(ms)))
        call(n, at(ms));
      if (ms % BeatMs == 0)
        beat(at(ms));
    }
  }

  /// Whether the store answered a node that the others hear at \p since or
  /// later.
  bool isFollowedSince(int64_t since) const {
    for (size_t n = 0; n < Names.size(); ++n)
      if (!Silent.contains(n) && FollowedAt[n] >= at(since))
        return true;
    return false;
  }

  std::vector<std::string> Names;
  std::vector<StoreWatchPolicy> Duties;
  std::vector<absl::Time> FollowedAt;
  std::vector<absl::Time> TriedAt;
  /// Calls that the store didn't answer.
  int Tries = 0;
  bool IsStoreDown = false;
  std::set<size_t> Silent;
  /// Those that the store doesn't answer.
  std::set<size_t> TurnedAway;
};

/// Lets \p check look at cells of every size from the least that has nodes that
/// don't follow, each after five quiet seconds.
template <typename Check> void forEachSettledCell(Check check) {
  for (int nodes = 9; nodes <= 60; ++nodes) {
    Cell cell(nodes);
    cell.run(0, 5'000);
    check(cell);
  }
}

} // namespace

TEST_GROUP(StoreWatchPolicy){};

TEST(StoreWatchPolicy, AFewNodesOfALargeCellFollow) {
  Cell cell(24);
  LONGS_EQUAL(24, cell.followers(at(0)).size());
  cell.run(0, 5'000);
  LONGS_EQUAL(StoreWatchPolicy::WatchersPerCell,
              cell.followers(at(5'000)).size());
}

TEST(StoreWatchPolicy, AllNodesOfASmallCellFollow) {
  Cell cell(8);
  cell.run(0, 5'000);
  LONGS_EQUAL(8, cell.followers(at(5'000)).size());
}

TEST(StoreWatchPolicy, OthersTakeOverFromFollowersThatFallSilent) {
  forEachSettledCell([](Cell &cell) {
    cell.Silent = cell.followers(at(5'000));
    // Silence is found after 2.5 s.
    cell.run(5'000, 8'500);
    CHECK(cell.isFollowedSince(7'000));
    cell.run(8'500, 20'000);
    LONGS_EQUAL(StoreWatchPolicy::WatchersPerCell,
                cell.followers(at(20'000)).size());
  });
}

TEST(StoreWatchPolicy, OthersTakeOverFromFollowersThatTheStoreTurnsAway) {
  forEachSettledCell([](Cell &cell) {
    cell.TurnedAway = cell.followers(at(5'000));
    cell.run(5'000, 9'000);
    CHECK(cell.isFollowedSince(7'000));
    cell.run(9'000, 20'000);
    const std::set<size_t> followers = cell.followers(at(20'000));
    LONGS_EQUAL(StoreWatchPolicy::WatchersPerCell, followers.size());
    for (const size_t n : followers)
      CHECK_FALSE(cell.TurnedAway.contains(n));
  });
}

// While the store is down for all, a cell tries as often as its few followers
// would, and not with each of its nodes.
TEST(StoreWatchPolicy, ACellSharesItsTriesWhileTheStoreIsDown) {
  forEachSettledCell([](Cell &cell) {
    cell.IsStoreDown = true;
    cell.run(5'000, 16'000);
    // Four tries a turn for 11 s, and a quarter more by chance.
    CHECK(cell.Tries <= 110);
    cell.IsStoreDown = false;
    cell.run(16'000, 17'500);
    CHECK(cell.isFollowedSince(16'000));
    cell.run(17'500, 25'000);
    LONGS_EQUAL(StoreWatchPolicy::WatchersPerCell,
                cell.followers(at(25'000)).size());
  });
}

TEST(StoreWatchPolicy, ANodeThatHearsNobodyFollows) {
  StoreWatchPolicy duty("node-0");
  const absl::Time never = absl::InfinitePast();
  CHECK(duty.shouldWatchStore(FleetTopic::Config, never, at(0)));
  duty.setCell(names(24));
  for (int64_t ms = 0; ms < 10'000; ms += 250)
    CHECK(duty.shouldWatchStore(FleetTopic::Config, never, at(ms)));
}

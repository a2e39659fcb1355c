#include "core/fleet/follow_duty.h"
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

/// A cell of which each node hears the others but those in Silent.
struct Cell {
  explicit Cell(int n) : Names(names(n)) {
    for (const std::string &it : Names) {
      Duties.emplace_back(it);
      Duties.back().setCell(Names);
    }
  }

  void beat(absl::Time now) {
    for (size_t from = 0; from < Names.size(); ++from) {
      if (Silent.contains(from))
        continue;
      for (size_t to = 0; to < Names.size(); ++to) {
        if (to == from || Silent.contains(to))
          continue;
        Duties[to].heard(Names[from], now);
        if (Duties[from].mustFollow(FleetTopic::Config, now) &&
            !TurnedAway.contains(from))
          Duties[to].followed(Names[from], FleetTopic::Config, now);
      }
    }
  }

  std::set<size_t> followers(absl::Time now) {
    std::set<size_t> result;
    for (size_t n = 0; n < Names.size(); ++n)
      if (!Silent.contains(n) && Duties[n].mustFollow(FleetTopic::Config, now))
        result.insert(n);
    return result;
  }

  /// Beats each second from \p from to \p to.
  void run(int64_t from, int64_t to) {
    for (int64_t ms = from; ms <= to; ms += 1'000)
      beat(at(ms));
  }

  std::vector<std::string> Names;
  std::vector<FollowDuty> Duties;
  std::set<size_t> Silent;
  /// Those that the store doesn't answer.
  std::set<size_t> TurnedAway;
};

} // namespace

TEST_GROUP(FollowDuty){};

TEST(FollowDuty, AFewNodesOfALargeCellFollow) {
  Cell cell(24);
  LONGS_EQUAL(24, cell.followers(at(0)).size());
  cell.run(0, 5'000);
  LONGS_EQUAL(FollowDuty::Followers, cell.followers(at(5'000)).size());
}

TEST(FollowDuty, AllNodesOfASmallCellFollow) {
  Cell cell(8);
  cell.run(0, 5'000);
  LONGS_EQUAL(8, cell.followers(at(5'000)).size());
}

TEST(FollowDuty, OthersTakeOverFromFollowersThatFallSilent) {
  Cell cell(24);
  cell.run(0, 5'000);
  cell.Silent = cell.followers(at(5'000));
  cell.run(6'000, 8'000);
  CHECK(cell.followers(at(8'000)).size() >= FollowDuty::Followers);
  cell.run(9'000, 12'000);
  LONGS_EQUAL(FollowDuty::Followers, cell.followers(at(12'000)).size());
}

TEST(FollowDuty, AllFollowWhileTheStoreTurnsTheFollowersAway) {
  Cell cell(24);
  cell.run(0, 5'000);
  cell.TurnedAway = cell.followers(at(5'000));
  cell.run(6'000, 7'000);
  LONGS_EQUAL(24, cell.followers(at(5'000) + FollowDuty::FreshBound).size());
  // Once some that the store serves have told of it, the rest step back, while
  // those that it turned away go on trying.
  cell.run(8'000, 20'000);
  LONGS_EQUAL(2 * FollowDuty::Followers, cell.followers(at(20'000)).size());
  cell.TurnedAway.clear();
  cell.run(21'000, 22'000);
  LONGS_EQUAL(FollowDuty::Followers, cell.followers(at(22'000)).size());
}

TEST(FollowDuty, ANodeThatHearsNobodyFollows) {
  FollowDuty duty("node-0");
  CHECK(duty.mustFollow(FleetTopic::Config, at(0)));
  duty.setCell(names(24));
  CHECK(duty.mustFollow(FleetTopic::Config, at(0)));
}

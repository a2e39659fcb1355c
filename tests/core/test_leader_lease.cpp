#include "core/leases/leader_lease.h"
#include "tests/support/fake_table.h"
#include "tests/support/request_fixture.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <memory>
#include <random>

using namespace orioletally;
using core::leases::LeaderLease;
using core::leases::LeaseSettings;
using tests::at;
using tests::FakeTable;
using tests::TableFault;

namespace {

LeaseSettings settings() {
  LeaseSettings result;
  result.Key = "leases/orders";
  return result;
}

} // namespace

TEST_GROUP(LeaderLease) {
  FakeTable table;
  LeaderLease one{table, "one", settings()};
  LeaderLease two{table, "two", settings()};
};

TEST(LeaderLease, FollowerWaitsForTheLeaseToExpire) {
  one.poll(at(0));
  CHECK(one.fencingToken(at(0)) == 1);
  for (int64_t ms = 0; ms <= 11'000; ms += 1000)
    two.poll(at(ms));
  CHECK_FALSE(two.fencingToken(at(11'000)).has_value());
  two.poll(at(12'000));
  CHECK(two.fencingToken(at(12'000)) == 2);
  CHECK_FALSE(one.fencingToken(at(12'000)).has_value());
}

TEST(LeaderLease, FrozenHolderLosesTheExpiredLease) {
  one.poll(at(0));
  CHECK(one.fencingToken(at(9'999)).has_value());
  CHECK_FALSE(one.fencingToken(at(10'000)).has_value());
  two.poll(at(1));
  two.poll(at(12'001));
  one.poll(at(12'002));
  CHECK_FALSE(one.fencingToken(at(12'002)).has_value());
  CHECK(two.fencingToken(at(12'002)) == 2);
}

TEST(LeaderLease, ExpiredHolderReacquiresWithANewFencingToken) {
  one.poll(at(0));
  // Nobody took the lease while the holder was frozen: the row is unchanged,
  // and the frozen time counts as waiting. Writes that it sent before must
  // still be told apart, so the fencing token changes.
  one.poll(at(20'000));
  CHECK(one.fencingToken(at(20'000)) == 2);
}

TEST(LeaderLease, NeverTwoHoldersUnderSeededFaults) {
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    std::mt19937_64 random(seed);
    FakeTable faultyTable;
    faultyTable.Fault = [&](const std::string &call) {
      const auto draw = random() % 10;
      if (draw == 0)
        return TableFault::FailBefore;
      return draw == 1 && call == "commit" ? TableFault::LoseReply
                                           : TableFault::None;
    };
    std::vector<std::unique_ptr<LeaderLease>> nodes;
    for (int n = 0; n < 4; ++n)
      nodes.push_back(std::make_unique<LeaderLease>(
          faultyTable, fmt::format("n{}", n), settings()));
    uint64_t highest = 0;
    for (int64_t ms = 0; ms < 120'000; ms += 500) {
      // Each node polls about once a second; sometimes one is frozen.
      for (auto &it : nodes)
        if (random() % 2 == 0 &&
            (ms / 20'000) % 4 != static_cast<int64_t>(random() % 8))
          it->poll(at(ms));
      int holders = 0;
      for (auto &it : nodes) {
        const auto fencingToken = it->fencingToken(at(ms));
        if (!fencingToken.has_value())
          continue;
        ++holders;
        CHECK(*fencingToken >= highest);
        highest = std::max(highest, *fencingToken);
      }
      CHECK(holders <= 1);
    }
    CHECK(highest >= 1);
  }
}

#include "core/fleet/node_roster.h"
#include "tests/support/request_fixture.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace orioletally;
using core::fleet::NodeRoster;
using core::platform::NodeEntry;
using tests::at;

namespace {

const int64_t ExpiryMs = absl::ToInt64Milliseconds(NodeRoster::ExpiryTime);

std::vector<NodeEntry> entries(int n) {
  std::vector<NodeEntry> result;
  for (int it = 0; it < n; ++it)
    result.push_back({fmt::format("n{}", it), "10.0.0.1:1", "z", "r", 1, 7});
  return result;
}

} // namespace

TEST_GROUP(NodeRoster) {
  NodeRoster roster{"n0"};

  /// Records a message from each of the nodes \p from to \p to once a minute
  /// for an hour.
  void recordMessages(NodeRoster & target, int from, int to) {
    for (int64_t ms = 0; ms <= 2 * ExpiryMs; ms += 60'000)
      for (int it = from; it <= to; ++it)
        target.recordMessage(fmt::format("n{}", it), at(ms));
  }
};

TEST(NodeRoster, SilentNodeIsUnregisteredByOneOfTheOthers) {
  NodeRoster second{"n1"};
  roster.update(entries(5), at(0));
  second.update(entries(5), at(0));
  recordMessages(roster, 1, 3);
  recordMessages(second, 2, 3);
  second.recordMessage("n0", at(2 * ExpiryMs));
  const auto expiredNodes = roster.expired(at(2 * ExpiryMs));
  LONGS_EQUAL(1, expiredNodes.size());
  STRCMP_EQUAL("n4", expiredNodes[0].Name.c_str());
  LONGS_EQUAL(7, expiredNodes[0].RowVersion);
  LONGS_EQUAL(0, second.expired(at(2 * ExpiryMs)).size());
}

TEST(NodeRoster, UnregistersNobodyWhileMostNodesAreSilent) {
  roster.update(entries(6), at(0));
  recordMessages(roster, 1, 2);
  LONGS_EQUAL(0, roster.expired(at(2 * ExpiryMs)).size());
}

TEST(NodeRoster, RestartRenewsTheExpiryTime) {
  roster.update(entries(4), at(0));
  recordMessages(roster, 1, 2);
  auto restarted = entries(4);
  restarted[3].Incarnation = 2;
  roster.update(restarted, at(ExpiryMs));
  LONGS_EQUAL(0, roster.expired(at(ExpiryMs + 1)).size());
  LONGS_EQUAL(1, roster.expired(at(2 * ExpiryMs)).size());
}

TEST(NodeRoster, ReadingTheListAgainKeepsTheExpiryTime) {
  roster.update(entries(4), at(0));
  recordMessages(roster, 1, 2);
  roster.update(entries(4), at(ExpiryMs - 1));
  LONGS_EQUAL(1, roster.expired(at(ExpiryMs)).size());
}

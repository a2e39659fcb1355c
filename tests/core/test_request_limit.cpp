#include "core/fleet/backend_directory.h"
#include "core/fleet/request_limit.h"
#include "tests/support/request_fixture.h"

#include <fmt/format.h>
#include <iterator>
#include <map>
#include <set>
#include <utility>
#include <vector>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally::core;
using fleet::RequestLimit;
using orioletally::tests::at;

namespace {

constexpr int WindowMs = 4'000;

/// Requests sent from \p from to \p to by callers that are always waiting.
int sendAll(RequestLimit &limit, int from, int to) {
  int sent = 0;
  for (int ms = from; ms < to; ++ms)
    if (at(ms) >= limit.nextSendAt()) {
      limit.recordSend(at(ms));
      ++sent;
    }
  return sent;
}

std::vector<fleet::NodePlace> places(int nodes) {
  std::vector<fleet::NodePlace> result;
  for (int n = 0; n < nodes; ++n)
    result.push_back({fmt::format("n-{}", n), "z", "r"});
  return result;
}

/// Returns a directory as the node \p self of \p nodes nodes sees it, with
/// \p backends backend servers of one service.
fleet::BackendDirectory directory(int self, int nodes, int backends) {
  fleet::BackendDirectory result;
  std::vector<fleet::BackendEntry> entries(static_cast<size_t>(backends));
  for (int n = 0; n < backends; ++n) {
    fleet::BackendEntry &entry = entries[static_cast<size_t>(n)];
    entry.Id = fmt::format("i-{}", n);
    entry.Service = "desk";
    entry.Zone = "z";
    entry.StartedAtMs = 7;
  }
  result.replace(std::move(entries), at(0));
  result.setNodes(fmt::format("n-{}", self), places(nodes));
  return result;
}

/// When a whole fleet sends requests to "i-0" within \p ms under a limit of
/// \p perSecond. One node of each cell sends for its cell.
std::multiset<int> sendAsFleet(int nodes, int backends, double perSecond,
                               int ms) {
  const std::vector<fleet::NodePlace> all = places(nodes);
  std::map<std::vector<std::string>, int> cells;
  for (int n = 0; n < nodes; ++n) {
    const fleet::CellPlan plan(fmt::format("n-{}", n), all,
                               static_cast<size_t>(backends));
    cells.emplace(plan.members(), n);
  }
  std::multiset<int> sent;
  for (const auto &[members, node] : cells) {
    fleet::BackendDirectory view = directory(node, nodes, backends);
    view.applyLimit({"i-0", 7, {perSecond, at(0)}}, at(0));
    RequestLimit &limit = view.find("i-0")->Limit;
    for (int now = 1; now <= ms; ++now)
      if (sendAll(limit, now, now + 1) > 0)
        sent.insert(now);
  }
  return sent;
}

} // namespace

TEST_GROUP(RequestLimit) { RequestLimit limit; };

TEST(RequestLimit, AllowsEverythingWithoutAStatement) {
  CHECK(limit.nextSendAt() <= at(0));
  LONGS_EQUAL(100, sendAll(limit, 0, 100));
}

TEST(RequestLimit, AllowedRateIsUsedAndNotExceeded) {
  CHECK(limit.apply({2.5, at(0)}, at(0)));
  LONGS_EQUAL(10, sendAll(limit, 1, WindowMs + 1));
  LONGS_EQUAL(100, sendAll(limit, WindowMs + 1, 11 * WindowMs + 1));
}

TEST(RequestLimit, RequestsOfOtherNodesDelayTheNextOne) {
  limit.apply({1, at(0)}, at(0));
  CHECK(at(1'000) == limit.nextSendAt());
  // Three nodes send at the same time.
  for (int n = 0; n < 3; ++n)
    limit.recordSend(at(1'000));
  CHECK(at(3'000) <= limit.nextSendAt());
}

TEST(RequestLimit, ABurstBeforeTheLimitWasKnownIsForgottenInTime) {
  limit.apply({1, at(0)}, at(0));
  for (int n = 0; n < 100; ++n)
    limit.recordSend(at(10));
  CHECK(limit.nextSendAt() <= at(10 + WindowMs + 1'000));
}

TEST(RequestLimit, NewestStatementCounts) {
  CHECK(limit.apply({2, at(100)}, at(100)));
  CHECK_FALSE(limit.apply({std::nullopt, at(50)}, at(110)));
  CHECK_FALSE(limit.apply({2, at(120)}, at(120)));
  CHECK(limit.isActive());
  CHECK(limit.apply({std::nullopt, at(200)}, at(210)));
  CHECK_FALSE(limit.isActive());
  CHECK_FALSE(limit.apply({2, at(150)}, at(220)));
  CHECK(limit.nextSendAt() <= at(220));
}

TEST(RequestLimit, ChangedRateAppliesToTheRequestsAlreadySent) {
  limit.apply({1, at(0)}, at(0));
  limit.recordSend(at(1'000));
  limit.apply({10, at(1'000)}, at(1'000));
  CHECK(limit.nextSendAt() <= at(1'100));
}

TEST(RequestLimit, ZeroAllowsARareTrial) {
  limit.apply({0, at(0)}, at(0));
  LONGS_EQUAL(0, sendAll(limit, 1, WindowMs));
  LONGS_EQUAL(1, sendAll(limit, WindowMs, 14'000));
}

TEST(RequestLimit, SharesOfAllCellsKeepTheLimitTogether) {
  constexpr int Cells = 4;
  int sent = 0;
  for (int n = 0; n < Cells; ++n) {
    RequestLimit share;
    share.setShare(1.0 / Cells);
    share.apply({1, at(0)}, at(0));
    sendAll(share, 1, 20'000);
    sent += sendAll(share, 20'000, 20'000 + WindowMs);
  }
  CHECK_COMPARE(sent, <=, 4 + Cells);
  CHECK_COMPARE(sent, >=, 4);
}

TEST(RequestLimit, CellWithoutAShareSendsNothing) {
  limit.setShare(0);
  limit.apply({100, at(0)}, at(0));
  LONGS_EQUAL(0, sendAll(limit, 1, 60'000));
}

TEST_GROUP(FleetRequestLimit){};

// Hundreds of nodes are divided into cells that don't hear of each other's
// requests.
TEST(FleetRequestLimit, HoldsForAllCellsTogether) {
  for (const int nodes : {7, 195, 600})
    for (const int backends : {3, 172})
      for (const double perSecond : {0.5, 2.0, 40.0}) {
        constexpr int TimeMs = 40'000;
        const auto sent = sendAsFleet(nodes, backends, perSecond, TimeMs);
        CHECK_COMPARE(static_cast<double>(sent.size()), >=,
                      0.75 * perSecond * TimeMs / 1'000);
        for (const int first : sent) {
          const auto inWindow = std::distance(
              sent.lower_bound(first), sent.lower_bound(first + WindowMs));
          CHECK_COMPARE(static_cast<double>(inWindow), <=,
                        1.5 * perSecond * WindowMs / 1'000 + 5);
        }
      }
}

TEST(FleetRequestLimit, OfAnEarlierStartIsIgnored) {
  fleet::BackendDirectory view = directory(0, 7, 3);
  CHECK(view.applyLimit({"i-0", 6, {2, at(0)}}, at(0)) == nullptr);
  CHECK(view.applyLimit({"i-0", 7, {2, at(0)}}, at(0)) != nullptr);
  CHECK(view.applyLimit({"i-9", 7, {2, at(0)}}, at(0)) == nullptr);
}

TEST(FleetRequestLimit, LiftedLimitIsRepeatedForSomeTime) {
  fleet::BackendDirectory view = directory(0, 7, 3);
  view.applyLimit({"i-0", 7, {2, at(0)}}, at(0));
  LONGS_EQUAL(1, view.limits(at(60'000)).size());
  view.applyLimit({"i-0", 7, {std::nullopt, at(60'000)}}, at(60'000));
  LONGS_EQUAL(1, view.limits(at(65'000)).size());
  LONGS_EQUAL(0, view.limits(at(71'000)).size());
}

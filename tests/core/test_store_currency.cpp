#include "core/fleet/store_watch_policy.h"
#include "tests/support/request_fixture.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <set>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally::core::fleet;
using orioletally::core::platform::FleetTopic;
using orioletally::tests::at;

namespace {

/// The users' bound from the store's confirmation of a change until every
/// connected node follows it.
constexpr int64_t DeadlineMs = 2'000;

/// What happens to a node.
enum class Trouble { None, Killed, Frozen, CutFromPeers, CutFromStore };

/// A cell and its store in virtual time, for one topic. Watchers make long
/// polls, answers reach the cell as updates, and a node that hears of a newer
/// version reads it from the store.
class Cell {
public:
  static constexpr int64_t StepMs = 10;
  static constexpr int64_t TickMs = 100;
  static constexpr int64_t HeartbeatMs = 1'000;
  static constexpr int64_t PauseMs = 60;
  static constexpr int64_t RoundTripMs = 10;
  static constexpr int64_t UpdateDelayMs = 40;
  static constexpr int64_t TimeoutMs = 1'300;
  static constexpr int64_t RetryMs = 1'000;

  explicit Cell(int n) {
    std::vector<std::string> names;
    for (int it = 0; it < n; ++it)
      names.push_back(fmt::format("node-{}", it));
    for (const std::string &it : names) {
      Nodes.emplace_back(it);
      Nodes.back().Policy.setCell(names);
    }
  }

  /// Runs until \p untilMs.
  void run(int64_t untilMs) {
    for (; NowMs < untilMs; NowMs += StepMs) {
      deliverUpdates();
      for (size_t n = 0; n < Nodes.size(); ++n)
        step(n);
    }
  }

  /// The store confirms a change.
  void change() {
    ++Version;
    ConfirmedAtMs = NowMs;
  }

  void set(const std::set<size_t> &nodes, Trouble trouble) {
    for (const size_t n : nodes)
      Nodes[n].State = trouble;
  }

  std::set<size_t> watchers() const {
    std::set<size_t> result;
    for (size_t n = 0; n < Nodes.size(); ++n)
      if (isWell(Nodes[n]) && Nodes[n].IsWatching)
        result.insert(n);
    return result;
  }

  /// Whether all nodes that reach the store have its newest version.
  bool areCurrent() const {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const Node &it) {
      return !reachesStore(it) || it.Version == Version;
    });
  }

  /// Number of calls of the store that begin in \p fromMs to now.
  int callsSince(int64_t fromMs) const {
    return static_cast<int>(
        std::count_if(CallsMs.begin(), CallsMs.end(),
                      [&](int64_t it) { return it >= fromMs; }));
  }

  int64_t now() const { return NowMs; }

  bool IsStoreSlow = false;
  bool IsStoreDown = false;

private:
  enum class CallKind { None, Poll, Read };

  struct Node {
    explicit Node(const std::string &name) : Policy(name) {}

    StoreWatchPolicy Policy;
    Trouble State = Trouble::None;
    StoreCallTimes Calls;
    bool IsWatching = false;
    int Version = 0;
    CallKind Call = CallKind::None;
    int64_t CallEndsMs = 0;
    int64_t NextCallMs = 0;
    bool IsReadWanted = false;
    int64_t FlushAtMs = -1;
  };

  /// An update as it was sent.
  struct Update {
    int64_t ArrivesMs;
    size_t From;
    int Version;
    absl::Time AnsweredAt;
  };

  static bool isWell(const Node &node) { return node.State == Trouble::None; }

  static bool reachesStore(const Node &node) {
    return node.State == Trouble::None || node.State == Trouble::CutFromPeers;
  }

  static bool runs(const Node &node) {
    return node.State != Trouble::Killed && node.State != Trouble::Frozen;
  }

  static bool reachesPeers(const Node &node) {
    return node.State == Trouble::None || node.State == Trouble::CutFromStore;
  }

  void deliverUpdates() {
    while (!Updates.empty() && Updates.front().ArrivesMs <= NowMs) {
      const Update update = Updates.front();
      Updates.pop_front();
      for (size_t to = 0; to < Nodes.size(); ++to)
        if (to != update.From && reachesPeers(Nodes[to]))
          receive(Nodes[to], update);
    }
  }

  void receive(Node &node, const Update &update) {
    const std::string from = fmt::format("node-{}", update.From);
    node.Policy.recordMessage(from, at(NowMs));
    if (update.AnsweredAt != absl::InfinitePast()) {
      node.Policy.recordStoreAnswer(from, FleetTopic::Config,
                                    update.AnsweredAt);
      if (node.Version >= update.Version)
        node.Policy.recordCurrent(FleetTopic::Config, update.AnsweredAt);
    }
    node.IsReadWanted = node.IsReadWanted || node.Version < update.Version;
  }

  void step(size_t n) {
    Node &node = Nodes[n];
    if (!runs(node))
      return;
    if (node.Call != CallKind::None)
      endCall(node);
    // Ticks of the nodes are spread over the interval.
    if (NowMs % TickMs == static_cast<int64_t>(n * 3 % 10) * StepMs) {
      node.IsWatching = node.Policy.shouldWatchStore(
          FleetTopic::Config, node.Calls.AnsweredAt, at(NowMs));
      if (node.Policy.takeRead(FleetTopic::Config, node.Calls, at(NowMs)))
        node.IsReadWanted = true;
    }
    if (node.Call == CallKind::None && NowMs >= node.NextCallMs &&
        (node.IsWatching || node.IsReadWanted))
      beginCall(node);
    const bool isHeartbeatDue =
        NowMs % HeartbeatMs == static_cast<int64_t>(n * 37 % 100) * StepMs;
    if ((isHeartbeatDue || node.FlushAtMs == NowMs) && reachesPeers(node))
      Updates.push_back(
          {NowMs + RoundTripMs, n, node.Version, node.Calls.AnsweredAt});
  }

  void beginCall(Node &node) {
    CallsMs.push_back(NowMs);
    const bool isPoll = node.IsWatching && !node.IsReadWanted &&
                        node.Calls.AnsweredAt > node.Calls.FailedAt;
    node.Call = isPoll ? CallKind::Poll : CallKind::Read;
    node.IsReadWanted = false;
    const int64_t wait =
        isPoll ? absl::ToInt64Milliseconds(StoreWatchPolicy::SharedPollTime)
               : 0;
    node.CallEndsMs = NowMs + wait + (IsStoreSlow ? 1'000 : RoundTripMs);
    if (!reachesStore(node))
      node.CallEndsMs = NowMs + wait + TimeoutMs;
    else if (IsStoreDown)
      node.CallEndsMs = NowMs + RoundTripMs;
  }

  void endCall(Node &node) {
    const bool hasChange = node.Version < Version && reachesStore(node);
    if (NowMs < node.CallEndsMs &&
        !(node.Call == CallKind::Poll && hasChange && !IsStoreDown))
      return;
    node.Call = CallKind::None;
    if (!reachesStore(node) || IsStoreDown) {
      node.Calls.FailedAt = at(NowMs);
      node.NextCallMs = NowMs + RetryMs;
      return;
    }
    node.Version = Version;
    node.Calls.AnsweredAt = at(NowMs);
    node.NextCallMs = NowMs + PauseMs;
    if (node.IsWatching || node.Policy.isReading(FleetTopic::Config))
      node.FlushAtMs = NowMs + UpdateDelayMs - RoundTripMs;
  }

  std::vector<Node> Nodes;
  std::deque<Update> Updates;
  std::vector<int64_t> CallsMs;
  int64_t NowMs = 0;
  int64_t ConfirmedAtMs = 0;
  int Version = 1;
};

constexpr int64_t SettledMs = 8'000;

/// Lets \p trouble befall all watchers of a cell of \p nodes at once, at
/// \p offsetMs in their polls, and those that follow them \p pauseMs later.
/// A change comes \p leadMs after each time. Returns whether all nodes that
/// reach the store follow it in time.
bool followsInTime(int nodes, Trouble trouble, int64_t offsetMs,
                   int64_t pauseMs, int64_t leadMs) {
  Cell cell(nodes);
  cell.run(SettledMs + offsetMs);
  for (int time = 0; time < 2; ++time) {
    cell.set(cell.watchers(), trouble);
    cell.run(cell.now() + leadMs);
    cell.change();
    cell.run(cell.now() + DeadlineMs);
    if (!cell.areCurrent())
      return false;
    cell.run(cell.now() + pauseMs);
  }
  return true;
}

/// Checks that for every size, moment and pause tried.
void checkFollowsInTime(Trouble trouble) {
  for (const int nodes : {9, 16, 30, 56})
    for (int64_t offsetMs = 0; offsetMs < 900; offsetMs += 150)
      for (const int64_t pauseMs : {0, 700, 6'000})
        for (const int64_t leadMs : {0, 300, 1'500})
          CHECK_TEXT(followsInTime(nodes, trouble, offsetMs, pauseMs, leadMs),
                     fmt::format("{} nodes, offset {}, pause {}, lead {}",
                                 nodes, offsetMs, pauseMs, leadMs)
                         .c_str());
}

} // namespace

TEST_GROUP(StoreCurrency){};

// Guards against nodes that miss a change because all watchers of their cell
// are gone.
TEST(StoreCurrency, KilledWatchersDelayNoChangeBeyondItsDeadline) {
  checkFollowsInTime(Trouble::Killed);
}

TEST(StoreCurrency, FrozenWatchersDelayNoChangeBeyondItsDeadline) {
  checkFollowsInTime(Trouble::Frozen);
}

TEST(StoreCurrency, WatchersCutFromTheCellDelayNoChangeBeyondItsDeadline) {
  checkFollowsInTime(Trouble::CutFromPeers);
}

TEST(StoreCurrency, WatchersCutFromTheStoreDelayNoChangeBeyondItsDeadline) {
  checkFollowsInTime(Trouble::CutFromStore);
}

// Guards against a bound that depends on how many of the others are left.
TEST(StoreCurrency, LastNodeOfACellFollowsInTime) {
  for (const int nodes : {9, 16, 30, 110})
    for (int left = 0; left < nodes; left += 7) {
      Cell cell(nodes);
      cell.run(SettledMs);
      std::set<size_t> others;
      for (int n = 0; n < nodes; ++n)
        if (n != left)
          others.insert(static_cast<size_t>(n));
      cell.set(others, Trouble::Killed);
      cell.change();
      cell.run(cell.now() + DeadlineMs);
      CHECK(cell.areCurrent());
    }
}

// Guards against a bound that depends on links between nodes.
TEST(StoreCurrency, NodesThatAreAllCutFromEachOtherFollowInTime) {
  for (const int nodes : {9, 16, 30, 110}) {
    Cell cell(nodes);
    cell.run(SettledMs);
    std::set<size_t> all;
    for (int n = 0; n < nodes; ++n)
      all.insert(static_cast<size_t>(n));
    cell.set(all, Trouble::CutFromPeers);
    cell.change();
    cell.run(cell.now() + DeadlineMs);
    CHECK(cell.areCurrent());
    cell.change();
    cell.run(cell.now() + DeadlineMs);
    CHECK(cell.areCurrent());
  }
}

// A fleet of 300 nodes has eight cells. Calls for one topic and one cell.
TEST(StoreCurrency, CalmCellCallsTheStoreNoMoreThanItsWatchersDo) {
  for (const int nodes : {9, 30, 38, 56, 110}) {
    Cell cell(nodes);
    cell.run(SettledMs);
    cell.run(SettledMs + 60'000);
    // Four long polls of 1.5 s made as many: 154 in a minute.
    CHECK(cell.callsSince(SettledMs) <= 154);
    CHECK(cell.callsSince(SettledMs) >= 120);
  }
}

TEST(StoreCurrency, LossOfAllWatchersCostsAFewCalls) {
  for (const int nodes : {38, 56, 110})
    for (int64_t offsetMs = 0; offsetMs < 900; offsetMs += 90) {
      Cell cell(nodes);
      cell.run(SettledMs + offsetMs);
      const int64_t from = cell.now();
      cell.set(cell.watchers(), Trouble::Killed);
      cell.run(from + 10'000);
      // 26 in a calm cell.
      CHECK(cell.callsSince(from) <= 26 + 40);
      UNSIGNED_LONGS_EQUAL(StoreWatchPolicy::WatchersPerCell,
                           cell.watchers().size());
    }
}

// A read of each node in each 2.5 s, and the few retries of a cell.
TEST(StoreCurrency, OutageCostsEachNodeOneReadPerRetryInterval) {
  for (const int nodes : {9, 38, 56, 110}) {
    Cell cell(nodes);
    cell.run(SettledMs);
    const int64_t from = cell.now();
    cell.IsStoreDown = true;
    cell.run(from + 11'000);
    // Two tries in each slot, a quarter more by chance, and three calls of
    // each watcher until it isn't counted as one.
    CHECK(cell.callsSince(from) <= 5 * nodes + 55 + 6);
    cell.IsStoreDown = false;
    cell.change();
    cell.run(cell.now() + 3'000);
    CHECK(cell.areCurrent());
  }
}

// Guards against a node that leaves its retries to others, which are all cut
// from the store when its own way there is back.
TEST(StoreCurrency, NodeThatReachesTheStoreAgainFollowsAlthoughNoOtherDoes) {
  for (const bool isStoreDown : {false, true})
    for (const int nodes : {9, 16, 30, 110})
      for (int64_t lengthMs = 4'000; lengthMs < 8'000; lengthMs += 270) {
        Cell cell(nodes);
        cell.run(SettledMs);
        std::set<size_t> all;
        for (int n = 0; n < nodes; ++n)
          all.insert(static_cast<size_t>(n));
        cell.IsStoreDown = isStoreDown;
        cell.set(all, Trouble::CutFromStore);
        cell.run(cell.now() + lengthMs);
        cell.IsStoreDown = false;
        cell.set({static_cast<size_t>(nodes / 2)}, Trouble::None);
        cell.run(cell.now() + 1'000);
        cell.change();
        cell.run(cell.now() + DeadlineMs);
        CHECK(cell.areCurrent());
        for (int time = 0; time < 3; ++time) {
          cell.change();
          cell.run(cell.now() + DeadlineMs);
          CHECK(cell.areCurrent());
        }
      }
}

TEST(StoreCurrency, SlowStoreIsNotReadByAllNodesAgainAndAgain) {
  for (const int nodes : {38, 56, 110}) {
    Cell cell(nodes);
    cell.run(SettledMs);
    const int64_t from = cell.now();
    cell.IsStoreSlow = true;
    cell.run(from + 8'000);
    CHECK(cell.callsSince(from) <= 3 * nodes + 30);
    cell.IsStoreSlow = false;
    // The bound holds again from 3 s after the disturbance.
    cell.run(cell.now() + 3'000);
    cell.set(cell.watchers(), Trouble::Killed);
    cell.change();
    cell.run(cell.now() + DeadlineMs);
    CHECK(cell.areCurrent());
  }
}

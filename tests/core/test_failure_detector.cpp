#include "core/membership/acceptance.h"
#include "core/membership/failure_detector.h"
#include "tests/support/request_fixture.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <fmt/format.h>
#include <memory>
#include <random>

using namespace orioletally;
using namespace orioletally::core::membership;
using tests::at;

namespace {

Member memberOf(int n) {
  Member member;
  member.Name = fmt::format("n{:03}", n);
  member.Zone = fmt::format("z{}", n % 3);
  member.PeerAddress = fmt::format("10.0.0.{}:1", n);
  member.Incarnation = 1;
  return member;
}

/// Several detectors that exchange messages in virtual time, with delay and
/// loss.
class SimulatedNetwork {
public:
  SimulatedNetwork(int nodes, double lossRatio, uint64_t seed)
      : LossRatio(lossRatio), Random(seed) {
    for (int n = 0; n < nodes; ++n) {
      DetectorSettings settings;
      settings.Seed = seed * 1000 + static_cast<uint64_t>(n);
      Nodes.push_back(std::make_unique<FailureDetector>(memberOf(n), settings));
      Nodes.back()->addSeed(memberOf(0).PeerAddress);
      Up.push_back(true);
      Dead.emplace_back();
    }
  }

  void runUntil(int64_t ms) {
    for (; Now < ms; Now += StepMs) {
      for (size_t n = 0; n < Nodes.size(); ++n) {
        if (!Up[n])
          continue;
        TickResult result = Nodes[n]->tick(at(Now));
        for (const std::string &it : result.NewlyDead)
          Dead[n].push_back(it);
        WasFrozen = WasFrozen || result.WasFrozen;
        send(result.Outgoing);
      }
      deliver();
    }
  }

  /// Returns how many running nodes see the node \p member with \p status.
  int countViews(int member, MemberStatus status) const {
    int count = 0;
    for (size_t n = 0; n < Nodes.size(); ++n) {
      if (!Up[n])
        continue;
      for (const MemberView &it : Nodes[n]->members())
        count += it.Info.Name == memberOf(member).Name && it.Status == status
                     ? 1
                     : 0;
    }
    return count;
  }

  /// Like countViews(), but counts only nodes that have joined.
  int countJoinedViews(int member, MemberStatus status) const {
    int count = 0;
    for (const auto &node : Nodes)
      for (const MemberView &it : node->members())
        count += node->hasJoined() && it.Info.Name == memberOf(member).Name &&
                         it.Status == status
                     ? 1
                     : 0;
    return count;
  }

  /// Returns how many nodes other than \p n have joined.
  int countOtherJoined(size_t n) const {
    int count = 0;
    for (size_t it = 0; it < Nodes.size(); ++it)
      count += it != n && Nodes[it]->hasJoined() ? 1 : 0;
    return count;
  }

  /// Partitions the nodes below \p n from the others; 0 ends the partition.
  void partitionBelow(size_t n) { PartitionBelow = n; }

  std::vector<std::unique_ptr<FailureDetector>> Nodes;
  std::vector<bool> Up;
  /// The names that each node has found dead.
  std::vector<std::vector<std::string>> Dead;
  bool WasFrozen = false;
  uint64_t Messages = 0;

private:
  static constexpr int64_t StepMs = 50;

  struct PendingMessage {
    int64_t DueMs;
    OutgoingMessage Content;
  };

  bool isPartitioned(const std::string &from, size_t to) const {
    for (size_t n = 0; n < Nodes.size(); ++n)
      if (Nodes[n]->self().Name == from)
        return (n < PartitionBelow) != (to < PartitionBelow);
    return false;
  }

  void send(std::vector<OutgoingMessage> messages) {
    std::uniform_real_distribution<double> chance(0, 1);
    for (OutgoingMessage &it : messages) {
      ++Messages;
      if (chance(Random) >= LossRatio)
        PendingMessages.push_back(
            {Now + static_cast<int64_t>(Random() % 60), std::move(it)});
    }
  }

  void deliver() {
    std::deque<PendingMessage> due;
    std::deque<PendingMessage> later;
    for (PendingMessage &it : PendingMessages)
      (it.DueMs <= Now ? due : later).push_back(std::move(it));
    PendingMessages = std::move(later);
    for (const PendingMessage &it : due)
      for (size_t n = 0; n < Nodes.size(); ++n)
        if (Up[n] && Nodes[n]->self().PeerAddress == it.Content.Address &&
            !isPartitioned(it.Content.Message.From.Name, n))
          send(Nodes[n]->receive(it.Content.Message, at(Now)));
  }

  double LossRatio;
  size_t PartitionBelow = 0;
  std::mt19937_64 Random;
  int64_t Now = 0;
  std::deque<PendingMessage> PendingMessages;
};

} // namespace

TEST_GROUP(FailureDetector){};

TEST(FailureDetector, EveryNodeLearnsOfEveryOtherThroughOneSeed) {
  SimulatedNetwork network(16, 0, 1);
  network.runUntil(10'000);
  for (const auto &it : network.Nodes)
    LONGS_EQUAL(15, it->members().size());
}

TEST(FailureDetector, AllJoinedNodesKnowEachOther) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedNetwork network(6, 0, seed);
    for (int64_t ms = 50; ms <= 3000; ms += 50) {
      network.runUntil(ms);
      for (int n = 0; n < 6; ++n) {
        const auto joined = static_cast<size_t>(n);
        if (network.Nodes[joined]->hasJoined())
          LONGS_EQUAL(network.countOtherJoined(joined),
                      network.countJoinedViews(n, MemberStatus::Alive));
      }
    }
    LONGS_EQUAL(5, network.countOtherJoined(0));
  }
}

TEST(FailureDetector, NodeWhoseSeedsAreSilentJoinsAlone) {
  DetectorSettings settings;
  FailureDetector alone(memberOf(1), settings);
  alone.addSeed(memberOf(0).PeerAddress);
  alone.tick(at(0));
  CHECK_FALSE(alone.hasJoined());
  alone.tick(at(1400));
  CHECK_FALSE(alone.hasJoined());
  alone.tick(at(1500));
  CHECK(alone.hasJoined());
}

// Member n002 is reachable only through n000: its relayed acks keep it from
// being suspected, but it never answers the joining node itself. After the
// timeout, the others know the joining node from the VM list.
TEST(FailureDetector, NodeWithAnUnreachableMemberJoinsAfterTheTimeout) {
  PeerMessage relayed;
  relayed.From = memberOf(0);
  relayed.Updates = {{memberOf(2), MemberStatus::Alive}};
  FailureDetector joining(memberOf(1), DetectorSettings());
  joining.addSeed(memberOf(0).PeerAddress);
  for (int64_t ms = 0; ms < 60000; ms += 100) {
    for (const OutgoingMessage &it : joining.tick(at(ms)).Outgoing) {
      const auto *ping = std::get_if<Ping>(&it.Message.Body);
      if (ping == nullptr)
        continue;
      relayed.Body = Ack{ping->Sequence, memberOf(2).Name};
      joining.receive(relayed, at(ms));
    }
    CHECK_FALSE(joining.hasJoined());
  }
  joining.tick(at(60000));
  CHECK(joining.hasJoined());
}

TEST(FailureDetector, KilledNodeIsFoundDeadByAll) {
  SimulatedNetwork network(8, 0, 2);
  network.runUntil(10'000);
  network.Up[3] = false;
  network.runUntil(30'000);
  LONGS_EQUAL(7, network.countViews(3, MemberStatus::Dead));
}

TEST(FailureDetector, LossOfOneInFiveMessagesCausesNoFalseDeaths) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedNetwork network(8, 0.2, seed);
    network.runUntil(120'000);
    for (const auto &it : network.Dead)
      LONGS_EQUAL(0, it.size());
  }
}

TEST(FailureDetector, FrozenNodeDetectsTheFreezeAndRefutesItsDeath) {
  SimulatedNetwork network(6, 0, 4);
  network.runUntil(10'000);
  network.Up[2] = false;
  network.runUntil(40'000);
  LONGS_EQUAL(5, network.countViews(2, MemberStatus::Dead));
  network.Up[2] = true;
  network.runUntil(70'000);
  CHECK(network.WasFrozen);
  LONGS_EQUAL(5, network.countViews(2, MemberStatus::Alive));
  LONGS_EQUAL(0, network.Dead[2].size());
}

TEST(FailureDetector, MembershipRecoversFromAPartition) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    SimulatedNetwork network(6, 0, seed);
    network.runUntil(10'000);
    network.partitionBelow(2);
    network.runUntil(60'000);
    LONGS_EQUAL(4, network.countViews(0, MemberStatus::Dead));
    network.partitionBelow(0);
    network.runUntil(120'000);
    for (int n = 0; n < 6; ++n)
      LONGS_EQUAL(5, network.countViews(n, MemberStatus::Alive));
  }
}

TEST(FailureDetector, MessageRatePerNodeIsIndependentOfTheNodeCount) {
  // A probe and its ack each period of half a second, with room for a few joins
  // through the seed, but not a message to every other node.
  for (const int nodes : {8, 32, 128}) {
    SimulatedNetwork network(nodes, 0, 5);
    network.runUntil(20'000);
    network.Messages = 0;
    network.runUntil(40'000);
    CHECK(static_cast<double>(network.Messages) / (20.0 * nodes) < 6);
  }
}

TEST_GROUP(Acceptance){};

TEST(Acceptance, WaitsForEveryNodeThatMayBeServing) {
  struct Case {
    MemberStatus Status;
    uint64_t Revision;
    bool Listed;
    int AgeSeconds;
    bool Waits;
  };
  const Case cases[] = {
      {MemberStatus::Alive, 5, true, 0, false},
      {MemberStatus::Alive, 4, false, 0, true},
      {MemberStatus::Suspect, 4, true, 0, true},
      {MemberStatus::Dead, 4, true, 3600, true},
      {MemberStatus::Dead, 4, false, 30, true},
      {MemberStatus::Dead, 4, false, 61, false},
      {MemberStatus::Dead, 5, true, 3600, true},
      {MemberStatus::Left, 4, true, 0, false},
  };
  for (const Case &it : cases) {
    AgedMember member;
    member.View.Info = memberOf(1);
    member.View.Info.ProfileRevision = it.Revision;
    member.View.Status = it.Status;
    member.StatusAge = absl::Seconds(it.AgeSeconds);
    std::vector<std::string> listed = {"n000"};
    if (it.Listed)
      listed.push_back("n001");
    LONGS_EQUAL(it.Waits ? 1 : 0,
                unconfirmedNodes(5, "n000", {member}, listed).size());
  }
}

TEST(Acceptance, WaitsForListedNodesThatWereNeverHeardFrom) {
  const auto waiting =
      unconfirmedNodes(5, "n000", {}, std::vector<std::string>{"n000", "n009"});
  LONGS_EQUAL(1, waiting.size());
  STRCMP_EQUAL("n009", waiting[0].c_str());
}

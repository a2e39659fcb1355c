#include "core/fleet/home_nodes.h"
#include "core/relay/prompt_quarantine.h"
#include "tests/support/request_fixture.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <random>
#include <set>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally::core::relay;
using orioletally::tests::at;

namespace {

using Parts = std::vector<std::string>;

std::string backendName(int n) { return fmt::format("i-{}", n); }

PromptAttempt answered(absl::Time now) {
  return {"i-1", AttemptEnd::Answered, now - absl::Milliseconds(500), true};
}

PromptAttempt broken(const std::string &backend) {
  return {backend, AttemptEnd::Broken, std::nullopt, false};
}

Parts namesOf(const std::vector<QuarantinedPart> &parts) {
  Parts names;
  for (const QuarantinedPart &it : parts)
    names.push_back(it.Part);
  std::sort(names.begin(), names.end());
  return names;
}

bool isRefused(const PromptQuarantine &node, const Parts &parts, int ms) {
  return node.findQuarantined(parts, at(ms)).has_value();
}

/// Some nodes that send each other what they announce, 5 ms later.
class Fleet {
public:
  explicit Fleet(size_t nodes) : Nodes(nodes) {}

  PromptQuarantine &node(size_t n) { return Nodes[n]; }

  void end(size_t node, const PromptAttempt &attempt, const Parts &parts,
           int ms) {
    const auto findings = Nodes[node].recordEnd(attempt, parts, at(ms));
    for (PromptQuarantine &it : Nodes)
      it.applySound(findings.Sound, at(ms + 5));
    const auto &report = findings.Report;
    if (!report.has_value())
      return;
    Parts sound;
    for (size_t n = 0; n < Nodes.size(); ++n)
      if (n != node)
        for (const std::string &it : Nodes[n].applyReport(*report, at(ms + 5)))
          sound.push_back(it);
    for (PromptQuarantine &it : Nodes)
      it.applySound(sound, at(ms + 10));
  }

  /// Lets all nodes decide at \p ms and returns what they quarantined.
  Parts decide(int ms) {
    Parts decided;
    for (size_t n = 0; n < Nodes.size(); ++n)
      for (const QuarantinedPart &it : Nodes[n].decide(at(ms))) {
        decided.push_back(it.Part);
        for (PromptQuarantine &other : Nodes)
          other.applyQuarantine({it}, at(ms + 5));
      }
    return decided;
  }

private:
  std::vector<PromptQuarantine> Nodes;
};

} // namespace

TEST_GROUP(PromptQuarantine){};

// The load of the tainted day: 46 calls a second at six nodes, one in twenty
// with the part, twelve interrupted calls at each crash, streams of three
// seconds. Calls with the part share their first part with sound ones.
TEST(PromptQuarantine, FindsThePartThatCrashesEnginesAmongInterruptedCalls) {
  struct Running {
    size_t Node;
    int Backend;
    Parts Prompt;
    int StartMs;
  };
  constexpr int Backends = 21;
  constexpr int CrashAfterMs = 180;
  constexpr int FirstEventMs = 120;
  constexpr int StreamMs = 3'000;
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    std::mt19937_64 random(seed);
    const auto below = [&](int n) {
      return static_cast<int>(random() % static_cast<uint64_t>(n));
    };
    Fleet fleet(6);
    std::vector<Running> running;
    std::array<int, Backends> downUntil{};
    int crashes = 0;
    int fifthCrashMs = 0;
    int reachedLater = 0;
    Parts quarantined;
    for (int ms = 0; ms < 20'000; ms += 20) {
      // One call each 20 ms.
      const bool isBad = ms >= 4'000 && below(20) == 0;
      const size_t node = random() % 6;
      const std::string own = fmt::format("own-{}", ms);
      const std::string first = fmt::format("first-{}", isBad ? 0 : below(40));
      const Parts prompt = isBad ? Parts{first, "bad", own} : Parts{first, own};
      int backend = below(Backends);
      while (downUntil[static_cast<size_t>(backend)] > ms)
        backend = below(Backends);
      const bool isHeldBack = isRefused(fleet.node(node), prompt, ms);
      CHECK_TEXT(isBad || !isHeldBack, first.c_str());
      if (!isHeldBack) {
        running.push_back({node, backend, prompt, ms});
        if (isBad && crashes >= 5 && ms > fifthCrashMs + 3'000)
          ++reachedLater;
      }
      std::vector<int> crashed;
      for (const Running &it : running)
        if (it.Prompt.size() == 3 && ms - it.StartMs >= CrashAfterMs)
          crashed.push_back(it.Backend);
      for (const int down : crashed) {
        if (++crashes == 5)
          fifthCrashMs = ms;
        downUntil[static_cast<size_t>(down)] = ms + 2'000;
      }
      std::erase_if(running, [&](const Running &it) {
        const int ran = ms - it.StartMs;
        PromptAttempt attempt{backendName(it.Backend), AttemptEnd::Answered,
                              std::nullopt, true};
        if (it.Prompt.size() == 2 && ran >= FirstEventMs)
          attempt.FirstEventAt = at(it.StartMs + FirstEventMs);
        const bool isCrashed = std::find(crashed.begin(), crashed.end(),
                                         it.Backend) != crashed.end();
        if (isCrashed)
          attempt.End = AttemptEnd::Broken;
        else if (ran < StreamMs)
          return false;
        fleet.end(it.Node, attempt, it.Prompt, ms);
        return true;
      });
      for (const std::string &it : fleet.decide(ms))
        quarantined.push_back(it);
    }
    LONGS_EQUAL(0, reachedLater);
    CHECK(crashes >= 3 && crashes < 20);
    CHECK(!quarantined.empty());
    for (const std::string &it : quarantined)
      STRCMP_EQUAL("bad", it.c_str());
  }
}

TEST(PromptQuarantine, PrefersTheRarerPartWhenNothingIsKnownToBeSound) {
  PromptQuarantine node;
  for (int n = 0; n < 4; ++n) {
    const std::string backend = backendName(n);
    const int ms = n * 500;
    node.recordEnd(broken(backend), {"first", "bad", fmt::format("own-{}", n)},
                   at(ms));
    // Calls that had not begun to be answered when the engine crashed.
    for (int other = 0; other < 5; ++other)
      node.recordEnd(broken(backend),
                     {"first", fmt::format("waiting-{}-{}", n, other)}, at(ms));
  }
  CHECK(namesOf(node.decide(at(2'500))) == Parts{"bad"});
  CHECK(isRefused(node, {"first", "bad", "next"}, 2'500));
  CHECK_FALSE(isRefused(node, {"first", "next"}, 2'500));
  // What the first part was suspected of is explained, also by late reports.
  node.recordEnd(broken("i-3"), {"first", "late-1"}, at(2'000));
  CHECK(node.decide(at(60'000)).empty());
  CHECK(node.nextDecisionAt() == absl::InfiniteFuture());
}

TEST(PromptQuarantine, OneAnswerOnAnyNodeClearsAPart) {
  Fleet fleet(3);
  fleet.end(2, answered(at(0)), {"shared", "own-0"}, 0);
  for (int n = 0; n < 6; ++n)
    fleet.end(static_cast<size_t>(n % 2), broken(backendName(n)),
              {"shared", fmt::format("own-{}", n + 1)}, 1'000 + 200 * n);
  CHECK(fleet.decide(10'000).empty());
  CHECK_FALSE(isRefused(fleet.node(0), {"shared", "next"}, 10'000));
}

TEST(PromptQuarantine, ObjectionLiftsAQuarantine) {
  PromptQuarantine node;
  const auto added = node.applyQuarantine({{"a", absl::Seconds(60)}}, at(0));
  CHECK(namesOf(added.Added) == Parts{"a"});
  CHECK(isRefused(node, {"a", "own"}, 10));
  CHECK(node.applySound({"a"}, at(20)) == Parts{"a"});
  CHECK_FALSE(isRefused(node, {"a", "own"}, 30));
  const auto again = node.applyQuarantine({{"a", absl::Seconds(60)}}, at(40));
  CHECK(again.Added.empty());
  CHECK(again.Sound == Parts{"a"});
}

// All engines lose power, with two prompts on each that share a part.
TEST(PromptQuarantine, EnginesThatCrashTogetherConvictNoPart) {
  PromptQuarantine node;
  for (int n = 0; n < 20; ++n)
    for (int prompt = 0; prompt < 2; ++prompt)
      node.recordEnd(broken(backendName(n)),
                     {"hot", fmt::format("own-{}-{}", n, prompt)}, at(n));
  CHECK(node.decide(at(60'000)).empty());
}

TEST(PromptQuarantine, OneCrashingEngineOrPromptConvictsNoPart) {
  PromptQuarantine node;
  for (int n = 0; n < 10; ++n) {
    node.recordEnd(broken("i-1"), {"engine", fmt::format("own-{}", n)},
                   at(500 * n));
    node.recordEnd(broken(backendName(n)), {"prompt", "own"}, at(500 * n));
  }
  CHECK(node.decide(at(60'000)).empty());
}

TEST(PromptQuarantine, OnlyCrashesAtTheBeginningOfAnAnswerCount) {
  PromptQuarantine node;
  for (int n = 0; n < 10; ++n) {
    const int ms = 5'000 + 500 * n;
    const Parts parts = {"a", fmt::format("own-{}", n)};
    PromptAttempt late = broken(backendName(n));
    late.FirstEventAt = at(ms - 1'500);
    CHECK_FALSE(node.recordEnd(late, parts, at(ms)).Report.has_value());
    for (const AttemptEnd end :
         {AttemptEnd::Refused, AttemptEnd::NotSent, AttemptEnd::Stalled,
          AttemptEnd::CallerGone, AttemptEnd::OutOfTime, AttemptEnd::Failed})
      CHECK_FALSE(node.recordEnd({backendName(n), end, std::nullopt, false},
                                 parts, at(ms))
                      .Report.has_value());
  }
  CHECK(node.decide(at(60'000)).empty());
}

// A crash can close the connection in order.
TEST(PromptQuarantine, AnswerWithoutAMarkedEndClearsNoPartAtItsBeginning) {
  PromptQuarantine node;
  PromptAttempt unmarked = answered(at(1'000));
  unmarked.IsEndMarked = false;
  node.recordEnd(unmarked, {"a", "own"}, at(1'000));
  CHECK(node.applyReport({"i-2", "p", {"a"}}, at(1'100)).empty());
  CHECK_FALSE(node.recordProgress({"a", "own"}, at(1'000), at(1'900)));
  CHECK(node.applyReport({"i-2", "p", {"a"}}, at(1'950)).empty());
  CHECK(node.recordProgress({"a", "own"}, at(1'000), at(2'000)));
  CHECK(node.applyReport({"i-2", "p", {"a", "b"}}, at(2'100)) == Parts{"a"});
}

TEST(PromptQuarantine, LastPartsAreNeitherSuspectedNorRefused) {
  PromptQuarantine node;
  for (int n = 0; n < 10; ++n)
    node.recordEnd(broken(backendName(n)), {"own"}, at(500 * n));
  CHECK(node.decide(at(60'000)).empty());
  node.applyQuarantine({{"a", absl::Seconds(60)}}, at(0));
  CHECK_FALSE(isRefused(node, {"b", "a"}, 10));
  CHECK_FALSE(isRefused(node, {}, 10));
}

TEST(PromptQuarantine, QuarantineExpiresAndIsRenewedByNewCrashes) {
  PromptQuarantine node;
  const auto crash = [&](int fromMs) {
    for (int n = 0; n < 3; ++n)
      node.recordEnd(broken(backendName(n)),
                     {"bad", fmt::format("own-{}-{}", fromMs, n)},
                     at(fromMs + 200 * n));
  };
  crash(0);
  CHECK(node.decide(at(500)).empty());
  LONGS_EQUAL(1, node.decide(at(700)).size());
  CHECK(isRefused(node, {"bad", "own"}, 600'000));
  CHECK_FALSE(isRefused(node, {"bad", "own"}, 600'700));
  LONGS_EQUAL(0, node.quarantined(at(600'700)).size());
  crash(601'000);
  LONGS_EQUAL(1, node.decide(at(601'700)).size());
}

TEST(PromptQuarantine, MemoryIsBounded) {
  PromptQuarantine node;
  const std::string longId(1'000, 'x');
  Parts many;
  for (int n = 0; n < 5'000; ++n)
    many.push_back(fmt::format("part-{}", n));
  for (int n = 0; n < 200; ++n) {
    node.recordEnd(broken(backendName(n)), many, at(200 * n));
    node.applyReport({longId, longId, {longId}}, at(200 * n));
    node.applyReport({backendName(n), fmt::format("p-{}", n), many},
                     at(200 * n));
    node.recordEnd(broken(backendName(n)), {longId, "own"}, at(200 * n));
  }
  CHECK(node.decide(at(60'000)).size() <= 32);
  std::vector<QuarantinedPart> parts;
  for (const std::string &it : many)
    parts.push_back({it, absl::Hours(1'000)});
  parts.push_back({longId, absl::Seconds(1)});
  node.applyQuarantine(parts, at(60'000));
  CHECK(node.quarantined(at(60'000)).size() <= 256);
  for (const QuarantinedPart &it : node.quarantined(at(60'000)))
    CHECK(it.TimeLeft <= absl::Minutes(10));
}

namespace {

/// The suspects of a call with the body \p body and the prompt \p parts.
Parts suspectsOf(const std::string &body, const Parts &parts = {}) {
  return crashSuspects(callKey({"POST", "a.example", "/ask/x", "key", body}),
                       parts);
}

} // namespace

TEST_GROUP(CallQuarantine){};

TEST(CallQuarantine, KeyDependsOnPathCallerAndBody) {
  const CallIdentity call = {"POST", "a.example", "/ask/x", "key", "body"};
  CHECK(isCallKey(callKey(call)));
  CHECK(callKey(call) == callKey(call));
  CallIdentity other = call;
  other.Target = "/ask/y";
  CHECK(callKey(call) != callKey(other));
  other = call;
  other.ApiKey = "another";
  CHECK(callKey(call) != callKey(other));
  other = call;
  other.Body = "bodies";
  CHECK(callKey(call) != callKey(other));
  // The same text, divided differently.
  CHECK(callKey({"POST", "a", "b", "", ""}) !=
        callKey({"POST", "ab", "", "", ""}));
}

// One call, sent to the next engine 50 ms after each crash, beside calls that
// it interrupts.
TEST(CallQuarantine, ThirdCrashUnderOneCallIsEnough) {
  for (const Parts &parts : {Parts{}, Parts{"first", "own"}}) {
    Fleet fleet(3);
    const Parts deadly = suspectsOf("deadly", parts);
    for (int n = 0; n < 3; ++n) {
      const auto node = static_cast<size_t>(n);
      fleet.end(node, broken(backendName(n)), deadly, 50 * n);
      for (int victim = 0; victim < 10; ++victim)
        fleet.end(node, broken(backendName(n)),
                  suspectsOf(fmt::format("victim-{}-{}", n, victim)), 50 * n);
    }
    CHECK(fleet.decide(450) == Parts{deadly.front()});
    for (size_t n = 0; n < 3; ++n) {
      CHECK(isRefused(fleet.node(n), deadly, 500));
      CHECK_FALSE(isRefused(fleet.node(n), suspectsOf("victim-0-0"), 500));
      CHECK_FALSE(
          isRefused(fleet.node(n), suspectsOf("next", {"first", "next"}), 500));
    }
  }
}

TEST(CallQuarantine, OneCrashingBackendServerConvictsNoCall) {
  PromptQuarantine node;
  for (int n = 0; n < 10; ++n)
    node.recordEnd(broken("i-1"), suspectsOf("poll"), at(2'000 * n));
  CHECK(node.decide(at(60'000)).empty());
}

TEST(CallQuarantine, AnswerClearsACallOfEarlierCrashesOnly) {
  Fleet fleet(2);
  const Parts call = suspectsOf("poll");
  fleet.end(0, broken("i-1"), call, 0);
  fleet.end(0, broken("i-2"), call, 100);
  fleet.end(1, answered(at(200)), call, 200);
  fleet.end(0, broken("i-3"), call, 300);
  CHECK(fleet.decide(2'000).empty());
  for (int n = 0; n < 3; ++n)
    fleet.end(1, broken(backendName(n)), call, 3'000 + 100 * n);
  CHECK(fleet.decide(4'000) == Parts{call.front()});
}

// Each call is quarantined before the part has crashed under enough calls.
TEST(CallQuarantine, PartThatSeveralQuarantinedCallsShareIsFound) {
  PromptQuarantine node;
  Parts decided;
  for (int call = 0; call < 3; ++call) {
    const std::string own = fmt::format("own-{}", call);
    for (int n = 0; n < 3; ++n)
      node.recordEnd(broken(backendName(3 * call + n)),
                     suspectsOf(own, {"bad", own}), at(2'000 * call + 50 * n));
    for (const QuarantinedPart &it : node.decide(at(2'000 * call + 500)))
      decided.push_back(it.Part);
  }
  CHECK(std::find(decided.begin(), decided.end(), "bad") != decided.end());
  CHECK(isRefused(node, suspectsOf("next", {"bad", "next"}), 5'000));
}

TEST(CallQuarantine, TwoCallsThatShareAPartDoNotConvictIt) {
  PromptQuarantine node;
  for (int call = 0; call < 2; ++call) {
    const std::string own = fmt::format("own-{}", call);
    for (int n = 0; n < 4; ++n)
      node.recordEnd(broken(backendName(n)), suspectsOf(own, {"first", own}),
                     at(2'000 * call + 50 * n));
    LONGS_EQUAL(1, node.decide(at(2'000 * call + 600)).size());
  }
  CHECK_FALSE(isRefused(node, suspectsOf("next", {"first", "next"}), 5'000));
}

// A power failure interrupts thousands of calls once or twice.
TEST(CallQuarantine, ManyInterruptedCallsDoNotHideTheCause) {
  PromptQuarantine node;
  const Parts deadly = suspectsOf("deadly");
  for (int n = 0; n < 3; ++n) {
    for (int victim = 0; victim < 3'000; ++victim)
      node.recordEnd(broken(backendName(victim % 20)),
                     suspectsOf(fmt::format("victim-{}", victim)),
                     at(3'000 * n));
    node.recordEnd(broken(backendName(n)), deadly, at(3'000 * n + 100));
    node.recordEnd(broken(backendName(n + 1)), deadly, at(3'000 * n + 200));
  }
  const Parts decided = namesOf(node.decide(at(7'000)));
  CHECK(std::find(decided.begin(), decided.end(), deadly.front()) !=
        decided.end());
}

TEST(CallQuarantine, HomeNodesAreTheSameForAllNodes) {
  std::vector<std::string> addresses;
  for (int n = 0; n < 195; ++n)
    addresses.push_back(fmt::format("10.0.0.{}:1", n));
  std::set<std::string> used;
  for (int call = 0; call < 200; ++call) {
    const std::string key =
        callKey({"GET", "a", fmt::format("/{}", call), "", ""});
    auto homes = orioletally::core::fleet::homeNodes(key, addresses);
    LONGS_EQUAL(2, homes.size());
    used.insert(homes.front());
    std::vector<std::string> reversed(addresses.rbegin(), addresses.rend());
    CHECK(homes == orioletally::core::fleet::homeNodes(key, reversed));
    // A home node that fails leaves the other one.
    std::erase(reversed, homes.front());
    CHECK(homes.back() ==
          orioletally::core::fleet::homeNodes(key, reversed).front());
  }
  CHECK(used.size() > 50);
  LONGS_EQUAL(1, orioletally::core::fleet::homeNodes("k", {"a"}).size());
  LONGS_EQUAL(0, orioletally::core::fleet::homeNodes("k", {}).size());
}

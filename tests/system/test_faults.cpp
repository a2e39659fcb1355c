#include "tests/support/fleet_fixture.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <thread>

using namespace orioletally;
using lab::LoadPlan;
using lab::LoadSample;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::eventually;
using tests::FleetFixture;
using tests::HttpAnswer;
using tests::httpCall;
using tests::NodeOptions;
using tests::NodeProcess;

namespace {

LoadPlan planFor(const NodeProcess &node, int tokens) {
  LoadPlan plan;
  plan.Targets = {node.address()};
  plan.Token = "caller";
  plan.Profile = "p";
  plan.MaxTokens = tokens;
  plan.PromptTokens = 100;
  return plan;
}

/// Sends \p n requests, each on its own thread, while the test continues.
class BackgroundLoad {
public:
  BackgroundLoad(const LoadPlan &plan, int n)
      : Samples(static_cast<size_t>(n)) {
    for (int it = 0; it < n; ++it)
      Threads.emplace_back([this, plan, it] {
        Samples[static_cast<size_t>(it)] = lab::runRequest(plan, it);
      });
  }
  ~BackgroundLoad() { wait(); }

  const std::vector<LoadSample> &wait() {
    for (std::thread &it : Threads)
      if (it.joinable())
        it.join();
    return Samples;
  }

private:
  std::vector<LoadSample> Samples;
  std::vector<std::thread> Threads;
};

int environmentNumber(const char *variable, int defaultValue) {
  const char *text = std::getenv(variable);
  return text == nullptr ? defaultValue : std::atoi(text);
}

NodeOptions nodeOptions(const std::string &name, const std::string &zone) {
  NodeOptions options;
  options.Name = name;
  options.Zone = zone;
  return options;
}

} // namespace

TEST_GROUP(Faults) {
  std::unique_ptr<FleetFixture> fleet;

  void teardown() override { fleet.reset(); }

  void start(int engines, int nodes, const json &fields = json::object(),
             const lab::EngineModelSettings &speeds = {}) {
    fleet = std::make_unique<FleetFixture>(engines, 1, speeds);
    for (int n = 0; n < nodes; ++n)
      fleet->addReadyNode(nodeOptions("", fmt::format("zone-{}", n % 3)));
    json profileFields = {{"stall_ms", 500}, {"deadline_ms", 20000}};
    profileFields.update(fields);
    const int status =
        FleetFixture::createProfile(node(0), "p", profileFields).Status;
    LONGS_EQUAL(201, status);
  }

  NodeProcess &node(size_t n) { return *fleet->Nodes[n]; }

  int64_t totalHeldTokens() {
    int64_t total = 0;
    for (auto &it : fleet->Engines)
      total += it->heldTokens();
    return total;
  }

  void setOutage(bool isOutage) {
    lab::PlatformFaults faults;
    faults.Outage = isOutage;
    fleet->Platform->setFaults(faults);
  }

  HttpAnswer sendCompletion(NodeProcess & target) {
    return httpCall(
        target.address(), "POST", "/v1/completions", "caller",
        json({{"model", "p"}, {"prompt", "x"}, {"max_tokens", 1}}).dump());
  }

  HttpAnswer callService(NodeProcess & target, const std::string &key) {
    return httpCall(target.address(), "POST", "/v1/services/sub/apply",
                    "caller", "b", {{"Idempotency-Key", key}});
  }

  uint64_t revisionOf(NodeProcess & target, const std::string &requestId) {
    const json found = httpCall(target.address(), "GET",
                                "/v1/requests/" + requestId, "operator")
                           .json();
    return found.value("profile_revision", uint64_t{0});
  }
};

TEST(Faults, RequestsOfAStoppedEngineCompleteElsewhere) {
  start(4, 1, {{"deadline_ms", 10000}});
  lab::EngineFaults faults;
  faults.Stopped = true;
  fleet->Engines[0]->setFaults(faults);
  LoadPlan plan = planFor(node(0), 5);
  plan.Requests = 60;
  std::vector<LoadSample> samples(60);
  std::atomic<int> next = 0;
  std::vector<std::thread> callers;
  for (int n = 0; n < 20; ++n)
    callers.emplace_back([&] {
      for (int it = next++; it < plan.Requests; it = next++)
        samples[static_cast<size_t>(it)] = lab::runRequest(plan, it);
    });
  for (std::thread &it : callers)
    it.join();
  for (const LoadSample &it : samples)
    CHECK_TEXT(it.Complete && it.Correct, it.ErrorCode.c_str());
}

TEST(Faults, SilentConnectionsResumeWithoutLoss) {
  start(1, 1);
  BackgroundLoad load(planFor(node(0), 100), 10);
  CHECK(eventually([&] { return fleet->Engines[0]->submits() == 10; }));
  std::this_thread::sleep_for(milliseconds(300));
  fleet->Engines[0]->silenceConnections();
  for (const LoadSample &it : load.wait()) {
    CHECK(it.Complete);
    CHECK(it.Correct);
  }
  LONGS_EQUAL(10, fleet->Engines[0]->submits());
}

TEST(Faults, StreamCutWithoutAFinalFrameIsResumed) {
  start(1, 1);
  lab::EngineFaults faults;
  faults.CutAfterTokens = 5;
  fleet->Engines[0]->setFaults(faults);
  BackgroundLoad load(planFor(node(0), 30), 10);
  for (const LoadSample &it : load.wait()) {
    CHECK(it.Complete);
    CHECK(it.Correct);
  }
}

TEST(Faults, KilledEngineEndsItsStreamsWithRunStateRan) {
  start(1, 1);
  BackgroundLoad load(planFor(node(0), 400), 3);
  CHECK(eventually([&] { return fleet->Engines[0]->submits() == 3; }));
  std::this_thread::sleep_for(milliseconds(300));
  fleet->Engines[0]->stop();
  for (const LoadSample &it : load.wait()) {
    CHECK_FALSE(it.Complete);
    CHECK(it.Correct);
    STRCMP_EQUAL("ran", it.Run.c_str());
  }
}

TEST(Faults, LostSubmitReplyRunsTheRequestOnce) {
  start(2, 1);
  lab::EngineFaults faults;
  faults.LoseSubmitReply = true;
  for (auto &it : fleet->Engines)
    it->setFaults(faults);
  BackgroundLoad load(planFor(node(0), 20), 5);
  for (const LoadSample &it : load.wait())
    CHECK(it.Complete && it.Correct);
  LONGS_EQUAL(5, fleet->Engines[0]->executions().size() +
                     fleet->Engines[1]->executions().size());
}

// An engine starts to drain while the VM list is unavailable and one node is
// frozen.
TEST(Faults, LeavingEngineGetsNoSubmitsAfterThreeSeconds) {
  start(2, 3);
  NodeProcess &frozen = node(2);
  CHECK(frozen.freeze());
  lab::PlatformFaults outage;
  outage.Outage = true;
  outage.VmListOutage = true;
  fleet->Platform->setFaults(outage);
  lab::EngineFaults leaving;
  leaving.Draining = true;
  fleet->Engines[0]->setFaults(leaving);
  std::this_thread::sleep_for(seconds(3));
  const uint64_t before = fleet->Engines[0]->submits();
  // The VM list is available again and still lists the engine as live.
  fleet->Platform->setFaults({});
  frozen.signal(SIGCONT);
  int answered = 0;
  for (int n = 0; n < 60; ++n) {
    answered += sendCompletion(node(static_cast<size_t>(n % 3))).Status == 200;
    std::this_thread::sleep_for(milliseconds(20));
  }
  LONGS_EQUAL(before, fleet->Engines[0]->submits());
  CHECK(answered >= 40);
}

TEST(Faults, GracefulShutdownCompletesAllStreams) {
  start(2, 2);
  // ORIOLETALLY_STREAMS=1000 is the number that users are guaranteed.
  const int Streams = environmentNumber("ORIOLETALLY_STREAMS", 200);
  BackgroundLoad load(planFor(node(0), 150), Streams);
  CHECK(eventually([&] {
    return fleet->Engines[0]->submits() + fleet->Engines[1]->submits() ==
           static_cast<uint64_t>(Streams);
  }));
  node(0).signal(SIGTERM);
  CHECK(eventually([&] {
    return httpCall(node(0).address(), "GET", "/readyz", "").Status == 503;
  }));
  const HttpAnswer refused = sendCompletion(node(0));
  LONGS_EQUAL(503, refused.Status);
  STRCMP_EQUAL("draining", refused.error("code").c_str());
  STRCMP_EQUAL("not_run", refused.error("run").c_str());
  int completed = 0;
  for (const LoadSample &it : load.wait())
    completed += it.Complete && it.Correct ? 1 : 0;
  LONGS_EQUAL(Streams, completed);
  LONGS_EQUAL(0, node(0).waitExit(seconds(10)));
}

TEST(Faults, SecondSignalAbortsStreamsWithAnError) {
  start(1, 1);
  BackgroundLoad load(planFor(node(0), 900), 20);
  CHECK(eventually([&] { return fleet->Engines[0]->submits() == 20; }));
  node(0).signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(300));
  node(0).signal(SIGTERM);
  for (const LoadSample &it : load.wait()) {
    CHECK_FALSE(it.Complete);
    STRCMP_EQUAL("draining", it.ErrorCode.c_str());
    STRCMP_EQUAL("ran", it.Run.c_str());
  }
  LONGS_EQUAL(1, node(0).waitExit(seconds(10)));
  CHECK(eventually([&] { return totalHeldTokens() == 0; }, seconds(2)));
}

TEST(Faults, EngineMemoryOfAKilledNodeIsReleasedAndOtherStreamsComplete) {
  start(2, 3);
  BackgroundLoad survivingLoad(planFor(node(1), 400), 5);
  {
    LoadPlan killedNodePlan = planFor(node(0), 4000);
    killedNodePlan.Seed = 2;
    BackgroundLoad load(killedNodePlan, 5);
    CHECK(eventually([&] {
      return fleet->Engines[0]->submits() + fleet->Engines[1]->submits() == 10;
    }));
    node(0).signal(SIGKILL);
  }
  const auto killed = std::chrono::steady_clock::now();
  for (const LoadSample &it : survivingLoad.wait())
    CHECK(it.Complete && it.Correct);
  CHECK(eventually([&] { return totalHeldTokens() == 0; }, seconds(20)));
  // The limit is ten seconds after the loss of the owner; the check allows
  // eight more.
  CHECK(std::chrono::steady_clock::now() - killed < seconds(10) + seconds(8));
}

// The streams of a node that is frozen for four seconds must not be released as
// those of a lost owner.
TEST(Faults, FrozenNodeKeepsItsStreams) {
  start(1, 3);
  BackgroundLoad load(planFor(node(0), 300), 3);
  CHECK(eventually([&] { return fleet->Engines[0]->submits() == 3; }));
  CHECK(node(0).freeze());
  std::this_thread::sleep_for(seconds(4));
  node(0).signal(SIGCONT);
  for (const LoadSample &it : load.wait())
    CHECK(it.Complete && it.Correct);
}

TEST(Faults, ConcurrentProfileChangesLetOneSucceed) {
  start(1, 3);
  for (int round = 0; round < 10; ++round) {
    const std::string tag =
        httpCall(node(0).address(), "GET", "/v1/profiles/p", "operator")
            .EntityTag;
    HttpAnswer answers[2];
    std::thread threads[2];
    for (size_t n = 0; n < 2; ++n)
      threads[n] = std::thread([&, n] {
        answers[n] = httpCall(
            node(n).address(), "PUT", "/v1/profiles/p", "operator",
            json({{"priority", round % 5 + static_cast<int>(n)}}).dump(),
            {{"If-Match", tag}});
      });
    for (std::thread &it : threads)
      it.join();
    const size_t winner = answers[0].Status == 200 ? 0 : 1;
    LONGS_EQUAL(200, answers[winner].Status);
    LONGS_EQUAL(412, answers[1 - winner].Status);
    const json rejection = answers[1 - winner].json();
    STRCMP_EQUAL("op",
                 rejection["against"]["operator"].get<std::string>().c_str());
  }
}

TEST(Faults, ChangeIsCommittedNotAcceptedWhileANodeIsFrozen) {
  start(1, 3);
  CHECK(node(2).freeze());
  const HttpAnswer changed =
      httpCall(node(0).address(), "PUT", "/v1/profiles/p", "operator",
               R"({"priority":3})", {{"If-Match", "\"1\""}});
  LONGS_EQUAL(202, changed.Status);
  STRCMP_EQUAL("entry-3",
               changed.json()["waiting_for"][0].get<std::string>().c_str());
  node(2).signal(SIGCONT);
  CHECK(eventually([&] {
    return httpCall(node(0).address(), "GET", "/v1/revisions/2", "operator")
               .json()["state"] == "accepted";
  }));
  // The resumed node refuses requests until it has refreshed its view, and
  // confirms the change before it serves again.
  HttpAnswer answer;
  CHECK(eventually(
      [&] {
        answer = sendCompletion(node(2));
        return answer.Status == 200;
      },
      seconds(3)));
  LONGS_EQUAL(2, revisionOf(node(2), answer.RequestId));
}

TEST(Faults, NodeStartedDuringAnOutageReadsTheRevisionFromPeers) {
  start(1, 2);
  for (int n = 1; n <= 3; ++n)
    httpCall(node(0).address(), "PUT", "/v1/profiles/p", "operator",
             json({{"priority", n}}).dump(),
             {{"If-Match", fmt::format("\"{}\"", n)}});
  lab::PlatformFaults faults;
  faults.Outage = true;
  fleet->Platform->setFaults(faults);
  NodeProcess &lateNode = fleet->addNode();
  // The VM list is unavailable too, so the node reports that it isn't ready.
  CHECK_FALSE(lateNode.waitReady(seconds(2)));
  LONGS_EQUAL(503, sendCompletion(lateNode).Status);
  STRCMP_EQUAL("not_run", sendCompletion(lateNode).error("run").c_str());
  CHECK(eventually([&] {
    return httpCall(lateNode.address(), "GET", "/readyz", "")
               .json()["profile_revision"] == 4;
  }));
}

TEST(Faults, TableOutageBlocksClaimsButNotCompletions) {
  start(1, 2);
  FleetFixture::createProfile(
      node(0), "sub",
      {{"kind", "service"}, {"service", "records"}, {"repeatable", false}});
  setOutage(true);
  LONGS_EQUAL(200, sendCompletion(node(0)).Status);
  const HttpAnswer refused = callService(node(0), "k1");
  LONGS_EQUAL(503, refused.Status);
  STRCMP_EQUAL("not_run", refused.error("run").c_str());
  CHECK(!refused.RetryAfter.empty());
  CHECK(fleet->Services[0]->executions().empty());
  setOutage(false);
  LONGS_EQUAL(200, callService(node(0), "k1").Status);
}

TEST(Faults, SlowTableDoesNotDelayCompletions) {
  start(1, 1);
  // Longer than the time without progress after which a loop counts as frozen.
  NodeOptions optionsWithLongTimeout;
  optionsWithLongTimeout.PlatformTimeoutMs = 3000;
  fleet->addReadyNode(optionsWithLongTimeout);
  lab::PlatformFaults faults;
  faults.DelayMs = 5000;
  fleet->Platform->setFaults(faults);
  // Long enough for all loops of the node to block on the table.
  std::this_thread::sleep_for(seconds(2));
  for (int n = 0; n < 20; ++n) {
    const auto started = std::chrono::steady_clock::now();
    LONGS_EQUAL(200, sendCompletion(node(static_cast<size_t>(n % 2))).Status);
    CHECK(std::chrono::steady_clock::now() - started < seconds(1));
    std::this_thread::sleep_for(milliseconds(100));
  }
  fleet->Platform->setFaults({});
}

TEST(Faults, ConcurrentRepeatsThroughSeveralNodesRunOnce) {
  start(1, 3);
  FleetFixture::createProfile(
      node(0), "sub",
      {{"kind", "service"}, {"service", "records"}, {"repeatable", false}});
  lab::PlatformFaults faults;
  faults.LoseReplyPercent = 20;
  fleet->Platform->setFaults(faults);
  lab::ServiceFaults serviceFaults;
  serviceFaults.LoseReplyPercent = 20;
  fleet->Services[0]->setFaults(serviceFaults);
  std::vector<std::thread> threads;
  for (int key = 0; key < 20; ++key)
    for (size_t n = 0; n < 3; ++n)
      threads.emplace_back(
          [&, key, n] { callService(node(n), fmt::format("k{}", key)); });
  for (std::thread &it : threads)
    it.join();
  for (const auto &[key, n] : fleet->Services[0]->executions())
    LONGS_EQUAL_TEXT(1, n, key.c_str());
}

TEST(Faults, KilledNodeCausesNoSecondExecution) {
  start(1, 3);
  FleetFixture::createProfile(
      node(0), "sub",
      {{"kind", "service"}, {"service", "records"}, {"repeatable", false}});
  lab::ServiceFaults slow;
  slow.DelayMs = 30;
  fleet->Services[0]->setFaults(slow);
  std::vector<std::thread> threads;
  for (size_t n = 0; n < 3; ++n)
    threads.emplace_back([&, n] {
      for (int key = 0; key < 30; ++key)
        callService(node(n), fmt::format("k{}", key));
    });
  std::this_thread::sleep_for(milliseconds(250));
  node(0).signal(SIGKILL);
  for (std::thread &it : threads)
    it.join();
  const auto executions = fleet->Services[0]->executions();
  for (const auto &[key, n] : executions)
    LONGS_EQUAL_TEXT(1, n, key.c_str());
  CHECK(executions.size() >= 25);
}

TEST(Faults, KilledNodeLeavesAChangeWholeOrAbsent) {
  start(1, 3);
  for (uint64_t round = 0; round < 3; ++round) {
    const uint64_t revision = round + 1;
    const tests::HeaderList headers = {
        {"If-Match", fmt::format("\"{}\"", revision)},
        {"X-Change-Id", fmt::format("change-{}", round)}};
    const std::string body = json({{"priority", round}}).dump();
    NodeProcess &killedNode = node(round);
    std::thread sender([&] {
      httpCall(killedNode.address(), "PUT", "/v1/profiles/p", "operator", body,
               headers);
    });
    std::this_thread::sleep_for(milliseconds(round));
    killedNode.signal(SIGKILL);
    sender.join();
    fleet->addReadyNode(nodeOptions(fmt::format("fresh-{}", round), "zone-a"));
    // Sending the same change id through another node returns the change or
    // applies it, exactly once.
    const HttpAnswer again =
        httpCall(fleet->Nodes.back()->address(), "PUT", "/v1/profiles/p",
                 "operator", body, headers);
    CHECK(again.Status == 200 || again.Status == 202);
    LONGS_EQUAL(revision + 1,
                again.json()["profile"]["revision"].get<uint64_t>());
  }
}

TEST(Faults, NoNodeServesARevisionOlderThanAnAcceptedOne) {
  start(1, 3);
  std::atomic<uint64_t> accepted = 1;
  std::atomic<bool> isDone = false;
  std::atomic<int> reads = 0;
  std::atomic<int> staleAnswers = 0;
  std::vector<std::thread> readers;
  for (size_t n = 0; n < 3; ++n)
    readers.emplace_back([&, n] {
      while (!isDone) {
        const uint64_t minRevision = accepted;
        const HttpAnswer answer = sendCompletion(node(n));
        if (answer.Status != 200)
          continue;
        ++reads;
        if (revisionOf(node(n), answer.RequestId) < minRevision)
          ++staleAnswers;
      }
    });
  // A soak test sets these higher; docs/PROOFS.md has the command.
  const int rounds = environmentNumber("ORIOLETALLY_ROUNDS", 12);
  const milliseconds outage(environmentNumber("ORIOLETALLY_OUTAGE_MS", 300));
  uint64_t revision = 1;
  for (int round = 0; round < rounds; ++round) {
    if (round % 4 == 1)
      CHECK(node(2).freeze());
    lab::PlatformFaults faults;
    faults.LoseReplyPercent = round % 3 == 2 ? 50 : 0;
    fleet->Platform->setFaults(faults);
    const HttpAnswer changed = httpCall(
        node(static_cast<size_t>(round % 2)).address(), "PUT", "/v1/profiles/p",
        "operator", json({{"priority", round % 9}}).dump(),
        {{"If-Match", fmt::format("\"{}\"", revision)}});
    if (changed.Status == 200 || changed.Status == 202)
      revision = changed.json()["profile"]["revision"].get<uint64_t>();
    if (changed.Status == 200)
      accepted = revision;
    if (round % 4 == 1)
      node(2).signal(SIGCONT);
    // An outage immediately after the commit.
    const bool isOutage = round % 4 == 3;
    setOutage(isOutage);
    std::this_thread::sleep_for(isOutage ? outage : milliseconds(300));
    setOutage(false);
  }
  isDone = true;
  for (std::thread &it : readers)
    it.join();
  CHECK(reads > 100);
  CHECK(revision > 8);
  LONGS_EQUAL(0, staleAnswers.load());
}

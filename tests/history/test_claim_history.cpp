#include "drivers/gateway/service_runner.h"
#include "tests/support/fake_table.h"
#include "tests/support/request_fixture.h"

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <fmt/format.h>
#include <map>
#include <random>
#include <set>

using namespace orioletally;
using core::backends::BackendError;
using core::backends::ServiceAnswer;
using core::backends::ServiceCall;
using core::errors::RequestError;
using core::errors::RunState;
using drivers::gateway::ServiceContext;
using drivers::gateway::ServicePlan;
using drivers::gateway::ServiceResult;
using drivers::gateway::ServiceRunner;
using tests::FakeTable;
using tests::TableFault;
namespace leaf = boost::leaf;

namespace {

constexpr int SeedCount = 3000;
constexpr int KeyCount = 3;
constexpr int CallsPerKey = 6;
constexpr absl::Duration MaxClaimAge = absl::Seconds(5);

/// Thrown to unwind the code of a node at the point where it is killed.
struct NodeKilled {};

/// Simulates several nodes that make calls with the same idempotency keys.
/// Whenever a node accesses the table or a service, the seed decides whether
/// another node's complete call runs in between, the clock advances as in a
/// freeze, an answer is lost, or the node is killed.
class ClaimSimulation : public core::backends::ServiceClient {
public:
  explicit ClaimSimulation(uint64_t seed)
      : Random(seed), Router({}, Freshness) {
    Freshness.confirm(absl::InfiniteFuture());
    core::platform::Vm vm;
    vm.Role = core::platform::VmRole::Service;
    vm.Service = "records";
    for (const char *id : {"s1", "s2"}) {
      vm.Id = id;
      vm.Address = id;
      Router.withRegistry([&](core::routing::BackendRegistry &registry) {
        Vms.push_back(vm);
        registry.replaceList(Vms, Now);
      });
    }
    Table.Fault = [this](const std::string &call) { return tableFault(call); };
    Table.AfterCommit = [this] { injectFault(); };
    for (int key = 0; key < KeyCount; ++key)
      for (int n = 0; n < CallsPerKey; ++n)
        PendingKeys.push_back(fmt::format("key-{}", key));
    std::shuffle(PendingKeys.begin(), PendingKeys.end(), Random);
  }

  void run() {
    while (!PendingKeys.empty())
      runNextCall();
  }

  leaf::result<ServiceAnswer> call(const std::string &, const ServiceCall &call,
                                   absl::Duration,
                                   absl::Duration timeout) override {
    // The runner read its clock immediately before this call.
    if (Now - StartedAt[call.RequestId] > MaxClaimAge)
      Violation = call.RequestId + " was sent although its claim was too old";
    injectFault();
    const int outcome = randomBelow(10);
    if (outcome == 0)
      return leaf::new_error(BackendError{"not reached", false});
    if (outcome == 1) {
      ServiceAnswer refusal;
      refusal.RefusedBeforeStart = true;
      return refusal;
    }
    if (outcome == 2)
      return leaf::new_error(BackendError{"lost before it began", true});
    const int n = ++ExecutionsByKey[call.IdempotencyKey];
    ExecutedRequests.insert(call.RequestId);
    injectFault();
    if (outcome == 3)
      return leaf::new_error(BackendError{"lost after it ran", true});
    if (outcome == 4) {
      Now += timeout;
      return leaf::new_error(BackendError{"no answer in time", true});
    }
    ServiceAnswer answer;
    answer.Status = 200;
    answer.Body = fmt::format("{} execution {}", call.IdempotencyKey, n);
    return answer;
  }

  std::string Violation;
  int Answered = 0;
  std::map<std::string, int> ExecutionsByKey;

  /// Sets Violation if an invariant doesn't hold after all calls have ended.
  void checkInvariants() {
    for (const auto &[key, n] : ExecutionsByKey)
      if (n > 1)
        Violation = fmt::format("{} was executed {} times", key, n);
    for (const std::string &it : ReportedNotRun)
      if (ExecutedRequests.contains(it))
        Violation = fmt::format("{} was reported not_run, but it ran", it);
    for (const auto &[key, bodies] : AnswerBodies)
      if (bodies.size() > 1)
        Violation = fmt::format("{} got different answers", key);
  }

private:
  int randomBelow(int n) {
    return static_cast<int>(Random() % static_cast<uint64_t>(n));
  }

  TableFault tableFault(const std::string &call) {
    injectFault();
    const int outcome = randomBelow(12);
    if (outcome == 0)
      return TableFault::FailBefore;
    if (outcome == 1 && call == "commit")
      return TableFault::LoseReply;
    return TableFault::None;
  }

  /// Injects what can happen to a node between two steps: another node's call,
  /// a freeze of up to 11 s, or a kill.
  void injectFault() {
    const int outcome = randomBelow(16);
    if (outcome == 0 && !PendingKeys.empty())
      runNextCall();
    if (outcome == 1)
      Now += absl::Seconds(randomBelow(12));
    if (outcome == 2)
      throw NodeKilled{};
  }

  void runNextCall() {
    const std::string key = PendingKeys.back();
    PendingKeys.pop_back();
    ServicePlan plan;
    plan.Profile = tests::profileWith({{"kind", "service"},
                                       {"service", "records"},
                                       {"repeatable", false},
                                       {"deadline_ms", 10000}});
    plan.Workspace = "w";
    plan.Unrepeatable = true;
    plan.Call.RequestId = fmt::format("r-{}", PendingKeys.size());
    plan.Call.Path = "apply";
    plan.Call.IdempotencyKey = key;
    plan.Deadline = Now + plan.Profile.deadline();
    const ServiceContext context{
        *this,       Table,
        Router,      fmt::format("node-{}", randomBelow(4)),
        MaxClaimAge, [this] { return Now; }};
    const std::string requestId = plan.Call.RequestId;
    StartedAt[requestId] = Now;
    try {
      ServiceRunner runner(context, std::move(plan));
      recordResult(key, requestId, runner.run());
    } catch (const NodeKilled &) {
      // The caller's connection is lost; it gets no answer.
    }
  }

  void recordResult(const std::string &key, const std::string &requestId,
                    const ServiceResult &result) {
    if (const auto *answer = std::get_if<ServiceAnswer>(&result)) {
      ++Answered;
      AnswerBodies[key].insert(answer->Body);
      return;
    }
    if (std::get<RequestError>(result).Run == RunState::NotRun)
      ReportedNotRun.insert(requestId);
  }

  std::mt19937_64 Random;
  absl::Time Now = tests::at(0);
  drivers::gateway::ViewFreshness Freshness{absl::InfiniteDuration()};
  drivers::gateway::SharedRouter Router;
  FakeTable Table;
  std::vector<core::platform::Vm> Vms;
  std::vector<std::string> PendingKeys;
  std::map<std::string, absl::Time> StartedAt;
  std::set<std::string> ExecutedRequests;
  std::set<std::string> ReportedNotRun;
  std::map<std::string, std::set<std::string>> AnswerBodies;
};

} // namespace

TEST_GROUP(ClaimHistory){};

TEST(ClaimHistory, AnUnrepeatableCallRunsAtMostOnce) {
  const char *replaySeed = std::getenv("ORIOLETALLY_SEED");
  const int first = replaySeed == nullptr ? 1 : std::atoi(replaySeed);
  const int last = replaySeed == nullptr ? SeedCount : first;
  int executed = 0;
  int answered = 0;
  for (int seed = first; seed <= last; ++seed) {
    ClaimSimulation simulation(static_cast<uint64_t>(seed));
    simulation.run();
    simulation.checkInvariants();
    if (!simulation.Violation.empty())
      FAIL(fmt::format("{}. Replay: ORIOLETALLY_SEED={} "
                       "build/tests/tests-history -sg ClaimHistory",
                       simulation.Violation, seed)
               .c_str());
    executed += static_cast<int>(simulation.ExecutionsByKey.size());
    answered += simulation.Answered;
  }
  UT_PRINT(
      fmt::format("{} keys executed, {} calls answered", executed, answered)
          .c_str());
}

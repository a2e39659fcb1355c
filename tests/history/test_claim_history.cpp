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

constexpr int Seeds = 3000;
constexpr int Keys = 3;
constexpr int CallsPerKey = 6;
constexpr absl::Duration MaxClaimAge = absl::Seconds(5);

/// Thrown through a node's code where the node is killed.
struct NodeKilled {};

/// Several nodes that carry out calls under the same keys. Wherever one of
/// them talks to the table or to a service, the seed may run another node's
/// whole call in between, let time pass as in a freeze, lose an answer, or
/// kill the node.
class ClaimWorld : public core::backends::ServiceClient {
public:
  explicit ClaimWorld(uint64_t seed) : Random(seed), Router({}, Freshness) {
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
    Table.AfterCommit = [this] { interrupt(); };
    for (int key = 0; key < Keys; ++key)
      for (int n = 0; n < CallsPerKey; ++n)
        Waiting.push_back(fmt::format("key-{}", key));
    std::shuffle(Waiting.begin(), Waiting.end(), Random);
  }

  void run() {
    while (!Waiting.empty())
      runOne();
  }

  leaf::result<ServiceAnswer> call(const std::string &, const ServiceCall &call,
                                   absl::Duration,
                                   absl::Duration bound) override {
    // The runner's last look at its clock came right before this.
    if (Now - AskedAt[call.RequestId] > MaxClaimAge)
      Broken = call.RequestId + " was sent long after it was claimed";
    interrupt();
    const int fate = chance(10);
    if (fate == 0)
      return leaf::new_error(BackendError{"not reached", false});
    if (fate == 1) {
      ServiceAnswer refusal;
      refusal.RefusedBeforeStart = true;
      return refusal;
    }
    if (fate == 2)
      return leaf::new_error(BackendError{"lost before it began", true});
    const int n = ++ExecutionsByKey[call.IdempotencyKey];
    ExecutedRequests.insert(call.RequestId);
    interrupt();
    if (fate == 3)
      return leaf::new_error(BackendError{"lost after it ran", true});
    if (fate == 4) {
      Now += bound;
      return leaf::new_error(BackendError{"no answer in time", true});
    }
    ServiceAnswer answer;
    answer.Status = 200;
    answer.Body = fmt::format("{} execution {}", call.IdempotencyKey, n);
    return answer;
  }

  std::string Broken;
  int Answered = 0;
  std::map<std::string, int> ExecutionsByKey;

  /// What must hold once every call has ended.
  void check() {
    for (const auto &[key, n] : ExecutionsByKey)
      if (n > 1)
        Broken = fmt::format("{} was executed {} times", key, n);
    for (const std::string &it : ToldNotRun)
      if (ExecutedRequests.contains(it))
        Broken = fmt::format("{} was told not_run, but it ran", it);
    for (const auto &[key, bodies] : Answers)
      if (bodies.size() > 1)
        Broken = fmt::format("{} got different answers", key);
  }

private:
  int chance(int n) {
    return static_cast<int>(Random() % static_cast<uint64_t>(n));
  }

  TableFault tableFault(const std::string &call) {
    interrupt();
    const int fate = chance(12);
    if (fate == 0)
      return TableFault::FailBefore;
    if (fate == 1 && call == "commit")
      return TableFault::LoseReply;
    return TableFault::None;
  }

  /// Anything that can happen to a node between two of its steps.
  void interrupt() {
    const int fate = chance(16);
    if (fate == 0 && !Waiting.empty())
      runOne();
    if (fate == 1)
      Now += absl::Seconds(chance(12));
    if (fate == 2)
      throw NodeKilled{};
  }

  void runOne() {
    const std::string key = Waiting.back();
    Waiting.pop_back();
    ServicePlan plan;
    plan.Profile = tests::profileWith({{"kind", "service"},
                                       {"service", "records"},
                                       {"repeatable", false},
                                       {"deadline_ms", 10000}});
    plan.Workspace = "w";
    plan.Unrepeatable = true;
    plan.Call.RequestId = fmt::format("r-{}", Waiting.size());
    plan.Call.Path = "apply";
    plan.Call.IdempotencyKey = key;
    plan.Deadline = Now + plan.Profile.deadline();
    const ServiceContext context{*this,       Table,
                                 Router,      fmt::format("node-{}", chance(4)),
                                 MaxClaimAge, [this] { return Now; }};
    const std::string requestId = plan.Call.RequestId;
    AskedAt[requestId] = Now;
    try {
      ServiceRunner runner(context, std::move(plan));
      note(key, requestId, runner.run());
    } catch (const NodeKilled &) {
      // The caller's connection breaks; nobody was told anything.
    }
  }

  void note(const std::string &key, const std::string &requestId,
            const ServiceResult &result) {
    if (const auto *answer = std::get_if<ServiceAnswer>(&result)) {
      ++Answered;
      Answers[key].insert(answer->Body);
      return;
    }
    if (std::get<RequestError>(result).Run == RunState::NotRun)
      ToldNotRun.insert(requestId);
  }

  std::mt19937_64 Random;
  absl::Time Now = tests::at(0);
  drivers::gateway::ViewFreshness Freshness{absl::InfiniteDuration()};
  drivers::gateway::SharedRouter Router;
  FakeTable Table;
  std::vector<core::platform::Vm> Vms;
  std::vector<std::string> Waiting;
  std::map<std::string, absl::Time> AskedAt;
  std::set<std::string> ExecutedRequests;
  std::set<std::string> ToldNotRun;
  std::map<std::string, std::set<std::string>> Answers;
};

} // namespace

TEST_GROUP(ClaimHistory){};

TEST(ClaimHistory, AnUnrepeatableCallRunsAtMostOnce) {
  const char *only = std::getenv("ORIOLETALLY_SEED");
  const int first = only == nullptr ? 1 : std::atoi(only);
  const int last = only == nullptr ? Seeds : first;
  int executed = 0;
  int answered = 0;
  for (int seed = first; seed <= last; ++seed) {
    ClaimWorld world(static_cast<uint64_t>(seed));
    world.run();
    world.check();
    if (!world.Broken.empty())
      FAIL(fmt::format("{}. Replay: ORIOLETALLY_SEED={} "
                       "build/tests/tests-history -sg ClaimHistory",
                       world.Broken, seed)
               .c_str());
    executed += static_cast<int>(world.ExecutionsByKey.size());
    answered += world.Answered;
  }
  UT_PRINT(
      fmt::format("{} keys executed, {} calls answered", executed, answered)
          .c_str());
}

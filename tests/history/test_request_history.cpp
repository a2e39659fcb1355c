#include "tests/history/request_simulation.h"

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <fmt/format.h>

using namespace orioletally;
using core::errors::RunState;
using tests::RequestRecord;
using tests::RequestSimulation;

namespace {

constexpr int SeedCount = 1000;
constexpr int RequestsPerSeed = 30;
constexpr absl::Duration MaxLateness = absl::Milliseconds(100);

/// Returns the first \p tokens of the answer to the record's prompt.
std::string expectedText(const RequestRecord &record, int64_t tokens) {
  std::string text;
  const uint64_t hash = lab::hashPrompt(record.Prompt);
  for (int64_t n = 0; n < tokens; ++n)
    text += lab::answerToken(hash, static_cast<uint64_t>(n));
  return text;
}

/// Returns a description of the invariant that the record violates, or "".
std::string checkRecord(const RequestRecord &record,
                        const RequestSimulation &simulation) {
  const auto &plan = record.Plan;
  if (record.FinalAnswers != 1)
    return fmt::format("{} final answers", record.FinalAnswers);
  if (record.EndedAt > plan.Deadline + MaxLateness)
    return "ended after its deadline";
  const std::string whole = expectedText(record, plan.MaxTokens);
  if (record.Completed && record.Text != whole)
    return "completed with an answer that is incomplete or another prompt's";
  if (!whole.starts_with(record.Text))
    return "delivered a token that isn't part of its answer";
  if (plan.Streaming && record.Restarts > 0)
    return "restarted a stream";
  const int executions = simulation.executionsOf(plan.RequestId);
  if (!record.Completed && record.Error.Run == RunState::NotRun &&
      executions > 0)
    return "reported not_run, but it ran";
  if (!record.Completed && record.Error.Run == RunState::Ran && executions == 0)
    return "reported ran, but it never ran";
  if (!plan.Profile.repeatable() && executions > 1)
    return "an unrepeatable request ran twice";
  return "";
}

} // namespace

TEST_GROUP(RequestHistory){};

TEST(RequestHistory, InvariantsHoldUnderRandomFaults) {
  // ORIOLETALLY_SEED replays a single seed.
  const char *replaySeed = std::getenv("ORIOLETALLY_SEED");
  const int first = replaySeed == nullptr ? 1 : std::atoi(replaySeed);
  const int last = replaySeed == nullptr ? SeedCount : first;
  int completed = 0;
  int total = 0;
  for (int seed = first; seed <= last; ++seed) {
    RequestSimulation simulation(4, static_cast<uint64_t>(seed));
    simulation.run(RequestsPerSeed, true);
    for (const auto &it : simulation.records()) {
      ++total;
      completed += it->Completed ? 1 : 0;
      const std::string violation = checkRecord(*it, simulation);
      if (!violation.empty())
        FAIL(fmt::format("{}: {}. Replay: ORIOLETALLY_SEED={} "
                         "build/tests/tests-history -sg RequestHistory{}",
                         it->Plan.RequestId, violation, seed,
                         simulation.traceOf(it->Plan.RequestId))
                 .c_str());
    }
  }
  if (replaySeed == nullptr)
    LONGS_EQUAL(SeedCount * RequestsPerSeed, total);
  UT_PRINT(
      fmt::format("{} of {} requests completed", completed, total).c_str());
}

// Except the requests whose callers disconnect.
TEST(RequestHistory, EveryRequestCompletesWithoutFaults) {
  for (int seed = 1; seed <= 20; ++seed) {
    RequestSimulation simulation(4, static_cast<uint64_t>(seed));
    simulation.run(RequestsPerSeed, false);
    for (const auto &it : simulation.records())
      CHECK(it->Completed ||
            it->Error.Code == core::errors::ErrorCode::CallerGone);
    LONGS_EQUAL(0, simulation.heldTokens());
  }
}

TEST(RequestHistory, RefusingBackendsCauseNoRetryStorm) {
  // Half of the backend servers refuse every submit. All servers together must
  // get less than 1.2 submits per request.
  core::routing::RouterSettings settings;
  core::routing::FleetRouter router(settings);
  std::vector<core::platform::Vm> vms;
  for (int n = 0; n < 8; ++n)
    vms.push_back(tests::engineVm(fmt::format("e{}", n)));
  router.registry().replaceList(vms, tests::at(0));
  constexpr int Requests = 5000;
  int submits = 0;
  for (int n = 0; n < Requests; ++n) {
    const absl::Time now = tests::at(n * 10);
    core::requests::RequestPlan plan = tests::planWith(tests::profileWith());
    plan.Deadline = now + plan.Profile.deadline();
    core::requests::RequestMachine machine(plan, tests::requestChart(), router);
    auto actions = machine.start(now);
    while (!machine.isDone() && !actions.empty()) {
      core::requests::RequestActions next;
      for (const auto &it : actions) {
        const auto *submit = std::get_if<core::requests::OpenSubmit>(&it);
        if (submit == nullptr)
          continue;
        ++submits;
        const bool isRefusing = submit->BackendId < "e4";
        if (isRefusing) {
          next = machine.handle(
              core::requests::SubmitRefused{submit->Connection,
                                            {"refusing", "", 0, false}},
              now);
        } else {
          core::backends::Frame frame;
          frame.Kind = core::backends::FrameKind::Final;
          frame.RequestId = "r-1";
          frame.Attempt = submit->Attempt;
          next = machine.handle(
              core::requests::FrameArrived{submit->Connection, frame}, now);
        }
      }
      actions = next;
    }
  }
  CHECK(submits >= Requests);
  CHECK(submits < 1.2 * Requests);
}

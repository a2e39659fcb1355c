#include "tests/lab/loss_table.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <sstream>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally::lab;

namespace {

/// Returns a log line of a node, written \p ms after a full minute.
std::string lineAt(int ms, const std::string &event, const std::string &id,
                   const std::string &extraFields) {
  return fmt::format(R"({{"time":"2026-01-02T03:04:{:02}.{:03}+00:00",)"
                     R"("event":"{}","id":"{}",{}}})"
                     "\n",
                     ms / 1000, ms % 1000, event, id, extraFields);
}

std::string dispatchAt(int ms, const std::string &id, const std::string &engine,
                       int prompt, int predicted,
                       const std::string &helpers = "") {
  return lineAt(ms, "dispatch", id,
                fmt::format(R"("backend":"{}","helpers":[{}],"prompt":{},)"
                            R"("predicted_ms":{})",
                            engine, helpers, prompt, predicted));
}

/// Returns the log line at the end of a stream that took 1 s and whose longest
/// pause was \p gap ms.
std::string endAt(int ms, const std::string &id, int first, int gap,
                  const std::string &extraFields = "") {
  return lineAt(ms, "call", id,
                fmt::format(R"("route":"short","status":200,"first_ms":{},)"
                            R"("gap_ms":{},"ms":1000,"objective_ms":300,)"
                            R"("gap_objective_ms":250{})",
                            first, gap, extraFields));
}

std::string refusalAt(int ms, const std::string &id, const std::string &code) {
  return lineAt(ms, "call", id,
                fmt::format(R"("route":"short","status":503,"ms":1,)"
                            R"("code":"{}")",
                            code));
}

} // namespace

TEST_GROUP(LossTable) {
  LossTable table;

  void read(const std::string &lines) {
    std::istringstream log(lines);
    table.read(log);
  }

  /// Returns the cause of the only call that arrives within the second that
  /// starts at \p second.
  LossCause causeAt(int second) {
    for (const CallLoss &it : table.calls()) {
      const absl::Duration after =
          it.ArrivedAt - absl::FromUnixSeconds(1'767'323'040);
      if (after / absl::Seconds(1) == second)
        return it.Cause;
    }
    return LossCause::None;
  }
};

TEST(LossTable, DistinguishesPredictedFromUnpredictedLateness) {
  read(dispatchAt(1'000, "a", "e1", 1'000, 100) + endAt(2'000, "a", 250, 200) +
       dispatchAt(2'000, "b", "e1", 1'000, 100) + endAt(3'000, "b", 350, 200) +
       dispatchAt(3'000, "c", "e1", 1'000, 400) + endAt(4'000, "c", 450, 200));
  CHECK(causeAt(1) == LossCause::None);
  CHECK(causeAt(2) == LossCause::LateUnforeseen);
  CHECK(causeAt(3) == LossCause::LateAsPredicted);
}

// Another node dispatched the long prompt, and a helper part of it went to the
// engine of the stream.
TEST(LossTable, AttributesPausesToLongPromptsOnTheSameEngine) {
  read(dispatchAt(1'000, "a", "e1", 1'000, 100) + endAt(2'000, "a", 200, 400) +
       dispatchAt(2'000, "b", "e2", 1'000, 100) + endAt(3'000, "b", 200, 400));
  read("12.5 entry-2 " +
       dispatchAt(2'500, "long", "e1", 190'000, 300, R"("e2")") +
       lineAt(5'000, "call", "long",
              R"("route":"long","status":200,"first_ms":400,"ms":2500)"));
  CHECK(causeAt(1) == LossCause::PauseElsewhere);
  const std::vector<CallLoss> calls = table.calls();
  LONGS_EQUAL(3, calls.size());
  CHECK(calls[1].Cause == LossCause::PauseBesideLongPrompt);
  CHECK(calls[2].Cause == LossCause::None);
  LONGS_EQUAL(0, table.countUrgentStreams(false).Streams);
  LONGS_EQUAL(2, table.countUrgentStreams(true).Streams);
  LONGS_EQUAL(1, table.countUrgentStreams(true).BesideLongPrompt);
}

TEST(LossTable, ClassifiesRefusalsFailuresAndAborts) {
  read(refusalAt(1'001, "a", "overloaded") +
       refusalAt(2'001, "b", "no_backend") + refusalAt(3'001, "c", "draining") +
       lineAt(4'001, "call", "d", R"("route":"r","status":500,"ms":1)") +
       endAt(6'000, "e", 200, 200, R"(,"aborted":"caller_gone")") +
       endAt(7'000, "f", 0, 0, R"(,"aborted":"out_of_time")") +
       dispatchAt(7'000, "g", "e1", 1'000, 100) +
       lineAt(8'001, "call", "h",
              R"("route":"r","status":404,"ms":1,"code":"not_found")"));
  const std::array<LossCause, 8> expected = {
      LossCause::Overload,     LossCause::NoBackendServer,
      LossCause::NodeNotReady, LossCause::BackendFailure,
      LossCause::CallerLeft,   LossCause::OutOfTime,
      LossCause::NodeEnded,    LossCause::None};
  for (size_t n = 0; n < expected.size(); ++n)
    CHECK(causeAt(static_cast<int>(n) + 1) == expected[n]);
}

TEST(LossTable, SkipsLinesThatAreNotCalls) {
  read("built in 0.0 s\n{broken\n{}\n" +
       lineAt(1'000, "backend_changed", "x", R"("change":"gone")") +
       refusalAt(2'000, "a", "overloaded"));
  LONGS_EQUAL(1, table.calls().size());
  const std::string text = table.markdown(absl::Seconds(2));
  CHECK(text.find("| short | | | | | | 1 | | | | | | |") != std::string::npos);
  CHECK(text.find("| 0 | | | | | | 1 |") != std::string::npos);
}

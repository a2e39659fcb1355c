#include "core/loop/turn_log.h"

#include <CppUTest/TestHarness.h>

using namespace orioletally::core::loop;

TEST_GROUP(TurnLog) {
  absl::Time start = absl::FromUnixSeconds(1'000);
  TurnLog turns;

  void record(LoopWork work, int64_t ms) {
    turns.record({work, absl::Milliseconds(ms), absl::Milliseconds(ms / 2)});
  }
  std::optional<LoopTurn> reportAt(int64_t ms) {
    return turns.takeReport(start + absl::Milliseconds(ms));
  }
};

TEST(TurnLog, ReportsTheWorstAtMostOnceASecond) {
  record(LoopWork::Config, 40);
  CHECK(reportAt(0)->Work == LoopWork::Config);
  record(LoopWork::Peers, 30);
  record(LoopWork::Snapshot, 60);
  record(LoopWork::Quarantine, 50);
  CHECK_FALSE(reportAt(999).has_value());
  CHECK(reportAt(1'000)->Work == LoopWork::Snapshot);
  CHECK_FALSE(reportAt(2'000).has_value());
}

TEST(TurnLog, ShortTurnIsOnlyCounted) {
  record(LoopWork::Config, 24);
  CHECK_FALSE(reportAt(0).has_value());
  CHECK(turns.longest(LoopWork::Config).Time == absl::Milliseconds(24));
  CHECK(turns.longest(LoopWork::Config).ProcessorTime ==
        absl::Milliseconds(12));
}

TEST(TurnLog, LateTimerDoesNotHideTheWorkThatMadeItLate) {
  record(LoopWork::Config, 40);
  record(LoopWork::Other, 45);
  CHECK(reportAt(0)->Work == LoopWork::Config);
  record(LoopWork::Config, 40);
  record(LoopWork::Other, 90);
  CHECK(reportAt(1'000)->Work == LoopWork::Other);
}

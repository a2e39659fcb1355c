#include "core/loop/turn_log.h"

#include <algorithm>
#include <utility>

namespace orioletally::core::loop {

namespace {

constexpr std::array<std::string_view, LoopWorkCount> WorkNames = {
    "config", "backends", "snapshot", "nodes", "quarantine", "peers", "other"};

} // namespace

std::string_view loopWorkName(LoopWork work) {
  return WorkNames[static_cast<size_t>(work)];
}

void TurnLog::record(const LoopTurn &turn) {
  LoopTurn &longest = Longest[static_cast<size_t>(turn.Work)];
  longest.Time = std::max(longest.Time, turn.Time);
  longest.ProcessorTime = std::max(longest.ProcessorTime, turn.ProcessorTime);
  // The lateness of a timer includes the named work that caused it.
  const bool isNamedInstead = turn.Work == LoopWork::Other &&
                              Worst.Work != LoopWork::Other &&
                              turn.Time < 2 * Worst.Time;
  if (turn.Time > Worst.Time && !isNamedInstead)
    Worst = turn;
}

std::optional<LoopTurn> TurnLog::takeReport(absl::Time now) {
  if (Worst.Time < MinReportedTime || now - LastReportAt < ReportInterval)
    return std::nullopt;
  LastReportAt = now;
  return std::exchange(Worst, LoopTurn());
}

LoopTurn TurnLog::longest(LoopWork work) const {
  LoopTurn turn = Longest[static_cast<size_t>(work)];
  turn.Work = work;
  return turn;
}

} // namespace orioletally::core::loop

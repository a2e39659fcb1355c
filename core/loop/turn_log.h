#ifndef ORIOLETALLY_CORE_LOOP_TURN_LOG_H
#define ORIOLETALLY_CORE_LOOP_TURN_LOG_H

#include <absl/time/time.h>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace orioletally::core::loop {

/// Work of the event loop whose amount others decide.
enum class LoopWork {
  /// Taking over a configuration.
  Config,
  /// Applying changes of the backend servers.
  Backends,
  /// Applying the list of all backend servers.
  Snapshot,
  Nodes,
  Quarantine,
  /// A message of another node.
  Peers,
  /// Anything else, between two ticks of a timer.
  Other,
};

constexpr size_t LoopWorkCount = 7;

/// Returns the name of \p work in logs and metrics.
std::string_view loopWorkName(LoopWork work);

/// One turn of the event loop, or the part of it that a work took.
struct LoopTurn {
  LoopWork Work = LoopWork::Other;
  /// Time for which nothing else could run on the loop.
  absl::Duration Time = absl::ZeroDuration();
  /// Processor time that the loop's thread used.
  absl::Duration ProcessorTime = absl::ZeroDuration();
};

/// Keeps the longest turns of an event loop and decides which to report: at
/// most one a second, the longest since the last one reported.
class TurnLog {
public:
  /// A shorter turn isn't reported.
  static constexpr absl::Duration MinReportedTime = absl::Milliseconds(25);
  static constexpr absl::Duration ReportInterval = absl::Seconds(1);

  void record(const LoopTurn &turn);

  /// Returns the turn to report at \p now, if there is one.
  std::optional<LoopTurn> takeReport(absl::Time now);

  /// The longest time and the longest processor time of \p work so far, which
  /// may be of different turns.
  LoopTurn longest(LoopWork work) const;

private:
  std::array<LoopTurn, LoopWorkCount> Longest{};
  LoopTurn Worst;
  absl::Time LastReportAt = absl::InfinitePast();
};

} // namespace orioletally::core::loop

#endif

#ifndef ORIOLETALLY_TESTS_LAB_RELAY_MODEL_H
#define ORIOLETALLY_TESTS_LAB_RELAY_MODEL_H

#include "core/engines/engine_speed.h"
#include "tests/lab/placement_policy.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace orioletally::lab {

/// One kind of prompt in a load.
struct PromptKind {
  std::string Name;
  double MeanTokens = 5000;
  /// Standard deviation of the logarithm of the length.
  double LogLengthDeviation = 0.5;
  double AnswerTokens = 1600;
  absl::Duration Objective;
  absl::Duration GapObjective;
  /// What one answer in time counts, for a prompt of mean length.
  double Value = 1;
};

/// Requests a second of each kind, by PromptKind's position, for a while.
struct LoadPhase {
  absl::Duration Length;
  std::vector<double> Rates;
};

/// A load and the fleet that it comes to; read from tests/lab/loads/*.toml.
struct LoadPattern {
  core::engines::EngineSpeed Speed;
  int Engines = 21;
  int Nodes = 6;
  /// Availability zones that nodes and engines are spread over.
  int Zones = 1;
  /// Time until a node hears of another's dispatch.
  absl::Duration LoadUpdateDelay = absl::Milliseconds(8);
  std::vector<PromptKind> Kinds;
  std::vector<LoadPhase> Phases;
};

/// What became of the prompts of one kind.
struct KindResult {
  int64_t Arrived = 0;
  int64_t InTime = 0;
  int64_t FirstLate = 0;
  int64_t PauseLate = 0;
  int64_t Refused = 0;
  std::vector<double> FirstMs;
  /// Seen time to the first token over the predicted one.
  std::vector<double> FirstTokenRatios;
  double EarnedValue = 0;
  double OfferedValue = 0;
};

/// What a load made nodes tell each other.
struct LoadUpdateCount {
  int64_t Updates = 0;
  /// Copies that went to other nodes.
  int64_t Copies = 0;
};

/// Returns the pattern in \p file; ends the process with a message when it
/// can't be read.
LoadPattern readLoad(const std::string &file);

/// Plays \p pattern in virtual time against \p policy at each node and engines
/// that follow the published formulas. Counts what nodes tell each other into
/// \p updates unless that is null.
std::vector<KindResult>
simulateLoad(const LoadPattern &pattern, uint64_t seed,
             PlacementPolicy policy = PlacementPolicy::Dispatcher,
             LoadUpdateCount *updates = nullptr);

/// Prints what became of each kind over \p runs plays of \p file.
void printPlacement(const std::string &file, int runs, uint64_t seed);

/// Prints a table of what each policy earns on each of \p files over \p runs
/// plays with the same seeds, and draws it into \p picture unless that is
/// empty.
void comparePlacement(const std::vector<std::string> &files, int runs,
                      uint64_t seed, const std::string &picture);

/// The share of what was owed that was earned.
double earnedValueShare(const std::vector<KindResult> &results);

} // namespace orioletally::lab

#endif

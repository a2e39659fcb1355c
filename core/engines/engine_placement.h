#ifndef ORIOLETALLY_CORE_ENGINES_ENGINE_PLACEMENT_H
#define ORIOLETALLY_CORE_ENGINES_ENGINE_PLACEMENT_H

#include "core/engines/engine_load.h"
#include "core/engines/engine_speed.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>
#include <absl/types/span.h>
#include <cstdint>
#include <optional>
#include <vector>

namespace orioletally::core::engines {

/// An engine that a prompt may be placed on, as seen by this node.
struct EngineCandidate {
  const EngineLoad *Load = nullptr;
  /// Position in an order of the service's engines that all nodes share, from
  /// 0 to 1. Short prompts prefer the start of the order, long ones its end.
  double OrderPosition = 0;
  /// Recent ratio of observed to predicted first-token latency; 1 for an engine
  /// that works at its declared speed.
  double SlowdownRatio = 1;
  /// Additional cost, expressed as time, for recent failures and for another
  /// availability zone.
  absl::Duration Penalty = absl::ZeroDuration();
  /// Whether it may prefill parts of prompts for other engines.
  bool CanHelp = true;
};

/// The prompt to place.
struct PromptDemand {
  int64_t PromptTokens = 0;
  /// Expected tokens of the answer.
  int64_t AnswerTokens = 0;
  /// Tokens that the engine keeps memory for; AnswerTokens if empty.
  std::optional<int64_t> AnnouncedTokens;
  /// Time left until the first token is late.
  absl::Duration Objective;
  /// The prompt is refused when the predicted first token would take longer.
  absl::Duration MaxPredictedFirstToken;
  /// The longest pause between two events that meets the caller's objective.
  absl::Duration GapObjective = absl::InfiniteDuration();
  /// Number of engines of the service when all are in use.
  size_t EngineCount = 0;
  /// Weight of the answers that it makes late in the decision to admit it; 0
  /// admits it regardless of them.
  double HarmWeight = 1;
};

/// The engines chosen for a prompt.
struct EngineChoice {
  size_t Engine = 0;
  /// Engines that prefill parts of the prompt, in addition to `Engine`.
  std::vector<size_t> Helpers;
  /// Tokens of memory to reserve at each helper; 0 for none. `Engine` holds the
  /// rest.
  std::vector<int64_t> Reserved;
  absl::Duration PredictedFirstToken;
};

/// Why a prompt isn't placed, and when to retry.
struct PlacementRefusal {
  /// True when the prompt exceeds the combined memory of all engines of the
  /// service.
  bool TooLarge = false;
  /// True when it exceeds the combined memory of those that may be sent work.
  bool NeedsMoreEngines = false;
  absl::Duration RetryAfter;
};

struct PlacementResult {
  std::optional<EngineChoice> Choice;
  PlacementRefusal Refusal;
};

/// Places prompts of very different lengths on one fleet of engines.
///
/// The expected workload is many short prompts and a few that are 10 to 100
/// times as long. All streams on an engine pause during prefill, and the pause
/// for a long prompt makes every short answer there late. The cost of placing a
/// prompt on an engine is therefore its own lateness plus that of the streams
/// it would delay. Short and long prompts fill the shared order of engines from
/// opposite ends; the boundary isn't configured but follows from the load.
/// A prompt that would be late on one engine is split between several. Engines
/// prefill the newest part of a split prompt first, so its cost also includes
/// the waiting prompts that it would make late. When a prompt costs more than
/// its answer is worth, it is refused: long prompts of which several would
/// delay each other are then served one after the other.
PlacementResult placePrompt(const PromptDemand &demand,
                            absl::Span<const EngineCandidate> engines,
                            const EngineSpeed &speed, absl::BitGenRef random);

} // namespace orioletally::core::engines

#endif

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

/// An engine that a prompt may be placed on, as one node sees it.
struct EngineCandidate {
  const EngineLoad *Load = nullptr;
  /// Position in an order of the service's engines that all nodes share, from
  /// 0 to 1. Short prompts gather at its beginning, long ones at its end.
  double OrderPosition = 0;
  /// Seen time over predicted time of late, 1 for an engine as declared.
  double SlowdownRatio = 1;
  /// Added to the cost for failures seen of late and for a longer way.
  absl::Duration Penalty = absl::ZeroDuration();
};

/// The prompt that is to be placed.
struct PromptDemand {
  int64_t PromptTokens = 0;
  int64_t AnswerTokens = 0;
  /// Time that is left until the first token is late.
  absl::Duration Objective;
  /// Time after which the caller has left.
  absl::Duration MaxPredictedFirstToken;
  /// The longest pause between two events that is in time.
  absl::Duration GapObjective = absl::InfiniteDuration();
};

/// Where a prompt goes.
struct EngineChoice {
  size_t Engine = 0;
  /// Engines that read parts of the prompt, in addition to `Engine`.
  std::vector<size_t> Helpers;
  /// Tokens of memory to be reserved at each helper; 0 for none. What isn't
  /// reserved is taken at `Engine`.
  std::vector<int64_t> Reserved;
  absl::Duration PredictedFirstToken;
};

/// Why a prompt isn't placed, and when the engines will have caught up.
struct PlacementRefusal {
  /// True when the engines' memory can never hold the prompt.
  bool TooLarge = false;
  absl::Duration RetryAfter;
};

struct PlacementResult {
  std::optional<EngineChoice> Choice;
  PlacementRefusal Refusal;
};

/// Places prompts of very unlike lengths on one fleet of engines.
///
/// Load answered: many short prompts beside few that are 10 to 100 times as
/// long. Every stream on an engine pauses while it reads, and the pause for a
/// long prompt makes all short answers there late. So a prompt's cost at an
/// engine is its own lateness and that of the streams that it would hold up,
/// and the two kinds fill the shared order from its two ends. The border
/// between them moves with the load because nothing but the load makes it.
/// Prompts that would be late on one engine are read by several idle ones.
PlacementResult placePrompt(const PromptDemand &demand,
                            absl::Span<const EngineCandidate> engines,
                            const EngineSpeed &speed, absl::BitGenRef random);

} // namespace orioletally::core::engines

#endif

#ifndef ORIOLETALLY_CORE_ENGINES_ENGINE_LOAD_H
#define ORIOLETALLY_CORE_ENGINES_ENGINE_LOAD_H

#include "core/engines/engine_speed.h"

#include <absl/time/time.h>
#include <cstdint>
#include <vector>

namespace orioletally::core::engines {

/// Prompts up to this length take precedence over longer ones at a full engine:
/// there are many of them, and one long prompt delays a hundred.
constexpr int64_t UrgentPromptTokens = 16384;

/// Whether a prompt of \p promptTokens takes precedence over longer ones.
constexpr bool isUrgent(int64_t promptTokens) {
  return promptTokens <= UrgentPromptTokens;
}

/// A prompt that was sent to an engine, or the part of one sent to a helper.
struct RunningPrompt {
  /// Unique across all nodes.
  uint64_t Id = 0;
  /// Tokens that this engine prefills: the whole prompt or its part.
  int64_t PrefillTokens = 0;
  /// Tokens of the whole prompt.
  int64_t PromptTokens = 0;
  /// Expected tokens that this engine decodes; 0 for a helper.
  int64_t AnswerTokens = 0;
  /// Tokens of this engine's memory that are held until the prompt ends.
  int64_t HeldTokens = 0;
  /// Set by EngineLoad::add.
  absl::Time StartedAt;
  /// Tokens still to be prefilled, as estimated by the last advance().
  double PendingPrefillTokens = 0;
  /// The longest pause between two events that meets the caller's objective.
  absl::Duration GapObjective = absl::InfiniteDuration();
  /// Time from StartedAt until the first token is late; infinite if unknown.
  absl::Duration Objective = absl::InfiniteDuration();
  /// When the first token arrived; infinite future before that.
  absl::Time DecodingSince = absl::InfiniteFuture();

  bool isDecoding() const { return DecodingSince != absl::InfiniteFuture(); }
  /// Whether other engines prefill the rest of the prompt.
  bool isSplit() const { return PrefillTokens < PromptTokens; }
};

/// A prompt that waits for its prefill at an engine.
struct PendingPrompt {
  const RunningPrompt *Prompt = nullptr;
  /// Time since the prompt was sent.
  absl::Duration Elapsed;
  /// Time until this engine has prefilled its tokens, if nothing is put ahead
  /// of them.
  absl::Duration TimeLeft;
};

/// Tracks the prompts that all nodes have sent to one engine and estimates the
/// engine's progress. Prompts are prefilled one after the other, in order of
/// arrival; the parts of split prompts go ahead of all others, the newest part
/// first. First-token and end events correct the estimate.
class EngineLoad {
public:
  /// Adds a prompt that this node or another one has just sent.
  void add(const RunningPrompt &prompt, absl::Time now,
           const EngineSpeed &speed);

  /// Records that the first token of prompt \p id has arrived.
  void firstToken(uint64_t id, absl::Time now, const EngineSpeed &speed);

  /// Removes prompt \p id, which has ended.
  void remove(uint64_t id, absl::Time now, const EngineSpeed &speed);

  /// Advances the estimate to \p now and removes prompts whose end event was
  /// probably lost.
  void advance(absl::Time now, const EngineSpeed &speed);

  /// Returns the time from now until the first token of a new prompt of
  /// \p prompt tokens, of which this engine prefills \p tokens: less than all
  /// of them if the prompt is split. \p slowdown is the engine's slowdown
  /// ratio; it is above 1 for a slow engine.
  absl::Duration predictFirstToken(int64_t tokens, int64_t prompt,
                                   const EngineSpeed &speed,
                                   double slowdown) const;

  /// The same for a part that the engine prefills for another one.
  absl::Duration predictHelperPart(int64_t tokens, int64_t prompt,
                                   const EngineSpeed &speed,
                                   double slowdown) const;

  /// Returns the expected wait until the engine has memory for a prompt that
  /// holds \p tokens there. The engine admits it only then.
  absl::Duration predictMemoryWait(int64_t tokens,
                                   const EngineSpeed &speed) const;

  /// Returns the prompts with pending prefill tokens, as of the last advance().
  std::vector<PendingPrompt> pendingPrompts(const EngineSpeed &speed) const;

  /// Returns how long the streams on this engine pause during the next pass,
  /// which prefills the pending prompts and, if there is room, \p tokens of a
  /// new prompt of \p prompt tokens.
  absl::Duration predictPause(int64_t tokens, int64_t prompt,
                              const EngineSpeed &speed) const;

  /// Returns the time that the engine needs to prefill all pending tokens.
  absl::Duration pendingPrefillTime(const EngineSpeed &speed) const;

  /// Prompts whose first token has arrived.
  int64_t decodingCount() const;
  /// Prompts with pending prefill tokens.
  int64_t prefillingCount() const;
  /// Tokens of memory in use once all prompts have been prefilled.
  int64_t memoryTokens() const;
  bool isIdle() const { return Prompts.empty(); }
  const std::vector<RunningPrompt> &prompts() const { return Prompts; }

private:
  /// Prompt tokens of the requests that are decoding.
  int64_t decodingContextTokens() const;
  /// Time that the passes which prefill \p tokens spend on decoding, including
  /// the wait for the first of them; zero when no other prompt is on the
  /// engine.
  absl::Duration passWait(int64_t tokens, const EngineSpeed &speed) const;
  /// Expected wait for a free slot; zero when one is free.
  absl::Duration slotWait(const EngineSpeed &speed) const;
  static bool isHelperPart(const RunningPrompt &prompt);

  /// In prefill order.
  std::vector<RunningPrompt> Prompts;
  absl::Time AdvancedTo = absl::InfinitePast();
};

} // namespace orioletally::core::engines

#endif

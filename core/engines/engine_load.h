#ifndef ORIOLETALLY_CORE_ENGINES_ENGINE_LOAD_H
#define ORIOLETALLY_CORE_ENGINES_ENGINE_LOAD_H

#include "core/engines/engine_speed.h"

#include <absl/time/time.h>
#include <cstdint>
#include <vector>

namespace orioletally::core::engines {

/// Prompts up to this length go before longer ones at an engine that is full:
/// they are many, and one of the others holds up a hundred of them.
constexpr int64_t UrgentPromptTokens = 16384;

/// Whether a prompt of \p promptTokens goes before longer ones.
constexpr bool isUrgent(int64_t promptTokens) {
  return promptTokens <= UrgentPromptTokens;
}

/// One prompt, or a helper's part of one, that an engine was given.
struct RunningPrompt {
  /// Unique among all nodes.
  uint64_t Id = 0;
  /// Tokens that this engine reads: the prompt, or its part of it.
  int64_t PrefillTokens = 0;
  /// Tokens of the whole prompt.
  int64_t PromptTokens = 0;
  /// Tokens that this engine writes; 0 for a helper.
  int64_t AnswerTokens = 0;
  /// Tokens of this engine's memory that it takes until it ends.
  int64_t HeldTokens = 0;
  /// Set when it is added.
  absl::Time StartedAt;
  /// Tokens still to be read, as estimated at the last advance.
  double PendingPrefillTokens = 0;
  /// The longest pause between two events that the caller finds in time.
  absl::Duration GapObjective = absl::InfiniteDuration();
  /// When the first token was seen or, by estimate, produced.
  absl::Time DecodingSince = absl::InfiniteFuture();

  bool isDecoding() const { return DecodingSince != absl::InfiniteFuture(); }
};

/// What all nodes together have sent to one engine, and how far the engine
/// has got with it. Prompts are read one after the other; known events (first
/// token, end) correct the estimate.
class EngineLoad {
public:
  /// Takes in a prompt that this or another node has just sent.
  void add(const RunningPrompt &prompt, absl::Time now,
           const EngineSpeed &speed);

  /// The first token of \p id has come.
  void firstToken(uint64_t id, absl::Time now, const EngineSpeed &speed);

  /// \p id is over.
  void remove(uint64_t id, absl::Time now, const EngineSpeed &speed);

  /// Brings the estimate up to \p now and forgets prompts whose end must have
  /// been missed.
  void advance(absl::Time now, const EngineSpeed &speed);

  /// Returns the time from now until the first token of a new prompt of which
  /// this engine reads \p tokens. \p slowdown is above 1 for a slow engine.
  absl::Duration predictFirstToken(int64_t tokens, int64_t prompt,
                                   const EngineSpeed &speed,
                                   double slowdown) const;

  /// The same for a helper's part, which is read ahead of other prompts.
  absl::Duration predictHelperPart(int64_t tokens, int64_t prompt,
                                   const EngineSpeed &speed,
                                   double slowdown) const;

  /// Returns how long the streams on this engine will pause for what it has to
  /// read and for \p tokens more of a prompt of \p prompt tokens.
  absl::Duration predictPause(int64_t tokens, int64_t prompt,
                              const EngineSpeed &speed) const;

  /// Time that the engine will take to read what it has been given.
  absl::Duration pendingPrefillTime(const EngineSpeed &speed) const;

  /// Requests that write or are expected to.
  int64_t decodingCount() const;
  /// Prompts that still have tokens to read.
  int64_t prefillingCount() const;
  /// Tokens of memory in use once all that was sent has been read.
  int64_t memoryTokens() const;
  bool isIdle() const { return Prompts.empty(); }
  const std::vector<RunningPrompt> &prompts() const { return Prompts; }

private:
  int64_t decodingContextTokens() const;
  absl::Duration passWait(int64_t tokens, const EngineSpeed &speed) const;
  absl::Duration slotWait(const EngineSpeed &speed) const;
  static bool isHelperPart(const RunningPrompt &prompt);

  /// In the order in which they are read.
  std::vector<RunningPrompt> Prompts;
  absl::Time AdvancedTo = absl::InfinitePast();
};

} // namespace orioletally::core::engines

#endif

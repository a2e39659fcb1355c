#ifndef ORIOLETALLY_CORE_ENGINES_ENGINE_SPEED_H
#define ORIOLETALLY_CORE_ENGINES_ENGINE_SPEED_H

#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>

namespace orioletally::core::engines {

/// Speed of the engines of one service, as declared by its operator.
///
/// An engine works in passes. While any request is decoding, a pass has
/// StepsPerPass token steps, and streams emit their events at the end of a
/// pass; otherwise a pass has one step. Each step may also prefill a chunk of
/// the waiting prompts, one prompt after the other, and takes that much longer.
struct EngineSpeed {
  /// Requests that an engine runs concurrently.
  int64_t Slots = 16;
  /// Capacity of an engine's memory in tokens, for prompts and answers.
  int64_t MemoryTokens = 450000;
  /// Token steps in a pass while any request is decoding.
  int64_t StepsPerPass = 1;
  /// Base time of one step.
  absl::Duration Step = absl::Milliseconds(1);
  /// Time that each decoding request adds to a step.
  absl::Duration StepPerDecodingRequest = absl::ZeroDuration();
  /// Time that each 1,000 context tokens of decoding requests add to a step.
  absl::Duration StepPerThousandContext = absl::ZeroDuration();
  /// Prefill rate of an otherwise idle engine, without the attention time.
  double PrefillTokensPerSecond = 100000;
  /// Attention time for a million pairs of a prompt token and an earlier one.
  absl::Duration TimePerMillionPairs = absl::ZeroDuration();
  /// Maximum prompt tokens prefilled in one step.
  int64_t ChunkTokens = 2048;
  /// Mean answer length, for calls that don't state one.
  int64_t MeanAnswerTokens = 256;
};

/// Returns the time that prefilling \p tokens of a prompt of \p prompt tokens
/// adds to its steps. The prompt's token pairs are spread evenly over its
/// tokens.
absl::Duration prefillTime(const EngineSpeed &speed, int64_t tokens,
                           int64_t prompt);

/// Returns the time of a pass without prefill while \p decoding requests with a
/// total of \p contextTokens are decoding.
absl::Duration passTime(const EngineSpeed &speed, int64_t decoding,
                        int64_t contextTokens);

/// Returns the tokens that each engine prefills of a prompt that is split
/// between an engine and \p helpers helpers.
int64_t partTokens(int64_t promptTokens, size_t helpers);

/// Returns the maximum prompt tokens that a pass prefills while any request is
/// decoding.
int64_t passTokens(const EngineSpeed &speed);

/// Returns how long the streams on an engine pause during the first pass that
/// prefills \p tokens of a prompt of \p prompt tokens.
absl::Duration prefillPause(const EngineSpeed &speed, int64_t tokens,
                            int64_t prompt);

} // namespace orioletally::core::engines

#endif

#ifndef ORIOLETALLY_CORE_ENGINES_ENGINE_SPEED_H
#define ORIOLETALLY_CORE_ENGINES_ENGINE_SPEED_H

#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>

namespace orioletally::core::engines {

/// How fast the engines of one service work, as its operator declares it. An
/// engine works in passes. While any request writes, a pass has StepsPerPass
/// token steps, and every event of a stream waits for the end of one; otherwise
/// it has one step. Each step may read a chunk of the prompts that wait, one
/// prompt after the other, and takes that much longer.
struct EngineSpeed {
  /// Requests that an engine runs at once.
  int64_t Slots = 16;
  /// Tokens that an engine's memory holds, prompts and answers together.
  int64_t MemoryTokens = 450000;
  /// Token steps in a pass while any request writes.
  int64_t StepsPerPass = 1;
  /// Time of one step by itself.
  absl::Duration Step = absl::Milliseconds(1);
  /// Added to a step by each request that writes.
  absl::Duration StepPerDecodingRequest = absl::ZeroDuration();
  /// Added to a step by each 1,000 tokens of context of a writing request.
  absl::Duration StepPerThousandContext = absl::ZeroDuration();
  /// Prompt tokens read in a second when nothing else runs.
  double PrefillTokensPerSecond = 100000;
  /// Time for a million pairs of a prompt token and an earlier one.
  absl::Duration TimePerMillionPairs = absl::ZeroDuration();
  /// The most prompt tokens that are read in one step or pass.
  int64_t ChunkTokens = 2048;
  /// Mean length of answers, for calls that don't say theirs.
  int64_t MeanAnswerTokens = 256;
};

/// Time that reading \p tokens of a prompt of \p prompt tokens adds to the
/// steps in which it is done. Pairs are spread evenly.
absl::Duration prefillTime(const EngineSpeed &speed, int64_t tokens,
                           int64_t prompt);

/// Time of a pass by itself, without what is read in it, while \p decoding
/// requests with \p contextTokens tokens in all are writing.
absl::Duration passTime(const EngineSpeed &speed, int64_t decoding,
                        int64_t contextTokens);

/// Tokens of a prompt that each of its readers has when \p helpers engines help
/// to read it.
int64_t partTokens(int64_t promptTokens, size_t helpers);

/// Tokens of prompts that a pass reads at most while any request writes.
int64_t passTokens(const EngineSpeed &speed);

/// How long streams that write on an engine pause while it reads a prompt of
/// \p prompt tokens, \p tokens of it itself.
absl::Duration prefillPause(const EngineSpeed &speed, int64_t tokens,
                            int64_t prompt);

} // namespace orioletally::core::engines

#endif

#ifndef ORIOLETALLY_TESTS_LAB_ENGINE_MODEL_H
#define ORIOLETALLY_TESTS_LAB_ENGINE_MODEL_H

#include "core/backends/engine_client.h"

#include <absl/time/time.h>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace orioletally::lab {

/// Speeds and capacities of an EngineModel.
struct EngineModelSettings {
  int64_t MemoryTokens = 1'200'000;
  int64_t PrefillTokensPerSecond = 50'000;
  /// Length of a decode step, in which each stream produces one token.
  absl::Duration TokenTime = absl::Milliseconds(20);
  /// Maximum number of streams that wait for memory.
  size_t MaxQueued = 64;
  /// Capacity of the prefix cache.
  int64_t CacheTokens = 400'000;
};

/// Prompt bytes that the stand-ins count as one token.
constexpr int64_t BytesPerToken = 4;

/// Returns token \p n of the answer to the prompt with this hash. An answer
/// depends on its prompt alone, so that a checker can verify each byte.
std::string answerToken(uint64_t promptHash, uint64_t n);

/// Returns the hash that answerToken() takes.
uint64_t hashPrompt(std::string_view prompt);

/// One stream on a stand-in engine.
struct ModelStream {
  core::backends::EngineSubmit Submit;
  uint64_t PromptHash = 0;
  int64_t PromptTokens = 0;
  /// KV memory reserved for the prompt and the longest answer.
  int64_t HeldTokens = 0;
  /// Chained hashes of the prompt's blocks, for the prefix cache.
  std::vector<uint64_t> Blocks;
  double PendingPrefillTokens = 0;
  bool Started = false;
  /// Connections that read the stream.
  int Readers = 0;
  /// When a connection last stopped reading it; the arrival time before that.
  absl::Time DetachedSince;
  /// Number of answer tokens produced so far.
  uint64_t Produced = 0;
  absl::Time ArrivedAt;
  absl::Time Deadline;
  absl::Time NextTokenAt;

  bool isFinished() const {
    return Produced >= static_cast<uint64_t>(Submit.MaxTokens);
  }
};

/// A prompt represented by its size, for simulations whose prompt texts would
/// not fit in memory.
struct SizedPrompt {
  int64_t Tokens = 0;
  /// Prompts about one document share their first `SharedTokens` tokens.
  uint64_t Document = 0;
  int64_t SharedTokens = 0;
  /// Identifies the tokens that aren't shared.
  uint64_t Unique = 0;
};

/// A stream that began to run, for checkers.
struct Execution {
  core::backends::StreamId Stream;
  uint64_t Tokens = 0;
};

/// Simulates an engine without threads, sockets or a clock: continuous batching
/// with prefill in order of priority and arrival, limited KV memory, a prefix
/// cache, and tombstones of cancelled streams, which refuse a submit that
/// arrives after its cancel. A finished stream holds its memory until its last
/// frame is delivered or it is cancelled, as on an engine whose client has
/// disconnected.
class EngineModel {
public:
  explicit EngineModel(const EngineModelSettings &settings);

  /// Accepts a submit, or returns why it is refused before it starts.
  std::optional<core::backends::EngineRefusal>
  submit(core::backends::EngineSubmit submit, absl::Time now);

  /// As submit(), for a prompt represented by its size.
  std::optional<core::backends::EngineRefusal>
  submitSized(core::backends::EngineSubmit submit, const SizedPrompt &prompt,
              absl::Time now);

  /// Returns the total of prompt tokens found in the prefix cache.
  int64_t cacheHits() const { return CacheHits; }

  core::backends::CancelState cancel(const core::backends::StreamId &stream,
                                     absl::Time now);

  /// Simulates the engine until \p now.
  void advance(absl::Time now);

  const ModelStream *find(const core::backends::StreamId &stream) const;

  /// Record that a connection began or stopped reading the stream.
  void attach(const core::backends::StreamId &stream);
  void detach(const core::backends::StreamId &stream, absl::Time now);

  /// Frees the stream's memory after its client received the last frame.
  void delivered(const core::backends::StreamId &stream);

  core::backends::LoadReport load() const;
  std::vector<core::backends::StreamHolding> holdings(absl::Time now) const;
  int64_t heldTokens() const;

  /// Returns when advance() next changes the state.
  absl::Time nextChange() const;

  /// Returns all streams that began to run, in order.
  const std::vector<Execution> &executions() const { return Executions; }

private:
  using Key = std::string;
  static Key keyOf(const core::backends::StreamId &stream);
  void startWaiting(absl::Time now);
  void prefill(double tokens, absl::Time now);
  std::optional<core::backends::EngineRefusal> admit(ModelStream stream,
                                                     absl::Time now);
  /// Adds the blocks of the stream's prompt to the prefix cache. Returns how
  /// many of its tokens were cached already.
  int64_t cachePrompt(const ModelStream &stream);
  void moveToDelivered(const Key &key);

  EngineModelSettings Settings;
  std::map<Key, ModelStream> Streams;
  /// Streams whose last frame was delivered.
  std::map<Key, ModelStream> DeliveredStreams;
  std::set<Key> Tombstones;
  std::vector<Execution> Executions;
  /// Cached blocks, least recently used first.
  std::list<uint64_t> CacheOrder;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> Cache;
  int64_t CacheHits = 0;
  absl::Time LastAdvance = absl::InfinitePast();
};

} // namespace orioletally::lab

#endif

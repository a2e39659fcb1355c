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

/// Speeds and sizes of a stand-in engine.
struct EngineModelSettings {
  int64_t MemoryTokens = 1'200'000;
  int64_t PrefillTokensPerSecond = 50'000;
  absl::Duration TokenTime = absl::Milliseconds(20);
  /// Streams that may wait for memory.
  size_t MaxQueued = 64;
  int64_t CacheTokens = 400'000;
};

/// Bytes that the stand-ins count as one token.
constexpr int64_t BytesPerToken = 4;

/// Token \p n of the answer to the prompt that has this hash. An answer is a
/// function of its own prompt, so that a checker can verify each byte.
std::string answerToken(uint64_t promptHash, uint64_t n);

/// Hash that answerToken() takes.
uint64_t hashPrompt(std::string_view prompt);

/// One stream on a stand-in engine.
struct ModelStream {
  core::backends::EngineSubmit Submit;
  uint64_t PromptHash = 0;
  int64_t PromptTokens = 0;
  int64_t HeldTokens = 0;
  /// Chained hashes of the prompt's blocks, for the prefix cache.
  std::vector<uint64_t> Blocks;
  double PrefillLeft = 0;
  bool Started = false;
  /// Connections that read the stream, and since when there are none.
  int Readers = 0;
  absl::Time DetachedSince;
  uint64_t Produced = 0;
  absl::Time Arrived;
  absl::Time Deadline;
  absl::Time NextToken;

  bool isFinished() const {
    return Produced >= static_cast<uint64_t>(Submit.MaxTokens);
  }
};

/// A prompt by its size alone, for runs whose prompts would fill the memory.
struct SizedPrompt {
  int64_t Tokens = 0;
  /// Prompts of one document share their first `SharedTokens` tokens.
  uint64_t Document = 0;
  int64_t SharedTokens = 0;
  /// Tells apart what isn't shared.
  uint64_t Unique = 0;
};

/// What became of a submit, for checkers.
struct Execution {
  core::backends::StreamId Stream;
  uint64_t Tokens = 0;
};

/// A stand-in engine without threads, sockets or clock: continuous batching
/// with prefill by priority and arrival, limited KV memory, a prefix cache,
/// cancels with tombstones. A finished stream holds its memory until its last
/// frame was delivered or it is cancelled, as an engine would whose client has
/// gone.
class EngineModel {
public:
  explicit EngineModel(const EngineModelSettings &settings);

  /// Takes a submit, or refuses it before anything began.
  std::optional<core::backends::EngineRefusal>
  submit(core::backends::EngineSubmit submit, absl::Time now);

  /// The same for a prompt of which only the size is known.
  std::optional<core::backends::EngineRefusal>
  submitSized(core::backends::EngineSubmit submit, const SizedPrompt &prompt,
              absl::Time now);

  /// Prompt tokens that were found in the cache so far.
  int64_t cacheHits() const { return CacheHits; }

  core::backends::CancelState cancel(const core::backends::StreamId &stream,
                                     absl::Time now);

  /// Works until \p now.
  void advance(absl::Time now);

  const ModelStream *find(const core::backends::StreamId &stream) const;

  /// A connection began or ceased to read the stream.
  void attach(const core::backends::StreamId &stream);
  void detach(const core::backends::StreamId &stream, absl::Time now);

  /// The last frame of the stream reached its client.
  void delivered(const core::backends::StreamId &stream);

  core::backends::LoadReport load() const;
  std::vector<core::backends::StreamHolding> holdings(absl::Time now) const;
  int64_t heldTokens() const;

  /// When advance() would next change anything.
  absl::Time nextChange() const;

  /// Every stream that ever began to run.
  const std::vector<Execution> &executions() const { return Executions; }

private:
  using Key = std::string;
  static Key keyOf(const core::backends::StreamId &stream);
  void startWaiting(absl::Time now);
  void prefill(double tokens, absl::Time now);
  std::optional<core::backends::EngineRefusal> admit(ModelStream stream,
                                                     absl::Time now);
  int64_t cachePrompt(const ModelStream &stream);
  void moveToDelivered(const Key &key);

  EngineModelSettings Settings;
  std::map<Key, ModelStream> Streams;
  std::map<Key, ModelStream> DeliveredStreams;
  std::set<Key> Tombstones;
  std::vector<Execution> Executions;
  std::list<uint64_t> CacheOrder;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> Cache;
  int64_t CacheHits = 0;
  absl::Time LastAdvance = absl::InfinitePast();
};

} // namespace orioletally::lab

#endif

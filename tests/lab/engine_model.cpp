#include "tests/lab/engine_model.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace orioletally::lab {

namespace {

using core::backends::CancelState;
using core::backends::EngineRefusal;
using core::backends::EngineSubmit;
using core::backends::LoadReport;
using core::backends::StreamHolding;
using core::backends::StreamId;

constexpr int64_t CacheBlockTokens = 1024;
constexpr int64_t FullRetryAfterMs = 500;

EngineRefusal refusal(std::string code, std::string message,
                      int64_t retryAfterMs) {
  return {std::move(code), std::move(message), retryAfterMs, false};
}

} // namespace

std::string answerToken(uint64_t promptHash, uint64_t n) {
  const uint64_t value =
      XXH3_64bits_withSeed(&promptHash, sizeof(promptHash), n);
  return fmt::format("{:04x} ", value & 0xffff);
}

uint64_t hashPrompt(std::string_view prompt) {
  return XXH3_64bits(prompt.data(), prompt.size());
}

EngineModel::EngineModel(const EngineModelSettings &settings)
    : Settings(settings) {}

EngineModel::Key EngineModel::keyOf(const StreamId &stream) {
  return fmt::format("{}/{}", stream.RequestId, stream.Attempt);
}

std::optional<EngineRefusal> EngineModel::submit(EngineSubmit submit,
                                                 absl::Time now) {
  ModelStream stream;
  stream.PromptHash = hashPrompt(submit.Prompt);
  stream.PromptTokens =
      (static_cast<int64_t>(submit.Prompt.size()) + BytesPerToken - 1) /
      BytesPerToken;
  const std::string &salt = submit.CacheSalt;
  uint64_t chain = XXH3_64bits(salt.data(), salt.size());
  constexpr auto Block = static_cast<size_t>(CacheBlockTokens * BytesPerToken);
  for (size_t n = 0; n + Block <= submit.Prompt.size(); n += Block) {
    chain = XXH3_64bits_withSeed(submit.Prompt.data() + n, Block, chain);
    stream.Blocks.push_back(chain);
  }
  stream.Submit = std::move(submit);
  return admit(std::move(stream), now);
}

std::optional<EngineRefusal> EngineModel::submitSized(EngineSubmit submit,
                                                      const SizedPrompt &prompt,
                                                      absl::Time now) {
  ModelStream stream;
  stream.PromptTokens = prompt.Tokens;
  for (int64_t n = 0; n + CacheBlockTokens <= prompt.Tokens;
       n += CacheBlockTokens) {
    const bool isShared = n + CacheBlockTokens <= prompt.SharedTokens;
    const uint64_t source = isShared ? prompt.Document : prompt.Unique;
    stream.Blocks.push_back(XXH3_64bits_withSeed(&source, sizeof(source),
                                                 static_cast<uint64_t>(n)));
  }
  stream.Submit = std::move(submit);
  return admit(std::move(stream), now);
}

std::optional<EngineRefusal> EngineModel::admit(ModelStream stream,
                                                absl::Time now) {
  const Key key = keyOf(stream.Submit.Stream);
  if (Tombstones.contains(key))
    return refusal("cancelled", "cancelled before it arrived", 0);
  if (Streams.contains(key) || DeliveredStreams.contains(key))
    return refusal("duplicate", "the stream exists already", 0);
  stream.HeldTokens = stream.PromptTokens + stream.Submit.MaxTokens;
  if (stream.HeldTokens > Settings.MemoryTokens)
    return refusal("too_large", "larger than the memory", 0);
  const auto waiting =
      std::count_if(Streams.begin(), Streams.end(),
                    [](const auto &it) { return !it.second.Started; });
  if (static_cast<size_t>(waiting) >= Settings.MaxQueued)
    return refusal("full", "too many streams wait", FullRetryAfterMs);
  stream.ArrivedAt = now;
  stream.DetachedSince = now;
  stream.Deadline = now + stream.Submit.TimeLeft;
  Streams.emplace(key, std::move(stream));
  startWaiting(now);
  return std::nullopt;
}

int64_t EngineModel::heldTokens() const {
  int64_t held = 0;
  for (const auto &[key, it] : Streams)
    held += it.Started ? it.HeldTokens : 0;
  return held;
}

int64_t EngineModel::cachePrompt(const ModelStream &stream) {
  int64_t cached = 0;
  bool isHit = true;
  for (const uint64_t block : stream.Blocks) {
    const auto it = Cache.find(block);
    isHit = isHit && it != Cache.end();
    if (isHit)
      cached += CacheBlockTokens;
    if (it != Cache.end())
      CacheOrder.erase(it->second);
    CacheOrder.push_back(block);
    Cache[block] = std::prev(CacheOrder.end());
  }
  const auto capacity =
      static_cast<size_t>(Settings.CacheTokens / CacheBlockTokens);
  while (CacheOrder.size() > capacity) {
    Cache.erase(CacheOrder.front());
    CacheOrder.pop_front();
  }
  CacheHits += cached;
  return cached;
}

void EngineModel::startWaiting(absl::Time now) {
  int64_t freeTokens = Settings.MemoryTokens - heldTokens();
  std::vector<ModelStream *> waiting;
  for (auto &[key, it] : Streams)
    if (!it.Started)
      waiting.push_back(&it);
  std::sort(waiting.begin(), waiting.end(), [](const auto *a, const auto *b) {
    if (a->Submit.Priority != b->Submit.Priority)
      return a->Submit.Priority > b->Submit.Priority;
    return a->ArrivedAt < b->ArrivedAt;
  });
  for (ModelStream *it : waiting) {
    if (it->HeldTokens > freeTokens)
      break;
    freeTokens -= it->HeldTokens;
    it->Started = true;
    it->PendingPrefillTokens = static_cast<double>(
        std::max<int64_t>(1, it->PromptTokens - cachePrompt(*it)));
    it->NextTokenAt = now;
    Executions.push_back({it->Submit.Stream, 0});
  }
}

void EngineModel::prefill(double tokens, absl::Time now) {
  std::vector<ModelStream *> order;
  for (auto &[key, it] : Streams)
    if (it.Started && it.PendingPrefillTokens > 0)
      order.push_back(&it);
  std::sort(order.begin(), order.end(), [](const auto *a, const auto *b) {
    if (a->Submit.Priority != b->Submit.Priority)
      return a->Submit.Priority > b->Submit.Priority;
    return a->ArrivedAt < b->ArrivedAt;
  });
  for (ModelStream *it : order) {
    const double used = std::min(tokens, it->PendingPrefillTokens);
    it->PendingPrefillTokens -= used;
    tokens -= used;
    if (it->PendingPrefillTokens > 0)
      return;
    it->PendingPrefillTokens = 0;
    it->NextTokenAt = now;
  }
}

void EngineModel::advance(absl::Time now) {
  if (LastAdvance == absl::InfinitePast())
    LastAdvance = now;
  startWaiting(now);
  prefill(absl::ToDoubleSeconds(now - LastAdvance) *
              static_cast<double>(Settings.PrefillTokensPerSecond),
          now);
  LastAdvance = now;
  for (auto &[key, it] : Streams) {
    while (it.Started && it.PendingPrefillTokens <= 0 && !it.isFinished() &&
           it.NextTokenAt <= now) {
      ++it.Produced;
      // All streams of a batch decode in the same steps, so that tokens after
      // the first one fall on step boundaries.
      const absl::Duration sinceStepStart =
          (it.NextTokenAt - absl::UnixEpoch()) % Settings.TokenTime;
      it.NextTokenAt += Settings.TokenTime - sinceStepStart;
    }
  }
}

void EngineModel::moveToDelivered(const Key &key) {
  const auto it = Streams.find(key);
  if (it == Streams.end())
    return;
  it->second.Submit.Prompt.clear();
  it->second.Blocks.clear();
  DeliveredStreams.insert(Streams.extract(it));
}

const ModelStream *EngineModel::find(const StreamId &stream) const {
  const Key key = keyOf(stream);
  const auto it = Streams.find(key);
  if (it != Streams.end())
    return &it->second;
  const auto done = DeliveredStreams.find(key);
  return done == DeliveredStreams.end() ? nullptr : &done->second;
}

void EngineModel::attach(const StreamId &stream) {
  const auto it = Streams.find(keyOf(stream));
  if (it != Streams.end())
    ++it->second.Readers;
}

void EngineModel::detach(const StreamId &stream, absl::Time now) {
  const auto it = Streams.find(keyOf(stream));
  if (it == Streams.end())
    return;
  --it->second.Readers;
  it->second.DetachedSince = now;
}

void EngineModel::delivered(const StreamId &stream) {
  moveToDelivered(keyOf(stream));
}

CancelState EngineModel::cancel(const StreamId &stream, absl::Time now) {
  const Key key = keyOf(stream);
  if (DeliveredStreams.contains(key))
    return CancelState::Finished;
  const auto it = Streams.find(key);
  if (it == Streams.end()) {
    Tombstones.insert(key);
    return CancelState::NeverStarted;
  }
  const bool isStarted = it->second.Started;
  const bool isFinished = it->second.isFinished();
  Streams.erase(it);
  Tombstones.insert(key);
  startWaiting(now);
  if (isFinished)
    return CancelState::Finished;
  return isStarted ? CancelState::Stopped : CancelState::NeverStarted;
}

LoadReport EngineModel::load() const {
  LoadReport load;
  for (const auto &[key, it] : Streams)
    load.QueuedPrefill[static_cast<size_t>(it.Submit.Priority)] +=
        static_cast<int64_t>(it.Started ? it.PendingPrefillTokens
                                        : static_cast<double>(it.PromptTokens));
  load.Streams = static_cast<int64_t>(Streams.size());
  load.FreeTokens = Settings.MemoryTokens - heldTokens();
  return load;
}

std::vector<StreamHolding> EngineModel::holdings(absl::Time now) const {
  std::vector<StreamHolding> result;
  for (const auto &[key, it] : Streams)
    result.push_back(
        {it.Submit.Stream, it.Submit.Owner, it.HeldTokens, it.Deadline - now,
         it.isFinished(),
         it.Readers > 0 ? absl::ZeroDuration() : now - it.DetachedSince});
  return result;
}

absl::Time EngineModel::nextChange() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto &[key, it] : Streams) {
    if (!it.Started || it.isFinished())
      continue;
    const absl::Duration left =
        absl::Seconds(it.PendingPrefillTokens /
                      static_cast<double>(Settings.PrefillTokensPerSecond));
    next = std::min(next, it.PendingPrefillTokens > 0 ? LastAdvance + left
                                                      : it.NextTokenAt);
  }
  return next;
}

} // namespace orioletally::lab

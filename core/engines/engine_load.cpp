#include "core/engines/engine_load.h"

#include <algorithm>
#include <utility>

namespace orioletally::core::engines {

namespace {

/// A prompt without an end event is removed after this many times its predicted
/// decode time: the message that reported its end was lost.
constexpr double ExpiryFactor = 4;
/// On average, a prompt arrives in the middle of a pass.
constexpr double HalfPass = 0.5;
/// A prompt is kept at least as long as calls wait for a silent engine.
constexpr absl::Duration ExpirySlack = absl::Seconds(3);

/// A prompt without a first token is removed after this time. By then its
/// caller has disconnected, so a first token no longer arrives.
constexpr absl::Duration MaxPrefillTime = absl::Seconds(20);
/// Share of a prompt that counts as pending until its first token arrives.
constexpr double UnconfirmedShare = 0.1;

/// Returns the tokens of \p prompt that count as pending until its first token
/// arrives. Zero for a prompt with helpers: its own part may be prefilled while
/// the first token still waits for the helpers.
double unconfirmedTokens(const RunningPrompt &prompt) {
  const bool isAlone = prompt.PrefillTokens == prompt.PromptTokens;
  return prompt.AnswerTokens > 0 && isAlone
             ? UnconfirmedShare * static_cast<double>(prompt.PrefillTokens)
             : 0;
}

/// Returns the prefill time per token of a prompt of \p prompt tokens. Decoding
/// requests share the steps that prefill, so they don't slow prefill down.
absl::Duration timePerToken(const EngineSpeed &speed, int64_t prompt) {
  return (prefillTime(speed, speed.ChunkTokens, prompt) + speed.Step) /
         static_cast<double>(speed.ChunkTokens);
}

} // namespace

void EngineLoad::add(const RunningPrompt &prompt, absl::Time now,
                     const EngineSpeed &speed) {
  advance(now, speed);
  RunningPrompt added = prompt;
  added.StartedAt = now;
  added.PendingPrefillTokens = static_cast<double>(prompt.PrefillTokens);
  Prompts.insert(added.isSplit() ? Prompts.begin() : Prompts.end(), added);
}

void EngineLoad::firstToken(uint64_t id, absl::Time now,
                            const EngineSpeed &speed) {
  advance(now, speed);
  for (RunningPrompt &it : Prompts) {
    if (it.Id != id)
      continue;
    it.PendingPrefillTokens = 0;
    it.DecodingSince = std::min(it.DecodingSince, now);
  }
  std::erase_if(Prompts, [&](const RunningPrompt &it) {
    return it.Id == id && isHelperPart(it) && it.HeldTokens == 0;
  });
}

void EngineLoad::remove(uint64_t id, absl::Time now, const EngineSpeed &speed) {
  advance(now, speed);
  std::erase_if(Prompts, [&](const RunningPrompt &it) { return it.Id == id; });
}

void EngineLoad::advance(absl::Time now, const EngineSpeed &speed) {
  absl::Duration left = AdvancedTo == absl::InfinitePast()
                            ? absl::ZeroDuration()
                            : now - AdvancedTo;
  AdvancedTo = now;
  for (RunningPrompt &it : Prompts) {
    if (left <= absl::ZeroDuration())
      break;
    if (it.PendingPrefillTokens <= 0)
      continue;
    const absl::Duration perToken = timePerToken(speed, it.PromptTokens);
    const double maxPrefilled =
        std::max(0.0, it.PendingPrefillTokens - unconfirmedTokens(it));
    const double prefilled =
        std::min(maxPrefilled, absl::FDivDuration(left, perToken));
    it.PendingPrefillTokens -= prefilled;
    left -= prefilled * perToken;
    // The next prompt doesn't start before the first token of this one
    // confirms that its prefill is done.
    if (it.PendingPrefillTokens > 0)
      break;
  }
  std::erase_if(Prompts, [&](const RunningPrompt &it) {
    if (isHelperPart(it) && it.PendingPrefillTokens <= 0 && it.HeldTokens == 0)
      return true;
    if (!it.isDecoding())
      return now - it.StartedAt > MaxPrefillTime;
    const absl::Duration decodeTime =
        static_cast<double>(it.AnswerTokens) /
        static_cast<double>(speed.StepsPerPass) *
        (passTime(speed, speed.Slots, 0) +
         prefillTime(speed, speed.ChunkTokens, speed.ChunkTokens));
    return now - it.DecodingSince > ExpiryFactor * decodeTime + ExpirySlack;
  });
}

absl::Duration EngineLoad::predictFirstToken(int64_t tokens, int64_t prompt,
                                             const EngineSpeed &speed,
                                             double slowdown) const {
  if (tokens < prompt)
    return predictHelperPart(tokens, prompt, speed, slowdown);
  absl::Duration total = pendingPrefillTime(speed);
  total += static_cast<double>(tokens) * timePerToken(speed, prompt);
  return slowdown * (total + passWait(tokens, speed) + slotWait(speed));
}

absl::Duration EngineLoad::predictHelperPart(int64_t tokens, int64_t prompt,
                                             const EngineSpeed &speed,
                                             double slowdown) const {
  absl::Duration total =
      static_cast<double>(tokens) * timePerToken(speed, prompt);
  // It goes ahead of all others, but a running pass isn't interrupted.
  auto inPass = static_cast<double>(decodingCount() > 0 ? passTokens(speed)
                                                        : speed.ChunkTokens);
  for (const RunningPrompt &it : Prompts) {
    const double prefilled = std::min(inPass, it.PendingPrefillTokens);
    inPass -= prefilled;
    total += HalfPass * prefilled * timePerToken(speed, it.PromptTokens);
  }
  return slowdown * (total + passWait(tokens, speed));
}

absl::Duration EngineLoad::predictMemoryWait(int64_t tokens,
                                             const EngineSpeed &speed) const {
  int64_t missing = memoryTokens() + tokens - speed.MemoryTokens;
  if (missing <= 0)
    return absl::ZeroDuration();
  const absl::Duration pass =
      passTime(speed, decodingCount() + 1, decodingContextTokens());
  std::vector<std::pair<absl::Duration, int64_t>> ends;
  absl::Duration prefilled = absl::ZeroDuration();
  for (const RunningPrompt &it : Prompts) {
    prefilled += it.PendingPrefillTokens * timePerToken(speed, it.PromptTokens);
    if (it.HeldTokens == 0)
      continue;
    const int64_t answer =
        it.AnswerTokens > 0 ? it.AnswerTokens : speed.MeanAnswerTokens;
    const absl::Duration decode = static_cast<double>(answer) /
                                  static_cast<double>(speed.StepsPerPass) *
                                  pass;
    const absl::Duration end = it.isDecoding()
                                   ? decode - (AdvancedTo - it.DecodingSince)
                                   : prefilled + decode;
    ends.emplace_back(std::max(absl::ZeroDuration(), end), it.HeldTokens);
  }
  std::sort(ends.begin(), ends.end());
  for (const auto &[end, held] : ends) {
    missing -= held;
    if (missing <= 0)
      return end;
  }
  // An idle engine admits any prompt.
  return ends.empty() ? absl::ZeroDuration() : ends.back().first;
}

std::vector<PendingPrompt>
EngineLoad::pendingPrompts(const EngineSpeed &speed) const {
  std::vector<PendingPrompt> result;
  absl::Duration total = absl::ZeroDuration();
  for (const RunningPrompt &it : Prompts) {
    if (it.PendingPrefillTokens <= 0)
      continue;
    total += it.PendingPrefillTokens * timePerToken(speed, it.PromptTokens);
    result.push_back({&it, AdvancedTo - it.StartedAt, total});
  }
  return result;
}

absl::Duration EngineLoad::predictPause(int64_t tokens, int64_t prompt,
                                        const EngineSpeed &speed) const {
  auto left = static_cast<double>(passTokens(speed));
  absl::Duration total =
      passTime(speed, decodingCount() + 1, decodingContextTokens());
  const auto prefill = [&](double pending, int64_t promptTokens) {
    const double prefilled = std::min(left, pending);
    left -= prefilled;
    total += prefillTime(speed, static_cast<int64_t>(prefilled), promptTokens);
  };
  const bool isSplit = tokens < prompt;
  if (isSplit)
    prefill(static_cast<double>(tokens), prompt);
  for (const RunningPrompt &it : Prompts)
    prefill(it.PendingPrefillTokens, it.PromptTokens);
  if (!isSplit)
    prefill(static_cast<double>(tokens), prompt);
  return total;
}

absl::Duration EngineLoad::passWait(int64_t tokens,
                                    const EngineSpeed &speed) const {
  // Prompts ahead are decoding by the time these tokens are prefilled.
  const int64_t others = decodingCount() + prefillingCount();
  if (others == 0)
    return absl::ZeroDuration();
  const int64_t passes = (tokens + passTokens(speed) - 1) / passTokens(speed);
  return (static_cast<double>(passes) + HalfPass) *
         passTime(speed, others, decodingContextTokens());
}

absl::Duration EngineLoad::slotWait(const EngineSpeed &speed) const {
  int64_t running = 0;
  int64_t answerTokens = 0;
  for (const RunningPrompt &it : Prompts) {
    running += it.AnswerTokens > 0 ? 1 : 0;
    answerTokens += it.AnswerTokens;
  }
  if (running < speed.Slots)
    return absl::ZeroDuration();
  const double passes = static_cast<double>(answerTokens) /
                        static_cast<double>(running * speed.StepsPerPass);
  const absl::Duration answer =
      passes * passTime(speed, speed.Slots, decodingContextTokens());
  // On average, a slot becomes free every 1/Slots of an answer's decode time.
  return static_cast<double>(running - speed.Slots + 1) /
         static_cast<double>(speed.Slots) * answer;
}

bool EngineLoad::isHelperPart(const RunningPrompt &prompt) {
  return prompt.AnswerTokens == 0;
}

absl::Duration EngineLoad::pendingPrefillTime(const EngineSpeed &speed) const {
  absl::Duration total = absl::ZeroDuration();
  for (const RunningPrompt &it : Prompts)
    if (it.PendingPrefillTokens > 0)
      total += it.PendingPrefillTokens * timePerToken(speed, it.PromptTokens);
  return total;
}

int64_t EngineLoad::decodingCount() const {
  return std::count_if(Prompts.begin(), Prompts.end(),
                       [](const RunningPrompt &it) { return it.isDecoding(); });
}

int64_t EngineLoad::prefillingCount() const {
  return std::count_if(
      Prompts.begin(), Prompts.end(),
      [](const RunningPrompt &it) { return it.PendingPrefillTokens > 0; });
}

int64_t EngineLoad::memoryTokens() const {
  int64_t total = 0;
  for (const RunningPrompt &it : Prompts)
    total += it.HeldTokens;
  return total;
}

int64_t EngineLoad::decodingContextTokens() const {
  int64_t total = 0;
  for (const RunningPrompt &it : Prompts)
    if (it.isDecoding())
      total += it.PromptTokens;
  return total;
}

} // namespace orioletally::core::engines

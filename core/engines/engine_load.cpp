#include "core/engines/engine_load.h"

#include <algorithm>

namespace orioletally::core::engines {

namespace {

/// A prompt whose end isn't heard of is forgotten after this many times its
/// predicted duration; the message that told of its end was lost.
constexpr double ForgetFactor = 4;
/// A prompt comes, on average, in the middle of a pass.
constexpr double HalfPass = 0.5;
/// Forgetting waits at least as long as a silent engine is waited for.
constexpr absl::Duration ForgetSlack = absl::Seconds(3);

/// A first token that hasn't come after this won't: callers are gone by then.
constexpr absl::Duration LongestRead = absl::Seconds(20);
/// Part of a prompt that counts as unread until its first token has come.
constexpr double UnconfirmedShare = 0.1;

/// Tokens of \p prompt that are taken as unread until its first token shows
/// otherwise. A prompt that others help to read may be read and still wait.
double unconfirmed(const RunningPrompt &prompt) {
  const bool isAlone = prompt.ReadTokens == prompt.PromptTokens;
  return prompt.AnswerTokens > 0 && isAlone
             ? UnconfirmedShare * static_cast<double>(prompt.ReadTokens)
             : 0;
}

/// Time per token while \p prompt is being read. The steps that read are the
/// same ones in which others write, so reading is as fast beside writers.
absl::Duration timePerToken(const EngineSpeed &speed, int64_t prompt) {
  return (readTime(speed, speed.ChunkTokens, prompt) + speed.Step) /
         static_cast<double>(speed.ChunkTokens);
}

} // namespace

void EngineLoad::add(const RunningPrompt &prompt, absl::Time now,
                     const EngineSpeed &speed) {
  advance(now, speed);
  RunningPrompt added = prompt;
  added.StartedAt = now;
  added.UnreadTokens = static_cast<double>(prompt.ReadTokens);
  // Parts are read before prompts that wait, in the order of their coming.
  auto place = Prompts.end();
  if (isPart(added))
    place = std::find_if(Prompts.begin(), Prompts.end(),
                         [](const RunningPrompt &it) {
                           return !isPart(it) && it.UnreadTokens > 0;
                         });
  Prompts.insert(place, added);
}

void EngineLoad::firstToken(uint64_t id, absl::Time now,
                            const EngineSpeed &speed) {
  advance(now, speed);
  for (RunningPrompt &it : Prompts) {
    if (it.Id != id)
      continue;
    it.UnreadTokens = 0;
    it.WritingSince = std::min(it.WritingSince, now);
  }
  std::erase_if(Prompts, [&](const RunningPrompt &it) {
    return it.Id == id && isPart(it) && it.HeldTokens == 0;
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
    if (it.UnreadTokens <= 0)
      continue;
    const absl::Duration each = timePerToken(speed, it.PromptTokens);
    const double readable = std::max(0.0, it.UnreadTokens - unconfirmed(it));
    const double read = std::min(readable, absl::FDivDuration(left, each));
    it.UnreadTokens -= read;
    left -= read * each;
    // What comes next isn't read before this one's first token shows that
    // the engine has got so far.
    if (it.UnreadTokens > 0)
      break;
  }
  std::erase_if(Prompts, [&](const RunningPrompt &it) {
    if (isPart(it) && it.UnreadTokens <= 0 && it.HeldTokens == 0)
      return true;
    if (!it.isWriting())
      return now - it.StartedAt > LongestRead;
    const absl::Duration writing =
        static_cast<double>(it.AnswerTokens) /
        static_cast<double>(speed.StepsPerPass) *
        (passTime(speed, speed.Slots, 0) +
         readTime(speed, speed.ChunkTokens, speed.ChunkTokens));
    return now - it.WritingSince > ForgetFactor * writing + ForgetSlack;
  });
}

absl::Duration EngineLoad::predictFirstToken(int64_t tokens, int64_t prompt,
                                             const EngineSpeed &speed,
                                             double pace) const {
  absl::Duration total = unreadTime(speed);
  total += static_cast<double>(tokens) * timePerToken(speed, prompt);
  return pace * (total + passWait(tokens, speed) + slotWait(speed));
}

absl::Duration EngineLoad::predictPart(int64_t tokens, int64_t prompt,
                                       const EngineSpeed &speed,
                                       double pace) const {
  absl::Duration total =
      static_cast<double>(tokens) * timePerToken(speed, prompt);
  auto inPass = static_cast<double>(passTokens(speed));
  for (const RunningPrompt &it : Prompts) {
    if (it.UnreadTokens > 0 && isPart(it))
      total += it.UnreadTokens * timePerToken(speed, it.PromptTokens);
    if (isPart(it) || writers() == 0)
      continue;
    // A pass that has begun is not interrupted.
    const double read = std::min(inPass, it.UnreadTokens);
    inPass -= read;
    total += HalfPass * read * timePerToken(speed, it.PromptTokens);
  }
  return pace * (total + passWait(tokens, speed));
}

absl::Duration EngineLoad::predictPause(int64_t tokens, int64_t prompt,
                                        const EngineSpeed &speed) const {
  auto left = static_cast<double>(passTokens(speed));
  absl::Duration total = passTime(speed, writers() + 1, writingContext());
  for (const RunningPrompt &it : Prompts) {
    const double read = std::min(left, it.UnreadTokens);
    left -= read;
    total += readTime(speed, static_cast<int64_t>(read), it.PromptTokens);
  }
  return total +
         readTime(speed, std::min(tokens, static_cast<int64_t>(left)), prompt);
}

absl::Duration EngineLoad::passWait(int64_t tokens,
                                    const EngineSpeed &speed) const {
  // Those ahead write by the time that these tokens are read.
  const int64_t besides = writers() + readers();
  if (besides == 0)
    return absl::ZeroDuration();
  const int64_t passes = (tokens + passTokens(speed) - 1) / passTokens(speed);
  return (static_cast<double>(passes) + HalfPass) *
         passTime(speed, besides, writingContext());
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
      passes * passTime(speed, speed.Slots, writingContext());
  // On average one of the slots is freed after its share of an answer.
  return static_cast<double>(running - speed.Slots + 1) /
         static_cast<double>(speed.Slots) * answer;
}

bool EngineLoad::isPart(const RunningPrompt &prompt) {
  return prompt.AnswerTokens == 0;
}

absl::Duration EngineLoad::unreadTime(const EngineSpeed &speed) const {
  absl::Duration total = absl::ZeroDuration();
  for (const RunningPrompt &it : Prompts)
    if (it.UnreadTokens > 0)
      total += it.UnreadTokens * timePerToken(speed, it.PromptTokens);
  return total;
}

int64_t EngineLoad::writers() const {
  return std::count_if(Prompts.begin(), Prompts.end(),
                       [](const RunningPrompt &it) { return it.isWriting(); });
}

int64_t EngineLoad::readers() const {
  return std::count_if(
      Prompts.begin(), Prompts.end(),
      [](const RunningPrompt &it) { return it.UnreadTokens > 0; });
}

int64_t EngineLoad::memoryTokens() const {
  int64_t total = 0;
  for (const RunningPrompt &it : Prompts)
    total += it.HeldTokens;
  return total;
}

int64_t EngineLoad::writingContext() const {
  int64_t total = 0;
  for (const RunningPrompt &it : Prompts)
    if (it.isWriting())
      total += it.PromptTokens;
  return total;
}

} // namespace orioletally::core::engines

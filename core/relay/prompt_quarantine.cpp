#include "core/relay/prompt_quarantine.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace orioletally::core::relay {

namespace {

/// Bounds of the memory used; ids and lists beyond them are ignored.
constexpr size_t MaxIdBytes = 64;
constexpr size_t MaxPartsPerPrompt = 32;
constexpr size_t MaxSuspects = 1024;
constexpr size_t MaxCrashesPerSuspect = 64;
constexpr size_t MaxExplainedCrashes = 256;
constexpr size_t MaxSoundParts = 8192;
constexpr size_t MaxQuarantined = 256;

/// A part that occurs at this share of the crashes of another one, and in fewer
/// prompts, is the likelier cause of them.
constexpr double CauseShare = 0.75;

bool isTracked(const std::string &id) {
  return !id.empty() && id.size() <= MaxIdBytes;
}

/// Returns the parts that other prompts may share: all but the last.
std::vector<std::string> sharedParts(const std::vector<std::string> &parts) {
  if (parts.empty())
    return {};
  const size_t n = std::min(parts.size() - 1, MaxPartsPerPrompt);
  std::vector<std::string> shared(parts.begin(),
                                  parts.begin() + static_cast<ptrdiff_t>(n));
  std::erase_if(shared, [](const std::string &it) { return !isTracked(it); });
  return shared;
}

} // namespace

PromptQuarantine::EndFindings
PromptQuarantine::recordEnd(const PromptAttempt &attempt,
                            const std::vector<std::string> &parts,
                            absl::Time now) {
  EndFindings findings;
  std::vector<std::string> shared = sharedParts(parts);
  if (shared.empty() || !isTracked(parts.back()))
    return findings;
  const bool isBeginning = !attempt.FirstEventAt.has_value() ||
                           now - *attempt.FirstEventAt < Settings.BeginTime;
  // A crash can end an answer whose end isn't marked.
  const bool isWhole = attempt.End == AttemptEnd::Answered &&
                       attempt.FirstEventAt.has_value() &&
                       (attempt.IsEndMarked || !isBeginning);
  if (isWhole) {
    for (const std::string &it : shared)
      if (isCallKey(it) && Suspects.contains(it))
        findings.Sound.push_back(it);
    markSound(shared, now);
  }
  if (attempt.End != AttemptEnd::Broken || !isBeginning)
    return findings;
  std::erase_if(shared,
                [&](const std::string &it) { return isSound(it, now); });
  if (shared.empty())
    return findings;
  findings.Report = {attempt.Backend, parts.back(), std::move(shared)};
  addEvidence(*findings.Report, Settings.ObjectionTime, now);
  return findings;
}

std::vector<std::string>
PromptQuarantine::applyReport(const CrashReport &report, absl::Time now) {
  std::vector<std::string> sound;
  for (const std::string &it : report.Parts)
    if (isSound(it, now))
      sound.push_back(it);
  CrashReport rest = report;
  if (rest.Parts.size() > MaxPartsPerPrompt)
    rest.Parts.resize(MaxPartsPerPrompt);
  std::erase_if(rest.Parts, [&](const std::string &it) {
    return !isTracked(it) || isSound(it, now);
  });
  if (isTracked(rest.Prompt))
    addEvidence(rest, 2 * Settings.ObjectionTime, now);
  return sound;
}

bool PromptQuarantine::recordProgress(const std::vector<std::string> &parts,
                                      absl::Time firstEventAt, absl::Time now) {
  if (now - firstEventAt < Settings.BeginTime)
    return false;
  markSound(sharedParts(parts), now);
  return true;
}

void PromptQuarantine::addEvidence(const CrashReport &report,
                                   absl::Duration objectionTime,
                                   absl::Time now) {
  removeOld(now);
  const Crash crash{report.Backend, report.Prompt, now, false};
  const bool isUnderQuarantine =
      std::any_of(report.Parts.begin(), report.Parts.end(),
                  [&](const auto &it) { return isQuarantined(it, now); });
  if (isUnderQuarantine && ExplainedCrashes.size() < MaxExplainedCrashes)
    ExplainedCrashes.push_back(crash);
  if (isUnderQuarantine || isExplained(crash))
    return;
  for (const std::string &it : report.Parts) {
    if (!Suspects.contains(it))
      makeRoomForSuspect();
    Suspect &suspect = Suspects[it];
    suspect.IsCall = isCallKey(it);
    if (suspect.Crashes.size() < MaxCrashesPerSuspect)
      suspect.Crashes.push_back(crash);
    if (hasEnoughEvidence(suspect))
      suspect.DecideAt = std::min(suspect.DecideAt, now + objectionTime);
  }
}

void PromptQuarantine::makeRoomForSuspect() {
  if (Suspects.size() < MaxSuspects)
    return;
  // The one with the fewest crashes, and of those the oldest.
  const auto rank = [](const auto &it) {
    return std::pair(it.second.Crashes.size(), it.second.Crashes.back().At);
  };
  const auto least = std::min_element(Suspects.begin(), Suspects.end(),
                                      [&](const auto &left, const auto &right) {
                                        return rank(left) < rank(right);
                                      });
  Suspects.erase(least);
}

bool PromptQuarantine::isExplained(const Crash &crash) const {
  return std::any_of(
      ExplainedCrashes.begin(), ExplainedCrashes.end(), [&](const Crash &it) {
        return it.Backend == crash.Backend &&
               absl::AbsDuration(it.At - crash.At) < Settings.CrashJitter;
      });
}

bool PromptQuarantine::hasEnoughEvidence(const Suspect &suspect) const {
  return countCrashes(suspect) >= Settings.MinCrashes &&
         (suspect.IsCall || countPrompts(suspect) >= Settings.MinPrompts) &&
         countBackends(suspect) >= Settings.MinBackends;
}

size_t PromptQuarantine::countCrashes(const Suspect &suspect) const {
  size_t count = 0;
  const Crash *last = nullptr;
  for (const Crash &it : suspect.Crashes) {
    // A call is at one backend server after the other, so that crashes of
    // different ones don't have another cause in common.
    const bool isOther =
        suspect.IsCall && last != nullptr && it.Backend != last->Backend;
    if (last != nullptr && !isOther &&
        it.At - last->At <
            (suspect.IsCall ? Settings.CrashJitter : Settings.CrashSpacing))
      continue;
    last = &it;
    ++count;
  }
  return count;
}

size_t PromptQuarantine::countPrompts(const Suspect &suspect) {
  std::set<std::string_view> prompts;
  for (const Crash &it : suspect.Crashes)
    prompts.insert(it.Prompt);
  return prompts.size();
}

size_t PromptQuarantine::countBackends(const Suspect &suspect) {
  std::set<std::string_view> backends;
  for (const Crash &it : suspect.Crashes)
    backends.insert(it.Backend);
  return backends.size();
}

std::vector<std::string>
PromptQuarantine::applySound(const std::vector<std::string> &parts,
                             absl::Time now) {
  std::vector<std::string> sound = parts;
  std::erase_if(sound, [](const std::string &it) { return !isTracked(it); });
  std::vector<std::string> lifted;
  for (const std::string &it : sound)
    if (isQuarantined(it, now))
      lifted.push_back(it);
  markSound(sound, now);
  return lifted;
}

PromptQuarantine::QuarantineChanges
PromptQuarantine::applyQuarantine(const std::vector<QuarantinedPart> &parts,
                                  absl::Time now) {
  QuarantineChanges changes;
  for (const QuarantinedPart &it : parts) {
    if (!isTracked(it.Part) || it.TimeLeft <= absl::ZeroDuration())
      continue;
    if (isSound(it.Part, now)) {
      changes.Sound.push_back(it.Part);
      continue;
    }
    if (isQuarantined(it.Part, now) ||
        QuarantinedUntil.size() >= MaxQuarantined)
      continue;
    const absl::Duration time = std::min(it.TimeLeft, Settings.QuarantineTime);
    quarantine(it.Part, time, now);
    changes.Added.push_back({it.Part, time});
  }
  return changes;
}

std::vector<QuarantinedPart> PromptQuarantine::decide(absl::Time now) {
  removeOld(now);
  std::vector<QuarantinedPart> decided;
  while (QuarantinedUntil.size() < MaxQuarantined) {
    const std::string cause = chooseCause(now);
    if (cause.empty())
      break;
    quarantine(cause, Settings.QuarantineTime, now);
    decided.push_back({cause, Settings.QuarantineTime});
  }
  return decided;
}

std::string PromptQuarantine::chooseCause(absl::Time now) const {
  size_t mostCrashes = 0;
  for (const auto &[part, suspect] : Suspects)
    if (now >= suspect.DecideAt)
      mostCrashes = std::max(mostCrashes, countCrashes(suspect));
  std::string cause;
  size_t fewestPrompts = 0;
  for (const auto &[part, suspect] : Suspects) {
    // Parts whose objection time still runs are considered as well: the cause
    // may have enough evidence a little later than a part beside it.
    const bool isCandidate = hasEnoughEvidence(suspect) &&
                             static_cast<double>(countCrashes(suspect)) >=
                                 CauseShare * static_cast<double>(mostCrashes);
    const size_t prompts = countPrompts(suspect);
    if (mostCrashes == 0 || !isCandidate ||
        (!cause.empty() && prompts >= fewestPrompts))
      continue;
    cause = part;
    fewestPrompts = prompts;
  }
  return cause;
}

void PromptQuarantine::quarantine(const std::string &part, absl::Duration time,
                                  absl::Time now) {
  QuarantinedUntil[part] = now + time;
  const auto found = Suspects.find(part);
  if (found == Suspects.end())
    return;
  const std::vector<Crash> crashes = std::move(found->second.Crashes);
  const std::string callPrompt =
      found->second.IsCall ? crashes.back().Prompt : std::string();
  Suspects.erase(found);
  ExplainedCrashes.insert(ExplainedCrashes.end(), crashes.begin(),
                          crashes.end());
  absl::erase_if(Suspects, [&](auto &it) {
    Suspect &suspect = it.second;
    removeExplained(suspect, callPrompt);
    if (!hasEnoughEvidence(suspect))
      suspect.DecideAt = absl::InfiniteFuture();
    return suspect.Crashes.empty();
  });
}

void PromptQuarantine::removeExplained(Suspect &suspect,
                                       const std::string &prompt) const {
  if (!suspect.IsCall && !prompt.empty()) {
    const auto first =
        std::find_if(suspect.Crashes.begin(), suspect.Crashes.end(),
                     [&](const Crash &it) { return it.Prompt == prompt; });
    if (first != suspect.Crashes.end())
      first->IsKept = true;
  }
  std::erase_if(suspect.Crashes,
                [&](const Crash &it) { return !it.IsKept && isExplained(it); });
}

absl::Time PromptQuarantine::nextDecisionAt() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto &[part, suspect] : Suspects)
    next = std::min(next, suspect.DecideAt);
  return next;
}

std::optional<QuarantinedPart>
PromptQuarantine::findQuarantined(const std::vector<std::string> &parts,
                                  absl::Time now) const {
  if (QuarantinedUntil.empty() || parts.empty())
    return std::nullopt;
  for (size_t n = 0; n + 1 < parts.size(); ++n) {
    const auto found = QuarantinedUntil.find(parts[n]);
    if (found != QuarantinedUntil.end() && now < found->second)
      return QuarantinedPart{parts[n], found->second - now};
  }
  return std::nullopt;
}

std::vector<QuarantinedPart>
PromptQuarantine::quarantined(absl::Time now) const {
  std::vector<QuarantinedPart> result;
  for (const auto &[part, until] : QuarantinedUntil)
    if (now < until)
      result.push_back({part, until - now});
  return result;
}

bool PromptQuarantine::isQuarantined(const std::string &part,
                                     absl::Time now) const {
  const auto found = QuarantinedUntil.find(part);
  return found != QuarantinedUntil.end() && now < found->second;
}

bool PromptQuarantine::isSound(const std::string &part, absl::Time now) const {
  for (const auto *parts : {&SoundParts, &OlderSoundParts}) {
    const auto found = parts->find(part);
    if (found != parts->end())
      return now - found->second < Settings.SoundMemory;
  }
  return false;
}

void PromptQuarantine::markSound(const std::vector<std::string> &parts,
                                 absl::Time now) {
  for (const std::string &it : parts) {
    Suspects.erase(it);
    QuarantinedUntil.erase(it);
    if (isCallKey(it))
      continue;
    if (SoundParts.size() >= MaxSoundParts && !SoundParts.contains(it))
      OlderSoundParts = std::exchange(SoundParts, {});
    SoundParts[it] = now;
  }
}

void PromptQuarantine::removeOld(absl::Time now) {
  absl::erase_if(QuarantinedUntil,
                 [&](const auto &it) { return now >= it.second; });
  absl::erase_if(Suspects, [&](const auto &it) {
    return now - it.second.Crashes.back().At >= Settings.CrashMemory;
  });
  std::erase_if(ExplainedCrashes, [&](const Crash &it) {
    return now - it.At >= Settings.CrashMemory;
  });
}

} // namespace orioletally::core::relay

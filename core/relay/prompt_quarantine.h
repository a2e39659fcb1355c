#ifndef ORIOLETALLY_CORE_RELAY_PROMPT_QUARANTINE_H
#define ORIOLETALLY_CORE_RELAY_PROMPT_QUARANTINE_H

#include "core/relay/attempt_policy.h"
#include "core/relay/call_key.h"
#include "core/relay/quarantined_part.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace orioletally::core::relay {

/// An attempt at a prompt that has ended.
struct PromptAttempt {
  std::string Backend;
  AttemptEnd End = AttemptEnd::NotSent;
  /// When the first event of the answer arrived, if any did.
  std::optional<absl::Time> FirstEventAt;
  /// Whether a length or a last chunk marked the end of the answer.
  bool IsEndMarked = false;
};

/// One prompt that a backend server was beginning to answer when it crashed.
struct CrashReport {
  /// Id of the backend server.
  std::string Backend;
  /// Id of the prompt's last part, which tells prompts apart.
  std::string Prompt;
  /// Ids of its other parts, without those that the reporting node knows to be
  /// sound.
  std::vector<std::string> Parts;
};

/// Parameters of a PromptQuarantine.
struct QuarantineSettings {
  /// Crashes after which a part is quarantined, and over how many prompts and
  /// backend servers they must be spread.
  size_t MinCrashes = 3;
  size_t MinPrompts = 2;
  size_t MinBackends = 2;
  /// Crashes closer together than this count as one: many backend servers that
  /// crash at the same time have another cause than a prompt.
  absl::Duration CrashSpacing = absl::Milliseconds(100);
  /// Crashes older than this no longer count.
  absl::Duration CrashMemory = absl::Minutes(5);
  /// Time between the last crash needed and the quarantine, in which other
  /// nodes may report the part as sound. Twice as long on nodes that didn't
  /// report that crash, so that normally one node decides for all.
  absl::Duration ObjectionTime = absl::Milliseconds(300);
  /// How long a part stays quarantined.
  absl::Duration QuarantineTime = absl::Minutes(10);
  /// A crash this long after the first event of an answer isn't attributed to
  /// its prompt, whose parts are sound then.
  absl::Duration BeginTime = absl::Seconds(1);
  /// Reports about one backend server within this time are about one crash.
  absl::Duration CrashJitter = absl::Seconds(1);
  /// How long a part counts as sound after an answer; an update of the
  /// engines' software may change it.
  absl::Duration SoundMemory = absl::Minutes(10);
};

/// Finds the parts of prompts, and the calls, that crash every backend server
/// that begins to answer them, and quarantines them. A call counts as a part
/// (callKey()) that no other call has. crashSuspects() gives the parts in the
/// order in which they are expected here.
///
/// A crash interrupts a dozen calls on several nodes, and the prompt that
/// caused it shares its other parts with sound ones. So a part is only
/// suspected when a backend server crashed as it began to answer, and is
/// cleared by a single answer that was written without a crash, on whichever
/// node. Of the parts that remain after several crashes under different
/// prompts, the cause is the one that occurs at all of these crashes and in the
/// fewest prompts; it explains what the others are suspected of. A call needs
/// no second prompt, but a single answer clears it of earlier crashes only: the
/// same call may begin to crash backend servers later.
class PromptQuarantine {
public:
  explicit PromptQuarantine(const QuarantineSettings &settings = {})
      : Settings(settings) {}

  /// What recordEnd() found out, to be sent to the other nodes.
  struct EndFindings {
    /// Set if the call or its prompt may have caused a crash.
    std::optional<CrashReport> Report;
    /// Key of a suspected call that was answered; empty for none.
    std::vector<std::string> Sound;
  };

  /// Records how an attempt at a prompt with \p parts ended.
  EndFindings recordEnd(const PromptAttempt &attempt,
                        const std::vector<std::string> &parts, absl::Time now);

  /// Records that events of an answer to a prompt with \p parts have been
  /// arriving since \p firstEventAt. Returns whether the prompt's parts are
  /// known to be sound by that, so that no further call is needed.
  bool recordProgress(const std::vector<std::string> &parts,
                      absl::Time firstEventAt, absl::Time now);

  /// Applies another node's report. Returns those of its parts that this node
  /// knows to be sound, to be sent to the other nodes.
  std::vector<std::string> applyReport(const CrashReport &report,
                                       absl::Time now);

  /// Applies another node's knowledge that \p parts are sound, which lifts
  /// their quarantine. Returns those that were quarantined.
  std::vector<std::string> applySound(const std::vector<std::string> &parts,
                                      absl::Time now);

  /// What applyQuarantine() did with the parts it was given.
  struct QuarantineChanges {
    /// Quarantined now.
    std::vector<QuarantinedPart> Added;
    /// Known to be sound, to be sent to the other nodes.
    std::vector<std::string> Sound;
  };

  /// Quarantines parts as decided by another node.
  QuarantineChanges applyQuarantine(const std::vector<QuarantinedPart> &parts,
                                    absl::Time now);

  /// Quarantines the parts for which there is enough evidence and returns them.
  std::vector<QuarantinedPart> decide(absl::Time now);

  /// When decide() has to be called next; infinite future if the evidence so
  /// far is insufficient.
  absl::Time nextDecisionAt() const;

  /// Returns the quarantined part of a prompt with \p parts, if there is one.
  std::optional<QuarantinedPart>
  findQuarantined(const std::vector<std::string> &parts, absl::Time now) const;

  /// Returns all parts in quarantine.
  std::vector<QuarantinedPart> quarantined(absl::Time now) const;

private:
  struct Crash {
    std::string Backend;
    std::string Prompt;
    absl::Time At;
    /// Whether it counts although a quarantined call caused it.
    bool IsKept = false;
  };

  struct Suspect {
    /// Whether it is a call and not a part of prompts.
    bool IsCall = false;
    /// The crashes under the part in the order in which they were reported.
    std::vector<Crash> Crashes;
    /// When the part is to be quarantined; infinite future without enough
    /// evidence.
    absl::Time DecideAt = absl::InfiniteFuture();
  };

  void addEvidence(const CrashReport &report, absl::Duration objectionTime,
                   absl::Time now);
  bool hasEnoughEvidence(const Suspect &suspect) const;
  /// Number of crashes that are CrashSpacing apart.
  size_t countCrashes(const Suspect &suspect) const;
  static size_t countPrompts(const Suspect &suspect);
  static size_t countBackends(const Suspect &suspect);
  void makeRoomForSuspect();
  /// Removes the crashes that quarantined parts explain from \p suspect, but
  /// one of those under the quarantined call of \p prompt, if there is one:
  /// calls that each crash backend servers may have the cause in common.
  void removeExplained(Suspect &suspect, const std::string &prompt) const;
  /// Returns the part to quarantine next; empty if there is none.
  std::string chooseCause(absl::Time now) const;
  /// Quarantines \p part and drops what other parts are suspected of because
  /// of it.
  void quarantine(const std::string &part, absl::Duration time, absl::Time now);
  bool isExplained(const Crash &crash) const;
  bool isSound(const std::string &part, absl::Time now) const;
  bool isQuarantined(const std::string &part, absl::Time now) const;
  void markSound(const std::vector<std::string> &parts, absl::Time now);
  void removeOld(absl::Time now);

  QuarantineSettings Settings;
  absl::flat_hash_map<std::string, Suspect> Suspects;
  /// Recent crashes under quarantined parts.
  std::vector<Crash> ExplainedCrashes;
  /// When parts were last found to be sound. Once the first map is full, it
  /// replaces the second.
  absl::flat_hash_map<std::string, absl::Time> SoundParts;
  absl::flat_hash_map<std::string, absl::Time> OlderSoundParts;
  absl::flat_hash_map<std::string, absl::Time> QuarantinedUntil;
};

} // namespace orioletally::core::relay

#endif

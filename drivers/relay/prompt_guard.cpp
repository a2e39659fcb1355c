#include "drivers/relay/prompt_guard.h"

#include "drivers/clock/clock.h"
#include "drivers/log/log.h"

#include <utility>

namespace orioletally::drivers::relay {

using core::relay::CrashReport;
using core::relay::PromptAttempt;
using core::relay::PromptQuarantine;
using core::relay::QuarantinedPart;

void PromptGuard::recordEnd(const std::string &id, const PromptAttempt &attempt,
                            const std::vector<std::string> &parts) {
  const PromptQuarantine::EndFindings findings =
      Quarantine.recordEnd(attempt, parts, clock::steadyNow());
  announceSound(findings.Sound);
  const std::optional<CrashReport> &report = findings.Report;
  if (!report.has_value())
    return;
  log::write(log::Level::Info, "crash_suspected",
             {{"id", id},
              {"backend", report->Backend},
              {"prompt_id", report->Prompt},
              {"parts", report->Parts}});
  Metrics.crashReported("own");
  if (Handlers.AnnounceCrash)
    Handlers.AnnounceCrash(*report);
  scheduleDecision();
}

bool PromptGuard::recordProgress(const std::vector<std::string> &parts,
                                 absl::Time firstEventAt) {
  return Quarantine.recordProgress(parts, firstEventAt, clock::steadyNow());
}

std::optional<QuarantinedPart>
PromptGuard::findQuarantined(const std::vector<std::string> &parts) const {
  return Quarantine.findQuarantined(parts, clock::steadyNow());
}

std::vector<QuarantinedPart> PromptGuard::quarantined() const {
  return Quarantine.quarantined(clock::steadyNow());
}

void PromptGuard::applyReport(const CrashReport &report) {
  Metrics.crashReported("peer");
  announceSound(Quarantine.applyReport(report, clock::steadyNow()));
  scheduleDecision();
}

void PromptGuard::applySound(const std::vector<std::string> &parts) {
  const std::vector<std::string> lifted =
      Quarantine.applySound(parts, clock::steadyNow());
  for (const std::string &it : lifted)
    log::write(log::Level::Warn, "part_cleared", {{"part", it}});
  Metrics.setQuarantinedParts(static_cast<int64_t>(quarantined().size()));
}

void PromptGuard::applyQuarantine(const std::vector<QuarantinedPart> &parts) {
  addQuarantine(parts, "peer");
}

void PromptGuard::quarantineRead(const std::vector<QuarantinedPart> &parts) {
  addQuarantine(parts, "store");
}

void PromptGuard::addQuarantine(const std::vector<QuarantinedPart> &parts,
                                std::string_view source) {
  const PromptQuarantine::QuarantineChanges changes =
      Quarantine.applyQuarantine(parts, clock::steadyNow());
  logQuarantine(changes.Added, source);
  announceSound(changes.Sound);
}

void PromptGuard::announceSound(const std::vector<std::string> &parts) {
  if (!parts.empty() && Handlers.AnnounceSound)
    Handlers.AnnounceSound(parts);
}

void PromptGuard::logQuarantine(const std::vector<QuarantinedPart> &parts,
                                std::string_view source) {
  for (const QuarantinedPart &it : parts)
    log::write(log::Level::Warn, "part_quarantined",
               {{"part", it.Part},
                {"source", source},
                {"time_left_ms", absl::ToInt64Milliseconds(it.TimeLeft)}});
  Metrics.setQuarantinedParts(static_cast<int64_t>(quarantined().size()));
}

void PromptGuard::scheduleDecision() {
  const absl::Time at = Quarantine.nextDecisionAt();
  if (at >= DecisionAt)
    return;
  DecisionAt = at;
  Timer.expires_at(clock::waitDeadline(at, clock::steadyNow()));
  Timer.async_wait([this](boost::system::error_code ec) {
    if (!ec)
      decide();
  });
}

void PromptGuard::decide() {
  DecisionAt = absl::InfiniteFuture();
  std::vector<QuarantinedPart> decided = Quarantine.decide(clock::steadyNow());
  scheduleDecision();
  if (decided.empty())
    return;
  logQuarantine(decided, "own");
  if (Handlers.AnnounceQuarantine)
    Handlers.AnnounceQuarantine();
  if (Handlers.Store)
    Handlers.Store(std::move(decided));
}

void PromptGuard::stop() { Timer.cancel(); }

} // namespace orioletally::drivers::relay

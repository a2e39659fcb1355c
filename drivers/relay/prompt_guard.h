#ifndef ORIOLETALLY_DRIVERS_RELAY_PROMPT_GUARD_H
#define ORIOLETALLY_DRIVERS_RELAY_PROMPT_GUARD_H

#include "core/relay/prompt_quarantine.h"
#include "drivers/loop/asio_use.h"
#include "drivers/metrics/relay_metrics.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::drivers::relay {

/// Callbacks of a PromptGuard to its node. All are called on the event loop and
/// may be null.
struct PromptGuardHandlers {
  /// Sends a report, or parts known to be sound, to the other nodes of the
  /// cell.
  std::function<void(const core::relay::CrashReport &)> AnnounceCrash;
  std::function<void(const std::vector<std::string> &)> AnnounceSound;
  /// Sends a decision of this node to all nodes of the fleet.
  std::function<void()> AnnounceQuarantine;
  /// Writes a decision of this node to the store.
  std::function<void(std::vector<core::relay::QuarantinedPart>)> Store;
};

/// Keeps prompts with quarantined parts away from the backend servers: passes
/// what this node, the other nodes and the store know about parts of prompts to
/// a PromptQuarantine, and its decisions back to them.
class PromptGuard {
public:
  PromptGuard(asio::io_context &loop, metrics::RelayMetrics &metrics)
      : Metrics(metrics), Timer(loop) {}

  void setHandlers(PromptGuardHandlers handlers) {
    Handlers = std::move(handlers);
  }

  /// Records how an attempt of the call \p id at a prompt with \p parts ended.
  void recordEnd(const std::string &id,
                 const core::relay::PromptAttempt &attempt,
                 const std::vector<std::string> &parts);

  /// Records that events of an answer to a prompt with \p parts have been
  /// arriving since \p firstEventAt; returns whether that suffices.
  bool recordProgress(const std::vector<std::string> &parts,
                      absl::Time firstEventAt);

  /// Returns the quarantined part of a prompt with \p parts, if there is one.
  std::optional<core::relay::QuarantinedPart>
  findQuarantined(const std::vector<std::string> &parts) const;

  /// All parts in quarantine.
  std::vector<core::relay::QuarantinedPart> quarantined() const;

  /// These three apply what another node announced.
  void applyReport(const core::relay::CrashReport &report);
  void applySound(const std::vector<std::string> &parts);
  void applyQuarantine(const std::vector<core::relay::QuarantinedPart> &parts);

  /// Applies what the store holds.
  void quarantineRead(const std::vector<core::relay::QuarantinedPart> &parts);

  /// Makes no decisions from now on.
  void stop();

private:
  void addQuarantine(const std::vector<core::relay::QuarantinedPart> &parts,
                     std::string_view source);
  void logQuarantine(const std::vector<core::relay::QuarantinedPart> &parts,
                     std::string_view source);
  void announceSound(const std::vector<std::string> &parts);
  void scheduleDecision();
  void decide();

  metrics::RelayMetrics &Metrics;
  PromptGuardHandlers Handlers;
  core::relay::PromptQuarantine Quarantine;
  asio::steady_timer Timer;
  /// When Timer expires; infinite future while it isn't set.
  absl::Time DecisionAt = absl::InfiniteFuture();
};

} // namespace orioletally::drivers::relay

#endif

#ifndef ORIOLETALLY_CORE_RELAY_LOAD_UPDATE_H
#define ORIOLETALLY_CORE_RELAY_LOAD_UPDATE_H

#include "core/relay/admission.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>

namespace orioletally::core::relay {

/// What happened to a prompt at one engine. Refused is a call that no engine
/// received; its EngineHash is the hash of the service's name. Nodes that don't
/// know Refused take it for the end of an unknown prompt.
enum class LoadUpdateKind { Sent, FirstToken, Ended, Refused };

/// What a load update says of the admission of a call. Without a route, it is
/// no call of its own but a late first event, or a caller that returned early.
struct AdmissionUpdate {
  AdmissionCall Call;
  /// Whether the first event is late, or is predicted to be.
  bool IsLate = false;
  /// For a refused call, the delay that its caller was asked to wait.
  absl::Duration RetryAfter = absl::ZeroDuration();
};

/// What a node sends to the others about an attempt, so that all of them place
/// prompts with the same view of the engines' load.
struct LoadUpdate {
  LoadUpdateKind Kind = LoadUpdateKind::Sent;
  /// BackendDirectory::hashOf of the engine's id.
  uint64_t EngineHash = 0;
  uint64_t LoadId = 0;
  /// Tokens that the engine prefills. This and the fields below are only sent
  /// with Sent.
  int64_t PrefillTokens = 0;
  int64_t PromptTokens = 0;
  int64_t AnswerTokens = 0;
  /// Tokens of the engine's memory that are held until the attempt ends.
  int64_t HeldTokens = 0;
  /// The longest pause between two events that meets the caller's objective; 0
  /// for no objective.
  int64_t GapObjectiveMs = 0;
  /// Time until the first token is late; 0 if unknown.
  int64_t ObjectiveMs = 0;
  /// Set with the dispatch, a late first event and the refusal of a call, when
  /// the sender admits calls by priority.
  std::optional<AdmissionUpdate> Admission;
};

} // namespace orioletally::core::relay

#endif

#ifndef ORIOLETALLY_CORE_RELAY_CALL_HEAD_H
#define ORIOLETALLY_CORE_RELAY_CALL_HEAD_H

#include "core/relay/reservation_use.h"

#include <absl/time/time.h>
#include <absl/types/span.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace orioletally::core::relay {

/// A received header line; valid as long as the message that it points into.
struct HeaderView {
  std::string_view Name;
  std::string_view Value;
};

/// A header line to write.
using HeaderLine = std::pair<std::string, std::string>;

/// The headers of a caller's call, decoded.
struct CallHead {
  /// Identifies this attempt of the caller; each of its retries has another id.
  std::string AttemptId;
  /// How long the caller will wait; empty if unspecified.
  std::optional<absl::Duration> Timeout;
  /// The API key, which determines the workspace; empty if there is none.
  std::string Key;
  int64_t PromptTokens = 0;
  /// Maximum number of tokens of the answer; 0 if unspecified.
  int64_t AnswerTokens = 0;
  /// The caller's estimate of the number of tokens of the answer.
  std::optional<int64_t> ExpectedAnswerTokens;
  /// Ids of the prompt's parts in order, which prompts may share; the last one
  /// belongs to this prompt or its session alone. Empty if unspecified.
  std::vector<std::string> PromptParts;
  /// Id of the last event that the caller received, when it resumes a stream.
  std::optional<int64_t> ResumeAfter;
  /// Whether the caller accepts only backend servers that meet a condition.
  bool HasCondition = false;
};

/// An engine that prefills a part of a prompt.
struct HelperHead {
  /// "ip:port".
  std::string Address;
  /// Id of the memory reservation at the engine; empty for none.
  std::string Reservation;
};

/// A request that the node itself makes to a backend server.
struct BackendCommand {
  std::string Target;
  /// JSON.
  std::string Body;
};

/// What a node sends a backend server in the headers of an attempt.
struct AttemptHead {
  /// Time left for the answer.
  absl::Duration TimeLeft;
  /// Id of the backend server that may execute the call. A restarted backend
  /// server has another id.
  std::string BackendId;
  /// Empty when the call has no workspace.
  std::string Workspace;
  std::optional<int64_t> ResumeAfter;
  /// 0 is the most urgent; empty for the backend server's default.
  std::optional<int64_t> Priority;
  /// Engines that prefill parts of the prompt.
  std::vector<HelperHead> Helpers;
};

/// The headers of a backend server's answer, decoded.
struct AnswerHead {
  /// Id of the answered attempt; empty if unspecified.
  std::string AttemptId;
  /// Proves that the body comes from the backend server; required for success.
  std::string Signature;
  /// Whether the call was not executed and won't be.
  bool NotExecuted = false;
  /// Id of the backend server that answered; empty if unspecified.
  std::string BackendId;
  /// Id of another backend server that caused the failure; empty for none.
  std::string FaultyBackend;
  /// Whether the backend server accepts no new work.
  bool Leaving = false;
  /// How long this node should send nothing to the backend server. Only
  /// meaningful in answers that refuse the call.
  std::optional<absl::Duration> PauseFor;
  /// Whether the backend server states a limit on its requests.
  bool HasRequestLimit = false;
  /// The limit in requests a second, from all nodes together, 0 or more; empty
  /// if there is none or if the stated value isn't such a number.
  std::optional<double> RequestsPerSecond;
  /// How much longer the backend server is cold, 0 for one that is warm; empty
  /// when not given.
  std::optional<absl::Duration> ColdRemaining;
};

/// Encodes and decodes the headers of calls, attempts and answers.
class CallCodec {
public:
  virtual ~CallCodec() = default;

  virtual CallHead decodeCall(absl::Span<const HeaderView> headers) const = 0;

  /// Whether the header \p name is set or removed by the node. The caller's
  /// value is never forwarded.
  virtual bool isNodeHeader(std::string_view name) const = 0;

  /// Returns the headers that replace those for which isNodeHeader() holds.
  virtual std::vector<HeaderLine>
  encodeAttempt(const AttemptHead &attempt) const = 0;

  virtual AnswerHead
  decodeAnswer(absl::Span<const HeaderView> headers) const = 0;

  /// Returns the command that reserves memory for \p tokens tokens for the
  /// duration \p hold, or renews the reservation.
  virtual BackendCommand encodeReserve(const std::string &reservation,
                                       int64_t tokens,
                                       absl::Duration hold) const = 0;

  /// Returns the command that ends a reservation.
  virtual BackendCommand
  encodeRelease(const std::string &reservation) const = 0;

  /// Returns the path at which an engine reports its reservations.
  virtual std::string reportTarget() const = 0;

  /// Returns what an engine's \p report says about \p reservation.
  virtual ReservationUse
  decodeReservationUse(std::string_view report,
                       const std::string &reservation) const = 0;

  /// Returns the headers of the node's own answer to the attempt \p id.
  virtual std::vector<HeaderLine>
  encodeOwnAnswer(std::string_view id) const = 0;
};

} // namespace orioletally::core::relay

#endif

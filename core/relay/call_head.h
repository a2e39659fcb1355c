#ifndef ORIOLETALLY_CORE_RELAY_CALL_HEAD_H
#define ORIOLETALLY_CORE_RELAY_CALL_HEAD_H

#include <absl/time/time.h>
#include <absl/types/span.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace orioletally::core::relay {

/// A header line; the views live as long as the message they come from.
struct HeaderView {
  std::string_view Name;
  std::string_view Value;
};

/// A header line that is to be written.
using HeaderLine = std::pair<std::string, std::string>;

/// What a caller's headers say of its call.
struct CallHead {
  /// Names this try of the caller; a caller's own retry has another.
  std::string AttemptId;
  /// How long the caller will wait; empty when it doesn't say.
  std::optional<absl::Duration> Timeout;
  /// The key that names the workspace; empty without one.
  std::string Key;
  int64_t PromptTokens = 0;
  /// The most tokens that the answer may have.
  int64_t AnswerTokens = 0;
  /// The caller's own estimate of the answer's tokens.
  std::optional<int64_t> ExpectedAnswerTokens;
  /// Id of the last event that the caller has of a stream that it resumes.
  std::optional<int64_t> ResumeAfter;
};

/// An engine that reads a part of a prompt.
struct HelperHead {
  /// "ip:port".
  std::string Address;
  /// Name of the memory reserved there; empty for none.
  std::string Reservation;
};

/// A call to a backend server that isn't a caller's.
struct BackendCommand {
  std::string Target;
  /// JSON.
  std::string Body;
};

/// What a node tells a backend server about one attempt of a call.
struct AttemptHead {
  /// Time that is left for the answer.
  absl::Duration TimeLeft;
  /// The only start of a backend server that may execute the call.
  std::string BackendId;
  /// Empty when the call has no workspace.
  std::string Workspace;
  std::optional<int64_t> ResumeAfter;
  /// 0 is first; empty leaves the backend server's default.
  std::optional<int64_t> Priority;
  /// Engines that read parts of the prompt.
  std::vector<HelperHead> Helpers;
};

/// What a backend server's headers say of its answer.
struct AnswerHead {
  /// The attempt that it answers; empty when it doesn't say.
  std::string AttemptId;
  /// Proves that the body is the backend server's own; required for success.
  std::string Signature;
  /// The call wasn't executed and won't be.
  bool NotExecuted = false;
  /// Id of the backend server that a failure is due to, when another's.
  std::string FaultyBackend;
  /// The backend server takes no new work.
  bool Leaving = false;
  /// How long the backend server wants nothing more from this node; only
  /// answers that turn the call away mean it so.
  std::optional<absl::Duration> PauseFor;
};

/// Translates between headers on the wire and what they mean.
class CallCodec {
public:
  virtual ~CallCodec() = default;

  virtual CallHead decodeCall(absl::Span<const HeaderView> headers) const = 0;

  /// Whether a caller's header \p name is set or removed by the node and never
  /// passed on as the caller sent it.
  virtual bool isNodeHeader(std::string_view name) const = 0;

  /// Headers that take the place of those for which isOwn() holds.
  virtual std::vector<HeaderLine>
  encodeAttempt(const AttemptHead &attempt) const = 0;

  virtual AnswerHead
  decodeAnswer(absl::Span<const HeaderView> headers) const = 0;

  /// Sets memory for \p tokens tokens aside for \p hold, or renews that.
  virtual BackendCommand encodeReserve(const std::string &reservation,
                                       int64_t tokens,
                                       absl::Duration hold) const = 0;

  /// Ends a reservation.
  virtual BackendCommand
  encodeRelease(const std::string &reservation) const = 0;

  /// Headers of an answer of the node's own to the attempt \p id.
  virtual std::vector<HeaderLine>
  encodeOwnAnswer(std::string_view id) const = 0;
};

} // namespace orioletally::core::relay

#endif

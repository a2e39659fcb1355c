#ifndef ORIOLETALLY_DRIVERS_RELAY_CALL_RUNNER_H
#define ORIOLETALLY_DRIVERS_RELAY_CALL_RUNNER_H

#include "core/relay/attempt_policy.h"
#include "core/relay/body_framing.h"
#include "core/relay/call_lifecycle.h"
#include "core/relay/event_stream.h"
#include "drivers/relay/memory_lease.h"
#include "drivers/relay/relay_context.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace orioletally::drivers::relay {

using CallRequest = bhttp::request<bhttp::string_body>;
using PlainResponse = bhttp::response<bhttp::string_body>;

/// Runs one call: finds the route, makes the attempts that core/relay decides
/// on, and writes the answer to the caller.
class CallRunner : public std::enable_shared_from_this<CallRunner> {
public:
  CallRunner(RelayContext &context, asio::ip::tcp::socket &socket,
             CallRequest request, absl::Time now);

  /// Runs the call and returns whether the caller's connection can carry
  /// another one.
  asio::awaitable<bool> run();

  /// Ends the call early, because the caller disconnected or the deadline
  /// passed: closes the connection of the attempt in progress and, during a
  /// write to the caller, the caller's.
  void abort(core::relay::AttemptEnd reason);

  /// Ends the call because the process is about to exit. Bytes that are being
  /// written to the caller are still written.
  void giveUp();

private:
  /// How the body of a streamed answer was framed, and whether its last event
  /// was incomplete.
  struct StreamEnd {
    core::relay::BodyFraming Framing;
    bool IsInsideEvent;
  };

  struct AttemptRecord {
    std::string Backend;
    core::relay::AttemptEnd End;
    absl::Duration Took;
    absl::Duration Predicted;
    size_t Helpers;
    /// Empty unless a stream began.
    std::optional<StreamEnd> Stream;
    /// The limit in requests a second that the answer stated, if any.
    std::optional<double> RequestLimit;
  };

  /// Finds the route and the workspace and sets the deadline. Returns false if
  /// the call is answered with an error instead.
  bool admit();
  void answerWithError(const core::errors::RequestError &error);
  /// Returns the error of a call that is quarantined or whose prompt has a
  /// quarantined part; empty for any other call.
  std::optional<core::errors::RequestError> quarantineError() const;
  /// Makes attempts until the call has an answer or fails.
  asio::awaitable<void> attempts();
  asio::awaitable<core::relay::AttemptEnd>
  attempt(core::relay::Dispatch &dispatch);
  asio::awaitable<core::relay::AttemptEnd>
  exchange(core::relay::Dispatch &dispatch);
  /// Reserves memory at the helpers; returns false if any reservation failed or
  /// the call was aborted.
  asio::awaitable<bool> reserveMemory(const core::relay::Dispatch &dispatch);
  /// Returns what the end of an attempt tells about the call as the cause of a
  /// crash.
  core::relay::PromptAttempt
  promptAttempt(const core::relay::Dispatch &dispatch,
                core::relay::AttemptEnd end, absl::Time now) const;
  static std::string reservationName(const core::relay::Dispatch &dispatch,
                                     size_t n);
  /// Sets Channel to a connection to \p address, reused or new; returns false
  /// if there is none or the call was aborted.
  asio::awaitable<bool> openChannel(const std::string &address);
  asio::awaitable<core::relay::AttemptEnd>
  readAnswer(core::relay::Dispatch &dispatch);
  /// Applies what an answer's head says about the backend server's state:
  /// that it is leaving, or for how long to send it no calls.
  void applyServerState(const core::relay::AnswerHead &head, int status,
                        core::relay::Dispatch &dispatch);
  /// Applies what an answer's head says about the backend server's request
  /// limit; all its answers state it.
  void applyRequestLimit(const core::relay::AnswerHead &head,
                         const core::relay::Dispatch &dispatch);
  void markLeaving(const core::fleet::BackendServer &server,
                   std::string_view reason);
  asio::awaitable<core::relay::AttemptEnd>
  readPlain(bhttp::response_parser<bhttp::buffer_body> &parser, bool isFailure);
  asio::awaitable<core::relay::AttemptEnd>
  relayStream(bhttp::response_parser<bhttp::buffer_body> &parser,
              core::relay::Dispatch &dispatch);
  /// Reads a stream and writes its events to the caller until its body ends.
  asio::awaitable<core::relay::AttemptEnd>
  relayEvents(bhttp::response_parser<bhttp::buffer_body> &parser,
              core::relay::Dispatch &dispatch);
  /// These four write to the caller and return false if that failed;
  /// writeChunk() also if the call was aborted meanwhile.
  asio::awaitable<bool> writeStreamHead();
  asio::awaitable<bool> writeChunk(const std::string &bytes);
  asio::awaitable<bool> finishStream();
  asio::awaitable<bool> writePlain();

  bhttp::request<bhttp::span_body<char>>
  buildAttempt(const core::relay::Dispatch &dispatch, absl::Time now);
  /// Returns the outcome of an attempt whose connection failed or was closed.
  /// \p wasSent is false when nothing of the call was written.
  core::relay::AttemptEnd interruptedEnd(bool wasSent) const;
  void closeChannel();
  void returnChannel(const bhttp::response_parser<bhttp::buffer_body> &parser);
  void bufferAnswer(const bhttp::response_header<> &head, std::string body);
  void describeDemand();
  void setPhaseEnd(absl::Time phaseEnd);
  void setSilenceTimeout(absl::Duration timeout);
  void armTimer();
  void onTimer();
  void onPhaseTimeout(absl::Time now);
  void onSilence(absl::Time now);
  void step(core::relay::CallStep callStep);
  bool isWritingToCaller() const;
  void logEnd();

  RelayContext &Context;
  asio::ip::tcp::socket &Caller;
  CallRequest Request;
  absl::Time ArrivedAt;

  core::relay::CallLifecycle Lifecycle;
  std::shared_ptr<const core::routes::RoutingConfig> Config;
  const core::routes::Route *Route = nullptr;
  std::string Workspace;
  core::relay::CallHead Head;
  core::relay::CallDemand Demand;
  /// The call and the parts of its prompt, as PromptQuarantine expects them.
  std::vector<std::string> CrashSuspects;
  core::relay::CallProgress Progress;
  core::relay::EventStream Events;

  /// Memory reserved at the helpers of the attempt in progress.
  std::vector<std::shared_ptr<MemoryLease>> Leases;
  std::unique_ptr<BackendChannel> Channel;
  /// The attempt in progress; null between attempts.
  core::relay::Dispatch *Current = nullptr;
  asio::steady_timer Timer;
  /// When the wait in progress times out; what happens then depends on the
  /// call's state.
  absl::Time PhaseEnd = absl::InfiniteFuture();
  /// When Timer was last set to expire: at PhaseEnd or the deadline, or earlier
  /// if PhaseEnd was put off since. Infinite before Timer is armed and after it
  /// expires.
  absl::Time TimerExpiresAt = absl::InfiniteFuture();
  /// When events of the stream last arrived; initially the attempt's start.
  absl::Time LastByteAt;
  absl::Duration SilenceTimeout = absl::InfiniteDuration();
  /// Set when the whole call ends early.
  std::optional<core::relay::AttemptEnd> Aborted;
  /// The end of the attempt's stream; empty unless one began.
  std::optional<StreamEnd> LastStreamEnd;
  /// The limit in requests a second that the attempt's answer stated, if any.
  std::optional<double> LastRequestLimit;
  /// Whether the attempt in progress was abandoned because no bytes came for
  /// too long.
  bool IsStalled = false;
  /// Whether the attempt's answer has shown that the prompt's parts are sound.
  bool IsPromptSound = false;
  /// Whether the retry after the attempt in progress has already been taken
  /// from the budget.
  bool IsRetryCharged = false;
  bool KeepCallerOpen = true;
  /// Whether the stream was written to the caller up to its end.
  bool IsStreamFinished = false;

  /// The answer to write at the end unless a stream is delivered: a backend
  /// server's complete answer or this node's own error.
  std::optional<PlainResponse> BufferedAnswer;
  /// Memory of the body of BufferedAnswer.
  core::limits::MemoryGrant AnswerMemory;
  /// The head of a streamed answer until it is written.
  std::optional<bhttp::response<bhttp::empty_body>> StreamHead;
  std::vector<AttemptRecord> Attempts;
  int Status = 0;
  std::string LocalErrorCode;
  std::string LocalErrorRule;
  int64_t LocalRetryAfterMs = 0;
  /// How long the call waited at the start gate.
  absl::Duration StartDelay = absl::ZeroDuration();
  /// Time from the call's arrival to the first event of the stream.
  absl::Duration FirstEventAfter = absl::ZeroDuration();
  /// Longest pause between events of the stream.
  absl::Duration LongestGap = absl::ZeroDuration();
};

} // namespace orioletally::drivers::relay

#endif

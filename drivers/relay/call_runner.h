#ifndef ORIOLETALLY_DRIVERS_RELAY_CALL_RUNNER_H
#define ORIOLETALLY_DRIVERS_RELAY_CALL_RUNNER_H

#include "core/relay/call_lifecycle.h"
#include "drivers/relay/attempt_runner.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace orioletally::drivers::relay {

/// Runs one call: finds the route, makes the attempts that core/relay decides
/// on, and writes the answer to the caller. When the backend server of an
/// attempt is silent for too long, another attempt begins beside it; the first
/// of them with events or a complete answer ends the others.
class CallRunner : public std::enable_shared_from_this<CallRunner>,
                   private AttemptListener {
public:
  CallRunner(RelayContext &context, asio::ip::tcp::socket &socket,
             CallRequest request, absl::Time now);

  /// Runs the call and returns whether the caller's connection can carry
  /// another one.
  asio::awaitable<bool> run();

  /// Ends the call early, because the caller disconnected or the deadline
  /// passed: closes the connections of the attempts in progress and, during a
  /// write to the caller, the caller's.
  void abort(core::relay::AttemptEnd reason);

  /// Ends the call because the process is about to exit. Bytes that are being
  /// written to the caller are still written.
  void giveUp();

private:
  void attemptSilent(AttemptRunner &attempt, absl::Duration silent,
                     absl::Time now) override;
  asio::awaitable<bool> deliverEvents(AttemptRunner &attempt,
                                      std::string events) override;
  asio::awaitable<bool> deliverEnd(AttemptRunner &attempt) override;
  void callerBlocked() override;

  /// Finds the route and the workspace and sets the deadline. Returns false if
  /// the call is answered with an error instead.
  bool admit();
  void answerWithError(const core::errors::RequestError &error);
  /// Answers a call that the configuration doesn't allow because of \p code.
  void refuseByConfig(core::errors::ErrorCode code, std::string message);
  /// Returns the error of a call that is quarantined or whose prompt has a
  /// quarantined part; empty for any other call.
  std::optional<core::errors::RequestError> quarantineError() const;
  void describeDemand();
  /// Counts and logs the decision of admission control about the call.
  void recordAdmission();

  /// Makes attempts until the call has an answer or fails.
  asio::awaitable<void> attempts();
  std::variant<core::relay::Dispatch, core::errors::RequestError>
  choose(absl::Time now);
  /// The same after a wait, for a call whose admission \p earlier has.
  std::variant<core::relay::Dispatch, core::errors::RequestError>
  chooseAgain(const core::relay::Dispatch &earlier);
  /// The same; asks other cells if this node's cell can't serve the call in
  /// time and no attempt is in progress.
  asio::awaitable<
      std::variant<core::relay::Dispatch, core::errors::RequestError>>
  chooseInAnyCell();
  void start(core::relay::Dispatch dispatch, absl::Time now);
  asio::awaitable<void> runAttempt(std::shared_ptr<AttemptRunner> attempt);
  /// Waits until an attempt ends and records how.
  asio::awaitable<std::shared_ptr<AttemptRunner>> nextEnded();
  /// Counts the attempts that go on, for the decisions in core/relay.
  void countInProgress();
  /// Decides what follows the end of \p attempt; returns whether the call needs
  /// no attempt any more.
  asio::awaitable<bool> settle(AttemptRunner &attempt, absl::Time now);
  core::relay::NextStep nextStep(core::relay::AttemptEnd end, absl::Time now);
  /// Makes another attempt. Returns false if there can't be one and none is in
  /// progress.
  asio::awaitable<bool> retry(core::relay::AttemptEnd last);
  /// Sets the error that ends the call, unless there is an answer.
  void giveUp(core::relay::AttemptEnd last, absl::Time now);
  /// Ends all attempts but \p winner, which may be null.
  void stopOthers(const AttemptRunner *winner);

  asio::awaitable<bool> beginStream(AttemptRunner &attempt);
  void recordEvents(absl::Time now);
  bool isWritingToCaller() const;
  void onTimeout(absl::Time now);
  void step(core::relay::CallStep callStep);
  void logEnd();

  RelayContext &Context;
  RelayedCall Call;
  AnswerWriter Writer;
  core::relay::CallLifecycle Lifecycle;
  PhaseTimer Timer;
  core::relay::CallDemand Demand;
  /// How the call was admitted; empty unless calls are admitted by priority.
  std::optional<core::relay::AdmissionDecision> Admission;
  /// The service of the last attempt.
  std::string Service;

  std::vector<std::shared_ptr<AttemptRunner>> InProgress;
  /// Attempts that have ended and aren't handled yet.
  std::deque<std::shared_ptr<AttemptRunner>> Ended;
  /// Never expires; its cancellation tells that an attempt has ended.
  asio::steady_timer AttemptEnded;
  std::vector<AttemptRecord> Records;
  /// Ids of the backend servers whose attempts ended only because another was
  /// answered first.
  std::vector<std::string> Superseded;
  /// Number of attempts at which nothing was written.
  int UnsentAttempts = 0;
  /// The question to other cells that the call waits for; 0 for none.
  uint64_t Question = 0;
  /// Set when the whole call ends early.
  std::optional<core::relay::AttemptEnd> Aborted;

  /// The answer to write at the end unless a stream is delivered: a backend
  /// server's complete answer or this node's own error.
  std::optional<PlainResponse> BufferedAnswer;
  /// Memory of the body of BufferedAnswer.
  core::limits::MemoryGrant AnswerMemory;
  std::string LocalErrorCode;
  std::string LocalErrorRule;
  int64_t LocalRetryAfterMs = 0;
  /// How long the call waited at the start gate.
  absl::Duration StartDelay = absl::ZeroDuration();
  /// Time from the call's arrival to the first event of the stream.
  absl::Duration FirstEventAfter = absl::ZeroDuration();
  /// When events were last delivered.
  absl::Time LastEventsAt;
  /// Longest pause between events of the stream.
  absl::Duration LongestGap = absl::ZeroDuration();
};

} // namespace orioletally::drivers::relay

#endif

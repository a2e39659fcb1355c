#ifndef ORIOLETALLY_DRIVERS_RELAY_ATTEMPT_RUNNER_H
#define ORIOLETALLY_DRIVERS_RELAY_ATTEMPT_RUNNER_H

#include "core/relay/attempt_lifecycle.h"
#include "core/relay/attempt_policy.h"
#include "core/relay/body_framing.h"
#include "core/relay/event_stream.h"
#include "drivers/loop/answer_reader.h"
#include "drivers/relay/answer_writer.h"
#include "drivers/relay/memory_lease.h"
#include "drivers/relay/phase_timer.h"
#include "drivers/relay/relay_context.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace orioletally::drivers::relay {

using CallRequest = bhttp::request<bhttp::string_body>;

/// What all attempts at one call have in common.
struct RelayedCall {
  CallRequest Request;
  core::relay::CallHead Head;
  std::shared_ptr<const core::routes::RoutingConfig> Config;
  const core::routes::Route *Route = nullptr;
  std::string Workspace;
  /// The call and the parts of its prompt, as PromptQuarantine expects them.
  std::vector<std::string> CrashSuspects;
  absl::Time ArrivedAt;
  core::relay::CallProgress Progress;
  /// Id of the last event that was delivered to the caller.
  std::optional<int64_t> LastEventId;
};

/// How one attempt went, for the log.
struct AttemptRecord {
  /// How the body of a streamed answer was framed, and whether its last event
  /// was incomplete.
  struct StreamEnd {
    core::relay::BodyFraming Framing;
    bool IsInsideEvent;
  };

  std::string Backend;
  core::relay::AttemptEnd End = core::relay::AttemptEnd::NotSent;
  absl::Duration Took;
  absl::Duration Predicted;
  size_t Helpers = 0;
  /// Empty unless a stream began.
  std::optional<StreamEnd> Stream;
  /// The limit in requests a second that the answer stated, if any.
  std::optional<double> RequestLimit;
};

class AttemptRunner;

/// The call's side of its attempts.
class AttemptListener {
public:
  virtual ~AttemptListener() = default;

  /// \p attempt has received no events for \p silent, longer than it should.
  virtual void attemptSilent(AttemptRunner &attempt, absl::Duration silent,
                             absl::Time now) = 0;

  /// Delivers events of \p attempt's stream, or its end, to the caller. From
  /// its first events on, \p attempt is the only one that goes on. Both return
  /// false if that failed.
  virtual asio::awaitable<bool> deliverEvents(AttemptRunner &attempt,
                                              std::string events) = 0;
  virtual asio::awaitable<bool> deliverEnd(AttemptRunner &attempt) = 0;

  /// The caller accepts no bytes of \p attempt's stream.
  virtual void callerBlocked() = 0;
};

/// Makes one attempt at one backend server. Several attempts at the same call
/// may be in progress at once.
class AttemptRunner : public std::enable_shared_from_this<AttemptRunner> {
public:
  /// Everything that is passed outlives the attempt.
  AttemptRunner(RelayContext &context, const RelayedCall &call,
                AttemptListener &listener, core::relay::Dispatch dispatch);

  /// Records that the attempt is made; run() comes next.
  void begin(absl::Time now);

  /// Makes the attempt and returns how it ended.
  asio::awaitable<core::relay::AttemptEnd> run();

  /// Ends an attempt whose run() has thrown.
  void fail(absl::Time now);

  /// Ends the attempt early with \p end, or as not sent if nothing was written:
  /// closes its connection.
  void stop(core::relay::AttemptEnd end);

  bool isStopped() const { return Stopped.has_value(); }

  /// Whether it was silent for too long and hasn't received events since.
  bool isDoubted() const { return IsDoubted; }

  /// Whether it is writing events to the caller.
  bool isForwarding() const {
    return Lifecycle.state() == core::relay::AttemptState::Forwarding;
  }

  const core::relay::Dispatch &dispatch() const { return Target; }
  const AttemptRecord &record() const { return Record; }
  std::optional<int64_t> lastEventId() const { return Events.lastId(); }

  /// The head of the streamed answer.
  StreamHead &streamHead() { return Head; }

  /// The complete answer that isn't a stream; empty if there is none.
  std::optional<PlainResponse> &plainAnswer() { return Plain; }
  /// The memory that the complete answer uses.
  core::limits::MemoryGrant &answerMemory() { return Memory; }

private:
  using AnswerReader = loop::AnswerReader<bhttp::buffer_body>;

  asio::awaitable<core::relay::AttemptEnd> exchange();
  /// Reserves memory at the helpers; returns false if any reservation failed or
  /// the attempt was stopped.
  asio::awaitable<bool> reserveMemory();
  std::string reservationName(size_t n) const;
  /// Whether the availability zone of the backend server or of a helper is
  /// evacuated, so that the request must not be written.
  bool isEvacuated() const;
  /// An engine says that no prompt uses the memory that is reserved there.
  void memoryUnused();
  /// Whether bytes of the answer have arrived that weren't read yet.
  bool hasUnreadBytes() const;
  /// Sets Channel to a connection to the backend server, reused or new; returns
  /// false if there is none or the attempt was stopped.
  asio::awaitable<bool> openChannel();
  bhttp::request<bhttp::span_body<const char>>
  buildMessage(absl::Time now) const;
  asio::awaitable<core::relay::AttemptEnd> readAnswer();
  /// Returns how an answer with this head ends the attempt, or nothing if its
  /// body is to be read.
  std::optional<core::relay::AttemptEnd>
  endByHead(const bhttp::response_header<> &message);
  /// Applies what an answer's head says about the backend server's state:
  /// that it is leaving, or for how long to send it no calls.
  void applyServerState(const core::relay::AnswerHead &head, int status);
  /// Applies what an answer's head says about the backend server's request
  /// limit; all its answers state it.
  void applyRequestLimit(const core::relay::AnswerHead &head);
  void markLeaving(std::string_view reason);
  /// Records that another backend server has the address.
  void doubtAddress(absl::Time now);
  asio::awaitable<core::relay::AttemptEnd> readPlain(AnswerReader &reader);
  asio::awaitable<core::relay::AttemptEnd> relayStream(AnswerReader &reader);
  /// Reads a stream and delivers its events until its body ends.
  asio::awaitable<core::relay::AttemptEnd> relayEvents(AnswerReader &reader);
  /// These deliver to the caller; false if that failed or the attempt was
  /// stopped meanwhile.
  asio::awaitable<bool> forward(std::string events);
  asio::awaitable<bool> forwardEnd();
  void beginForwarding(absl::Time now);
  void eventsReceived(absl::Time now);
  /// Returns the outcome of an attempt whose answer couldn't be read because of
  /// \p ec; \p part is what was read.
  core::relay::AttemptEnd failedRead(const boost::system::error_code &ec,
                                     core::limits::ReadOverrun part);
  /// Returns the outcome of an attempt whose connection failed or was closed.
  /// \p wasSent is false when nothing of the call was written.
  core::relay::AttemptEnd interruptedEnd(bool wasSent) const;
  void returnChannel(AnswerReader &reader);
  void closeChannel();
  void finish(core::relay::AttemptEnd end, absl::Time now);
  /// Returns what the end of the attempt tells about the call as the cause of a
  /// crash.
  core::relay::PromptAttempt promptAttempt(core::relay::AttemptEnd end,
                                           absl::Time now) const;
  void setSilenceTimeout(absl::Duration timeout);
  void onTimeout(absl::Time now);
  void onSilence(absl::Time now);
  void step(core::relay::AttemptStep attemptStep);

  RelayContext &Context;
  const RelayedCall &Call;
  AttemptListener &Listener;
  core::relay::Dispatch Target;
  core::relay::AttemptLifecycle Lifecycle;
  core::relay::EventStream Events;
  PhaseTimer Timer;

  /// Memory reserved at the helpers.
  std::vector<std::shared_ptr<MemoryLease>> Leases;
  std::unique_ptr<BackendChannel> Channel;
  absl::Time StartedAt;
  /// Since when the attempt waits for events: when the last ones were
  /// delivered, or the attempt's start.
  absl::Time SilentSince;
  absl::Duration SilenceTimeout = absl::InfiniteDuration();
  /// Set when the attempt is ended early.
  std::optional<core::relay::AttemptEnd> Stopped;
  bool IsDoubted = false;
  /// Whether the stream continues one whose first events came earlier.
  bool IsResumed = false;
  /// Whether what had arrived by the end of a silence had time to be read.
  bool IsRechecked = false;
  /// Whether its memory was released before the prompt began.
  bool IsMemoryLost = false;
  /// Whether the answer has shown that the prompt's parts are sound.
  bool IsPromptSound = false;
  StreamHead Head;
  /// Memory of the answer's body or of an incomplete event.
  core::limits::MemoryGrant Memory;
  std::optional<PlainResponse> Plain;
  AttemptRecord Record;
};

} // namespace orioletally::drivers::relay

#endif

#ifndef ORIOLETALLY_CORE_REQUESTS_REQUEST_MACHINE_H
#define ORIOLETALLY_CORE_REQUESTS_REQUEST_MACHINE_H

#include "core/charts/state_chart.h"
#include "core/requests/request_events.h"
#include "core/requests/request_plan.h"
#include "core/routing/backend_selector.h"

#include <absl/time/time.h>
#include <string>
#include <vector>

namespace orioletally::core::requests {

/// States of charts/request.toml, in the order of requestStateNames().
enum class RequestState {
  Queued,
  Waiting,
  Running,
  Resuming,
  Cancelling,
  Finished,
  Failed,
};

/// Events of charts/request.toml, in the order of requestStepNames().
enum class RequestStep {
  Submitted,
  EngineAnswered,
  Refused,
  NeverSent,
  ConnectionLost,
  StreamLost,
  OutcomeAsked,
  Completed,
  GivenUp,
};

absl::Span<const std::string_view> requestStateNames();
absl::Span<const std::string_view> requestStepNames();

/// Numbers of discarded frames, by cause.
struct DroppedFrames {
  /// Frames with the id of another request.
  uint64_t Foreign = 0;
  /// Frames of an earlier connection or attempt.
  uint64_t Late = 0;
  /// Tokens that had arrived before.
  uint64_t Duplicate = 0;
  /// Frames after one or more missing tokens.
  uint64_t Gap = 0;

  uint64_t total() const { return Foreign + Late + Duplicate + Gap; }
};

/// One line of the explanation of a request.
struct TraceLine {
  absl::Time At;
  std::string Text;
};

/// The state machine of one completion after admission. It uses no socket,
/// thread or clock: the driver passes in events and carries out the returned
/// actions. It ends with exactly one CompleteAnswer or FailAnswer, at the
/// latest on the TimerFired event at the deadline.
class RequestMachine {
public:
  RequestMachine(RequestPlan admitted, const charts::StateChart &chart,
                 routing::BackendSelector &selector);

  /// Makes the first attempt to submit the request.
  RequestActions start(absl::Time now);

  /// Handles one event. After the final answer all events are ignored.
  RequestActions handle(const RequestEvent &event, absl::Time now);

  /// When the driver has to report the next TimerFired.
  absl::Time nextWake() const;

  bool isDone() const { return Position.isFinal(); }
  const RequestPlan &plan() const { return Plan; }
  const DroppedFrames &dropped() const { return Dropped; }
  const std::vector<TraceLine> &trace() const { return Trace; }
  RequestState state() const { return Position.state(); }
  int64_t attemptsMade() const { return Attempt; }
  const std::string &backend() const { return Current.BackendId; }

  /// Returns whether an engine ran the request, by the events so far.
  errors::RunState runState() const;

private:
  void on(const FrameArrived &event, absl::Time now);
  void on(const SubmitRefused &event, absl::Time now);
  void on(const StreamNotFound &event, absl::Time now);
  void on(const ConnectionClosed &event, absl::Time now);
  void on(const CancelAnswered &event, absl::Time now);
  void on(const CallerDisconnected &event, absl::Time now);
  void on(const DrainTimeoutExpired &event, absl::Time now);
  void on(const TimerFired &event, absl::Time now);

  bool isCurrentFrame(const FrameArrived &event);
  void handleToken(const backends::Frame &frame, absl::Time now);
  void handleFinal(const backends::Frame &frame, absl::Time now);
  void trySubmit(absl::Time now);
  void handleDenial(const routing::RouteDenied &denial, absl::Time now);
  void handleConnectionLoss(std::string_view cause, absl::Time now);
  void handleStall(absl::Time now);
  void handleStreamLoss(std::string_view cause, absl::Time now);
  void returnToQueue(RequestStep step, absl::Time now);
  void releaseBackend(bool completed, absl::Time now);
  void giveUp(errors::ErrorCode code, std::string message, std::string rule,
              int64_t retryAfterMs, absl::Time now);
  void restartWaitTimer(absl::Time now);
  void appendTrace(absl::Time now, std::string text);
  routing::RouteQuery query() const;

  RequestPlan Plan;
  charts::ChartPosition<RequestState, RequestStep> Position;
  routing::BackendSelector &Selector;

  routing::RouteChoice Current;
  bool HoldsBackend = false;
  uint32_t Attempt = 0;
  ConnectionNumber Connection = 0;
  absl::Time SubmittedAt;
  uint64_t NextOffset = 0;
  /// Connections lost since the last new token or the submit.
  int LossesSinceProgress = 0;
  bool MayHaveRun = false;
  bool HasRun = false;
  absl::Time QueueUntil = absl::InfiniteFuture();
  absl::Time RetryAt = absl::InfiniteFuture();
  absl::Time WaitUntil = absl::InfiniteFuture();
  std::vector<std::string> Exclude;
  DroppedFrames Dropped;
  std::vector<TraceLine> Trace;
  RequestActions Pending;
};

} // namespace orioletally::core::requests

#endif

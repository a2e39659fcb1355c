#ifndef ORIOLETALLY_DRIVERS_GATEWAY_COMPLETION_RUNNER_H
#define ORIOLETALLY_DRIVERS_GATEWAY_COMPLETION_RUNNER_H

#include "core/backends/engine_client.h"
#include "core/charts/state_chart.h"
#include "core/requests/request_machine.h"
#include "drivers/gateway/admission_gate.h"
#include "drivers/gateway/background_calls.h"
#include "drivers/gateway/shared_router.h"
#include "drivers/loop/asio_use.h"
#include "drivers/metrics/node_metrics.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace orioletally::drivers::gateway {

/// The queue of events for one request, filled by its connections. Used on the
/// event loop only.
class EventInbox {
public:
  explicit EventInbox(asio::io_context &loop) : Arrived(loop) {}

  void push(core::requests::RequestEvent event);

  /// Removes and returns the next event; empty if there is none.
  std::optional<core::requests::RequestEvent> tryTake();

  /// Waits until there is an event, for at most \p timeout.
  asio::awaitable<void> wait(absl::Duration timeout);

private:
  asio::steady_timer Arrived;
  std::deque<core::requests::RequestEvent> Events;
};

/// What every CompletionRunner uses; all of it outlives every runner.
struct RunnerContext {
  asio::io_context &Loop;
  core::backends::EngineClient &Engines;
  SharedRouter &Router;
  const core::charts::StateChart &Chart;
  BackgroundCalls &Background;
  AdmissionGate &Gate;
  metrics::NodeMetrics &Metrics;
  /// This node and its incarnation, which engines store as the owner of a
  /// stream.
  std::string Owner;
};

using RunnerOutput =
    std::variant<core::requests::DeliverToken, core::requests::RestartAnswer,
                 core::requests::CompleteAnswer, core::requests::FailAnswer>;

/// Drives one RequestMachine on the event loop: passes it events and timer
/// expiries, and carries out the actions that it returns.
class CompletionRunner {
public:
  CompletionRunner(const RunnerContext &context,
                   core::requests::RequestPlan plan, std::string prompt);

  /// Cancels the request if it still runs.
  ~CompletionRunner();
  CompletionRunner(const CompletionRunner &) = delete;
  CompletionRunner &operator=(const CompletionRunner &) = delete;

  /// Waits for the next output. Must not be called after CompleteAnswer or
  /// FailAnswer, which are the last.
  asio::awaitable<RunnerOutput> next();

  /// Returns the next output if it is available without waiting.
  std::optional<RunnerOutput> tryNext();

  /// Cancels the request, because the caller has disconnected.
  void callerDisconnected();

  const core::requests::RequestMachine &machine() const { return Machine; }
  absl::Time admittedAt() const { return AdmittedAt; }

private:
  asio::awaitable<void> advance();
  void feed(const core::requests::RequestEvent &event);
  void perform(core::requests::RequestActions actions);
  void observeLoad(const core::requests::RequestEvent &event);

  void perform(const core::requests::OpenSubmit &action);
  void perform(const core::requests::OpenResume &action);
  void perform(const core::requests::DropConnection &action);
  void perform(const core::requests::SendCancel &action);
  void perform(core::requests::DeliverToken action);
  void perform(core::requests::RestartAnswer action);
  void perform(core::requests::CompleteAnswer action);
  void perform(core::requests::FailAnswer action);

  struct OpenConnection {
    core::requests::ConnectionNumber Number;
    std::unique_ptr<core::backends::EngineConnection> Connection;
  };

  const RunnerContext &Context;
  std::string Prompt;
  absl::Time AdmittedAt;
  std::optional<absl::Time> LastToken;
  std::shared_ptr<EventInbox> Inbox;
  core::requests::RequestMachine Machine;
  std::vector<OpenConnection> Connections;
  std::deque<RunnerOutput> Outputs;
};

} // namespace orioletally::drivers::gateway

#endif

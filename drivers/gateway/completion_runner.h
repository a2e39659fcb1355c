#ifndef ORIOLETALLY_DRIVERS_GATEWAY_COMPLETION_RUNNER_H
#define ORIOLETALLY_DRIVERS_GATEWAY_COMPLETION_RUNNER_H

#include "core/backends/engine_client.h"
#include "core/charts/state_chart.h"
#include "core/requests/request_machine.h"
#include "drivers/gateway/background_calls.h"
#include "drivers/gateway/node_gate.h"
#include "drivers/gateway/shared_router.h"
#include "drivers/metrics/node_metrics.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace orioletally::drivers::gateway {

/// Brings events from the threads of connections to the request's own thread.
class EventInbox {
public:
  void push(core::requests::RequestEvent event);

  /// Takes the next event, or nothing once \p until has come.
  std::optional<core::requests::RequestEvent>
  take(std::chrono::steady_clock::time_point until);

private:
  std::mutex Guard;
  std::condition_variable Changed;
  std::deque<core::requests::RequestEvent> Events;
};

/// What a CompletionRunner works with; all of it outlives every runner.
struct RunnerContext {
  core::backends::EngineClient &Engines;
  SharedRouter &Router;
  const core::charts::StateChart &Chart;
  BackgroundCalls &Background;
  NodeGate &Gate;
  metrics::NodeMetrics &Metrics;
  /// Node and incarnation, as engines know the owner of a stream.
  std::string Owner;
};

using RunnerOutput =
    std::variant<core::requests::DeliverToken, core::requests::RestartAnswer,
                 core::requests::CompleteAnswer, core::requests::FailAnswer>;

/// Drives one RequestMachine on the thread of the caller's connection: it
/// waits for events, keeps the time and carries out what the machine asks.
class CompletionRunner {
public:
  /// \p isCallerGone is asked a few times a second.
  CompletionRunner(const RunnerContext &context,
                   core::requests::RequestPlan plan, std::string prompt,
                   std::function<bool()> isCallerGone);

  /// Ends the request if it still runs.
  ~CompletionRunner();
  CompletionRunner(const CompletionRunner &) = delete;
  CompletionRunner &operator=(const CompletionRunner &) = delete;

  /// Waits for the next output. After CompleteAnswer or FailAnswer there is
  /// none.
  RunnerOutput next();

  /// Whether next() would return at once.
  bool hasNext();

  const core::requests::RequestMachine &machine() const { return Machine; }
  absl::Time admitted() const { return Admitted; }

private:
  void advance();
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
    std::shared_ptr<core::backends::EngineConnection> Connection;
  };

  const RunnerContext &Context;
  std::string Prompt;
  std::function<bool()> IsCallerGone;
  absl::Time Admitted;
  absl::Time NextCheck = absl::InfinitePast();
  std::optional<absl::Time> LastToken;
  std::shared_ptr<EventInbox> Inbox;
  core::requests::RequestMachine Machine;
  std::vector<OpenConnection> Connections;
  std::deque<RunnerOutput> Outputs;
};

} // namespace orioletally::drivers::gateway

#endif

#ifndef ORIOLETALLY_TESTS_HISTORY_REQUEST_SIMULATION_H
#define ORIOLETALLY_TESTS_HISTORY_REQUEST_SIMULATION_H

#include "core/requests/request_machine.h"
#include "core/routing/fleet_router.h"
#include "tests/lab/engine_model.h"
#include "tests/support/request_fixture.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace orioletally::tests {

/// History of one request for the checks: its plan, what its caller received
/// and when it ended.
struct RequestRecord {
  core::requests::RequestPlan Plan;
  std::string Prompt;
  int FinalAnswers = 0;
  absl::Time EndedAt;
  bool Completed = false;
  core::errors::RequestError Error;
  std::string Text;
  int Restarts = 0;
  int Submits = 0;
};

/// Simulates requests, stand-in engines and the network between them in virtual
/// time. All faults and delays are drawn from the seed.
class RequestSimulation {
public:
  RequestSimulation(int engines, uint64_t seed);

  /// Schedules \p requests and, if \p withFaults, random faults. Runs until no
  /// event is left, for at most 120 s of virtual time.
  void run(int requests, bool withFaults);

  const std::vector<std::unique_ptr<RequestRecord>> &records() const {
    return Records;
  }

  /// Returns whether any engine started to run the request.
  bool wasExecuted(const std::string &requestId) const;
  int executionsOf(const std::string &requestId) const;
  /// Returns the trace of the request's state machine, one line per step.
  std::string traceOf(const std::string &requestId) const;
  int64_t heldTokens() const;

private:
  struct Engine {
    std::unique_ptr<lab::EngineModel> Model;
    /// Executions by processes that were killed.
    std::vector<lab::Execution> PastExecutions;
    bool Down = false;
    bool Refusing = false;
    bool LosingReplies = false;
    /// Accepts submits but makes no progress.
    bool Frozen = false;
    /// Incremented to silence the open connections: those opened in an earlier
    /// epoch deliver nothing more.
    int SilenceEpoch = 0;
    /// Incremented each time the engine process is killed.
    int Generation = 0;
    absl::Time StartedAt = absl::InfinitePast();
  };
  struct Connection {
    int Engine = 0;
    core::backends::StreamId Stream;
    uint64_t Offset = 0;
    int SilenceEpoch = 0;
    int Generation = 0;
    bool AcceptedSent = false;
    bool Dropped = false;
  };
  struct Request {
    RequestRecord *Record = nullptr;
    std::unique_ptr<core::requests::RequestMachine> Machine;
    std::map<core::requests::ConnectionNumber, std::shared_ptr<Connection>>
        Connections;
    absl::Time TimerAt;
  };

  void scheduleAfter(absl::Duration delay, std::function<void()> callback);
  absl::Duration networkDelay();
  int randomBelow(int n) {
    return static_cast<int>(Random() % static_cast<uint64_t>(n));
  }

  void startRequest(int n);
  void scheduleFaults();
  void handleEvent(Request &request, const core::requests::RequestEvent &event);
  void perform(Request &request, const core::requests::RequestActions &actions);
  void perform(Request &request, const core::requests::OpenSubmit &action);
  void perform(Request &request, const core::requests::OpenResume &action);
  void perform(Request &request, const core::requests::DropConnection &action);
  void perform(Request &request, const core::requests::SendCancel &action);
  void perform(Request &request, const core::requests::DeliverToken &action);
  void perform(Request &request, const core::requests::RestartAnswer &action);
  void perform(Request &request, const core::requests::CompleteAnswer &action);
  void perform(Request &request, const core::requests::FailAnswer &action);
  void setTimer(Request &request);
  void deliverFrames(Request &request, core::requests::ConnectionNumber number);
  void close(Request &request, core::requests::ConnectionNumber number,
             bool written);
  void kill(Engine &engine);
  void restart(Engine &engine);
  int engineIndex(const std::string &address) const;

  std::mt19937_64 Random;
  absl::Time Now = at(0);
  std::multimap<absl::Time, std::function<void()>> Events;
  std::vector<Engine> Engines;
  core::routing::FleetRouter Router;
  std::vector<std::unique_ptr<RequestRecord>> Records;
  std::vector<std::unique_ptr<Request>> Requests;
};

} // namespace orioletally::tests

#endif

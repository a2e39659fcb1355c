#include "tests/history/request_simulation.h"

#include <fmt/format.h>

namespace orioletally::tests {

using namespace core::requests;
using core::backends::CancelAnswer;
using core::backends::EngineSubmit;
using core::backends::Frame;
using core::backends::FrameKind;
using lab::EngineModel;
using lab::ModelStream;

namespace {

constexpr absl::Duration FrameInterval = absl::Milliseconds(10);
constexpr int64_t ArrivalPeriodMs = 20'000;
constexpr int64_t SimulationMs = 120'000;

lab::EngineModelSettings speeds() {
  lab::EngineModelSettings result;
  result.PrefillTokensPerSecond = 20'000;
  return result;
}

core::routing::RouterSettings routerSettings(uint64_t seed) {
  core::routing::RouterSettings settings;
  settings.Seed = seed;
  return settings;
}

} // namespace

RequestSimulation::RequestSimulation(int engines, uint64_t seed)
    : Random(seed), Router(routerSettings(seed)) {
  std::vector<core::platform::Vm> vms;
  for (int n = 0; n < engines; ++n) {
    Engines.emplace_back().Model = std::make_unique<EngineModel>(speeds());
    vms.push_back(engineVm(fmt::format("e{}", n), speeds().MemoryTokens,
                           speeds().PrefillTokensPerSecond));
  }
  Router.registry().replaceList(vms, Now);
}

void RequestSimulation::scheduleAfter(absl::Duration delay,
                                      std::function<void()> callback) {
  Events.emplace(Now + delay, std::move(callback));
}

absl::Duration RequestSimulation::networkDelay() {
  // One message in fifty is delayed, as by retransmission on a lossy link.
  return absl::Milliseconds(randomBelow(50) == 0 ? 300 + randomBelow(1500)
                                                 : 1 + randomBelow(8));
}

int RequestSimulation::engineIndex(const std::string &address) const {
  return std::stoi(address.substr(1));
}

void RequestSimulation::run(int requests, bool withFaults) {
  for (int n = 0; n < requests; ++n)
    scheduleAfter(absl::Milliseconds(randomBelow(ArrivalPeriodMs)),
                  [this, n] { startRequest(n); });
  if (withFaults)
    scheduleFaults();
  const absl::Time end = Now + absl::Milliseconds(SimulationMs);
  while (!Events.empty() && Events.begin()->first <= end) {
    const auto it = Events.begin();
    Now = it->first;
    const std::function<void()> callback = std::move(it->second);
    Events.erase(it);
    callback();
  }
}

void RequestSimulation::scheduleFaults() {
  const int faults = 2 + randomBelow(10);
  for (int n = 0; n < faults; ++n) {
    const auto target =
        static_cast<size_t>(randomBelow(static_cast<int>(Engines.size())));
    // 0: killed, 1: refuses submits, 2: open connections go silent, 3: loses
    // replies, 4: reported as leaving, 5: restarted, 6: frozen.
    const int kind = randomBelow(7);
    const auto begin = absl::Milliseconds(randomBelow(ArrivalPeriodMs));
    // A restart takes 5 to 64 ms, other faults last 0.2 to 6.2 s.
    const bool isRestart = kind == 5;
    const auto length = absl::Milliseconds(isRestart ? 5 + randomBelow(60)
                                                     : 200 + randomBelow(6000));
    scheduleAfter(begin, [this, target, kind] {
      Engine &engine = Engines[target];
      if (kind == 0 || kind == 5)
        kill(engine);
      else if (kind == 1)
        engine.Refusing = true;
      else if (kind == 2)
        ++engine.SilenceEpoch;
      else if (kind == 3)
        engine.LosingReplies = true;
      else if (kind == 6)
        engine.Frozen = true;
      else
        Router.registry().markLeaving(fmt::format("e{}", target), Now);
    });
    scheduleAfter(begin + length, [this, target, kind] {
      Engine &engine = Engines[target];
      if (kind == 0 || kind == 5)
        restart(engine);
      else if (kind == 6)
        engine.Frozen = false;
      else if (kind == 1)
        engine.Refusing = false;
      else if (kind == 3)
        engine.LosingReplies = false;
    });
  }
}

void RequestSimulation::kill(Engine &engine) {
  for (const lab::Execution &it : engine.Model->executions())
    engine.PastExecutions.push_back(it);
  engine.Model = std::make_unique<EngineModel>(speeds());
  engine.Down = true;
  ++engine.Generation;
}

void RequestSimulation::restart(Engine &engine) {
  if (engine.Down)
    engine.StartedAt = Now;
  engine.Down = false;
}

void RequestSimulation::startRequest(int n) {
  auto record = std::make_unique<RequestRecord>();
  record->Plan =
      planWith(profileWith({{"deadline_ms", 1500 + randomBelow(6000)},
                            {"repeatable", randomBelow(3) != 0},
                            {"queue_ms", 1000},
                            {"stall_ms", 500 + randomBelow(1000)},
                            {"connect_ms", 300}}),
               fmt::format("r-{}", n));
  record->Plan.Deadline = Now + record->Plan.Profile.deadline();
  record->Plan.Streaming = randomBelow(2) == 0;
  record->Plan.MaxTokens = 1 + randomBelow(60);
  record->Prompt = fmt::format("prompt {} {}", n, Random());
  record->Prompt.resize(400 + static_cast<size_t>(randomBelow(40'000)), 'x');
  record->Plan.PromptTokens =
      static_cast<int64_t>(record->Prompt.size()) / lab::BytesPerToken;
  auto request = std::make_unique<Request>();
  request->Record = record.get();
  request->Machine =
      std::make_unique<RequestMachine>(record->Plan, requestChart(), Router);
  Records.push_back(std::move(record));
  Requests.push_back(std::move(request));
  Request &added = *Requests.back();
  perform(added, added.Machine->start(Now));
  setTimer(added);
  if (randomBelow(20) == 0)
    scheduleAfter(absl::Milliseconds(randomBelow(2000)),
                  [this, &added] { handleEvent(added, CallerDisconnected{}); });
}

void RequestSimulation::handleEvent(Request &request,
                                    const RequestEvent &event) {
  perform(request, request.Machine->handle(event, Now));
  setTimer(request);
}

void RequestSimulation::setTimer(Request &request) {
  if (request.Machine->isDone())
    return;
  const absl::Time wake = std::max(Now, request.Machine->nextWake());
  if (wake == request.TimerAt)
    return;
  request.TimerAt = wake;
  scheduleAfter(wake - Now, [this, &request, wake] {
    if (request.TimerAt != wake || request.Machine->isDone())
      return;
    request.TimerAt = absl::InfinitePast();
    handleEvent(request, TimerFired{});
  });
}

void RequestSimulation::perform(Request &request,
                                const RequestActions &actions) {
  for (const RequestAction &it : actions)
    std::visit([&](const auto &action) { perform(request, action); }, it);
}

void RequestSimulation::perform(Request &request, const OpenSubmit &action) {
  ++request.Record->Submits;
  auto connection = std::make_shared<Connection>();
  connection->Engine = engineIndex(action.Address);
  connection->Stream = {request.Record->Plan.RequestId, action.Attempt};
  request.Connections[action.Connection] = connection;
  EngineSubmit submit;
  submit.Stream = connection->Stream;
  submit.TimeLeft = request.Record->Plan.Deadline - Now;
  submit.MaxTokens = request.Record->Plan.MaxTokens;
  submit.Prompt = request.Record->Prompt;
  const auto number = action.Connection;
  const int generation =
      Engines[static_cast<size_t>(connection->Engine)].Generation;
  scheduleAfter(networkDelay(), [this, &request, connection, submit, number,
                                 generation] {
    Engine &engine = Engines[static_cast<size_t>(connection->Engine)];
    // The connection was dropped and the engine process has been replaced, so
    // the submit can't reach the new process.
    if (connection->Dropped && engine.Generation != generation)
      return;
    connection->SilenceEpoch = engine.SilenceEpoch;
    connection->Generation = engine.Generation;
    if (engine.Down)
      return close(request, number, false);
    if (engine.Refusing)
      return handleEvent(request,
                         SubmitRefused{number, {"refusing", "", 100, false}});
    if (engine.LosingReplies && randomBelow(2) == 0) {
      // The submit reaches the engine up to 3 s after the node has seen the
      // connection fail, unless the engine process has been killed by then.
      scheduleAfter(absl::Milliseconds(randomBelow(3000)), [this, connection,
                                                            submit] {
        Engine &lateEngine = Engines[static_cast<size_t>(connection->Engine)];
        if (lateEngine.Generation == connection->Generation)
          lateEngine.Model->submit(submit, Now);
      });
      return close(request, number, true);
    }
    const auto refusal = engine.Model->submit(submit, Now);
    if (refusal.has_value())
      return handleEvent(request, SubmitRefused{number, *refusal});
    if (engine.LosingReplies)
      return close(request, number, true);
    deliverFrames(request, number);
  });
}

void RequestSimulation::perform(Request &request, const OpenResume &action) {
  auto connection = std::make_shared<Connection>();
  connection->Engine = engineIndex(action.Address);
  connection->Stream = {request.Record->Plan.RequestId, action.Attempt};
  connection->Offset = action.Offset;
  request.Connections[action.Connection] = connection;
  const auto number = action.Connection;
  scheduleAfter(networkDelay(), [this, &request, connection, number] {
    Engine &engine = Engines[static_cast<size_t>(connection->Engine)];
    connection->SilenceEpoch = engine.SilenceEpoch;
    connection->Generation = engine.Generation;
    if (engine.Down)
      return close(request, number, false);
    if (engine.Model->find(connection->Stream) == nullptr)
      return handleEvent(request, StreamNotFound{number});
    deliverFrames(request, number);
  });
}

void RequestSimulation::close(Request &request, ConnectionNumber number,
                              bool written) {
  handleEvent(request, ConnectionClosed{number, {"closed", written}});
}

void RequestSimulation::deliverFrames(Request &request,
                                      ConnectionNumber number) {
  const auto connection = request.Connections[number];
  Engine &engine = Engines[static_cast<size_t>(connection->Engine)];
  // Some frames still arrive on a connection that the machine has dropped.
  if (connection->Dropped && randomBelow(4) != 0)
    return;
  if (connection->Generation != engine.Generation) {
    close(request, number, true);
    return;
  }
  if (connection->SilenceEpoch != engine.SilenceEpoch)
    return;
  if (engine.Frozen) {
    scheduleAfter(FrameInterval,
                  [this, &request, number] { deliverFrames(request, number); });
    return;
  }
  engine.Model->advance(Now);
  const ModelStream *stream = engine.Model->find(connection->Stream);
  if (stream == nullptr)
    return close(request, number, true);
  std::vector<Frame> frames;
  Frame frame;
  frame.RequestId = connection->Stream.RequestId;
  frame.Attempt = connection->Stream.Attempt;
  if (!connection->AcceptedSent) {
    connection->AcceptedSent = true;
    frame.Kind = FrameKind::Accepted;
    frames.push_back(frame);
  }
  for (; connection->Offset < stream->Produced; ++connection->Offset) {
    frame.Kind = FrameKind::Token;
    frame.Offset = connection->Offset;
    frame.Text = lab::answerToken(stream->PromptHash, connection->Offset);
    frames.push_back(frame);
  }
  const bool isFinished = stream->isFinished();
  if (isFinished) {
    frame.Kind = FrameKind::Final;
    frame.Offset = stream->Produced;
    frame.FinishReason = "length";
    frames.push_back(frame);
  }
  for (const Frame &it : frames) {
    // Sometimes adds a frame of another request or a repeated token, which the
    // machine must drop, or leaves out a token.
    if (randomBelow(40) == 0) {
      Frame foreign = it;
      foreign.RequestId = "r-other";
      foreign.Text = "other ";
      handleEvent(request, FrameArrived{number, foreign});
    }
    if (randomBelow(200) == 0 && it.Kind == FrameKind::Token)
      continue;
    handleEvent(request, FrameArrived{number, it});
    if (randomBelow(40) == 0 && it.Kind == FrameKind::Token)
      handleEvent(request, FrameArrived{number, it});
  }
  if (isFinished) {
    engine.Model->delivered(connection->Stream);
    close(request, number, true);
    return;
  }
  scheduleAfter(FrameInterval,
                [this, &request, number] { deliverFrames(request, number); });
}

void RequestSimulation::perform(Request &request,
                                const DropConnection &action) {
  const auto it = request.Connections.find(action.Connection);
  if (it != request.Connections.end())
    it->second->Dropped = true;
}

void RequestSimulation::perform(Request &request, const SendCancel &action) {
  const core::backends::StreamId stream = {request.Record->Plan.RequestId,
                                           action.Attempt};
  const int target = engineIndex(action.Address);
  const bool isAwaited = action.Awaited;
  scheduleAfter(networkDelay(), [this, &request, stream, target, isAwaited] {
    Engine &engine = Engines[static_cast<size_t>(target)];
    std::optional<CancelAnswer> answer;
    if (!engine.Down)
      answer = CancelAnswer{engine.Model->cancel(stream, Now),
                            Now - engine.StartedAt};
    if (isAwaited)
      handleEvent(request, CancelAnswered{stream.Attempt, answer});
  });
}

void RequestSimulation::perform(Request &request, const DeliverToken &action) {
  request.Record->Text += action.Text;
}

void RequestSimulation::perform(Request &request, const RestartAnswer &) {
  request.Record->Text.clear();
  ++request.Record->Restarts;
}

void RequestSimulation::perform(Request &request, const CompleteAnswer &) {
  ++request.Record->FinalAnswers;
  request.Record->Completed = true;
  request.Record->EndedAt = Now;
}

void RequestSimulation::perform(Request &request, const FailAnswer &action) {
  ++request.Record->FinalAnswers;
  request.Record->Error = action.Error;
  request.Record->EndedAt = Now;
}

int RequestSimulation::executionsOf(const std::string &requestId) const {
  int n = 0;
  const auto count = [&](const std::vector<lab::Execution> &executions) {
    for (const lab::Execution &it : executions)
      n += it.Stream.RequestId == requestId ? 1 : 0;
  };
  for (const Engine &it : Engines) {
    count(it.PastExecutions);
    count(it.Model->executions());
  }
  return n;
}

std::string RequestSimulation::traceOf(const std::string &requestId) const {
  std::string text;
  for (const auto &request : Requests) {
    if (request->Record->Plan.RequestId != requestId)
      continue;
    for (const TraceLine &it : request->Machine->trace())
      text += fmt::format("\n  {} ms {}",
                          absl::ToInt64Milliseconds(it.At - at(0)), it.Text);
  }
  return text;
}

bool RequestSimulation::wasExecuted(const std::string &requestId) const {
  return executionsOf(requestId) > 0;
}

int64_t RequestSimulation::heldTokens() const {
  int64_t held = 0;
  for (const Engine &it : Engines)
    held += it.Model->heldTokens();
  return held;
}

} // namespace orioletally::tests

#include "tests/history/request_world.h"

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

constexpr absl::Duration PumpPause = absl::Milliseconds(10);
constexpr int64_t ArrivalsMs = 20'000;
constexpr int64_t QuietMs = 120'000;

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

RequestWorld::RequestWorld(int engines, uint64_t seed)
    : Random(seed), Router(routerSettings(seed)) {
  std::vector<core::platform::Vm> vms;
  for (int n = 0; n < engines; ++n) {
    Engines.emplace_back().Model = std::make_unique<EngineModel>(speeds());
    vms.push_back(engineVm(fmt::format("e{}", n), speeds().MemoryTokens,
                           speeds().PrefillTokensPerSecond));
  }
  Router.registry().replaceList(vms, Now);
}

void RequestWorld::after(absl::Duration delay, std::function<void()> what) {
  Events.emplace(Now + delay, std::move(what));
}

absl::Duration RequestWorld::networkDelay() {
  // One message in fifty takes long, as on a link that drops packets.
  return absl::Milliseconds(chance(50) == 0 ? 300 + chance(1500)
                                            : 1 + chance(8));
}

int RequestWorld::engineOf(const std::string &address) const {
  return std::stoi(address.substr(1));
}

void RequestWorld::run(int requests, bool withFaults) {
  for (int n = 0; n < requests; ++n)
    after(absl::Milliseconds(chance(ArrivalsMs)), [this, n] { arrive(n); });
  if (withFaults)
    scheduleFaults();
  const absl::Time end = Now + absl::Milliseconds(QuietMs);
  while (!Events.empty() && Events.begin()->first <= end) {
    const auto it = Events.begin();
    Now = it->first;
    const std::function<void()> what = std::move(it->second);
    Events.erase(it);
    what();
  }
}

void RequestWorld::scheduleFaults() {
  const int faults = 2 + chance(10);
  for (int n = 0; n < faults; ++n) {
    const auto target =
        static_cast<size_t>(chance(static_cast<int>(Engines.size())));
    const int kind = chance(7);
    const auto begin = absl::Milliseconds(chance(ArrivalsMs));
    // A restart takes a moment, other faults last for seconds.
    const bool isRestart = kind == 5;
    const auto length =
        absl::Milliseconds(isRestart ? 5 + chance(60) : 200 + chance(6000));
    after(begin, [this, target, kind] {
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
    after(begin + length, [this, target, kind] {
      Engine &engine = Engines[target];
      if (kind == 0 || kind == 5)
        revive(engine);
      else if (kind == 6)
        engine.Frozen = false;
      else if (kind == 1)
        engine.Refusing = false;
      else if (kind == 3)
        engine.LosingReplies = false;
    });
  }
}

void RequestWorld::kill(Engine &engine) {
  for (const lab::Execution &it : engine.Model->executions())
    engine.Past.push_back(it);
  engine.Model = std::make_unique<EngineModel>(speeds());
  engine.Down = true;
  ++engine.Life;
}

void RequestWorld::revive(Engine &engine) {
  if (engine.Down)
    engine.StartedAt = Now;
  engine.Down = false;
}

void RequestWorld::arrive(int n) {
  auto record = std::make_unique<RequestRecord>();
  record->Plan = planWith(profileWith({{"deadline_ms", 1500 + chance(6000)},
                                       {"repeatable", chance(3) != 0},
                                       {"queue_ms", 1000},
                                       {"stall_ms", 500 + chance(1000)},
                                       {"connect_ms", 300}}),
                          fmt::format("r-{}", n));
  record->Plan.Deadline = Now + record->Plan.Profile.deadline();
  record->Plan.Streaming = chance(2) == 0;
  record->Plan.MaxTokens = 1 + chance(60);
  record->Prompt = fmt::format("prompt {} {}", n, Random());
  record->Prompt.resize(400 + static_cast<size_t>(chance(40'000)), 'x');
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
  if (chance(20) == 0)
    after(absl::Milliseconds(chance(2000)),
          [this, &added] { feed(added, CallerDisconnected{}); });
}

void RequestWorld::feed(Request &request, const RequestEvent &event) {
  perform(request, request.Machine->handle(event, Now));
  setTimer(request);
}

void RequestWorld::setTimer(Request &request) {
  if (request.Machine->isDone())
    return;
  const absl::Time wake = std::max(Now, request.Machine->nextWake());
  if (wake == request.TimerAt)
    return;
  request.TimerAt = wake;
  after(wake - Now, [this, &request, wake] {
    if (request.TimerAt != wake || request.Machine->isDone())
      return;
    request.TimerAt = absl::InfinitePast();
    feed(request, TimerFired{});
  });
}

void RequestWorld::perform(Request &request, const RequestActions &actions) {
  for (const RequestAction &it : actions)
    std::visit([&](const auto &action) { perform(request, action); }, it);
}

void RequestWorld::perform(Request &request, const OpenSubmit &action) {
  ++request.Record->Submits;
  auto connection = std::make_shared<Connection>();
  connection->Engine = engineOf(action.Address);
  connection->Stream = {request.Record->Plan.RequestId, action.Attempt};
  request.Connections[action.Connection] = connection;
  EngineSubmit submit;
  submit.Stream = connection->Stream;
  submit.TimeLeft = request.Record->Plan.Deadline - Now;
  submit.MaxTokens = request.Record->Plan.MaxTokens;
  submit.Prompt = request.Record->Prompt;
  const auto number = action.Connection;
  const int life = Engines[static_cast<size_t>(connection->Engine)].Life;
  after(networkDelay(), [this, &request, connection, submit, number, life] {
    Engine &engine = Engines[static_cast<size_t>(connection->Engine)];
    // A connection that was closed here before it reached the process that
    // now runs can't be opened to it any more.
    if (connection->Dropped && engine.Life != life)
      return;
    connection->SilenceEpoch = engine.SilenceEpoch;
    connection->Life = engine.Life;
    if (engine.Down)
      return close(request, number, false);
    if (engine.Refusing)
      return feed(request, SubmitRefused{number, {"refusing", "", 100, false}});
    if (engine.LosingReplies && chance(2) == 0) {
      // The submit reaches the engine much later than the failure is seen.
      // but no connection outlives the process at its other end.
      after(absl::Milliseconds(chance(3000)), [this, connection, submit] {
        Engine &late = Engines[static_cast<size_t>(connection->Engine)];
        if (late.Life == connection->Life)
          late.Model->submit(submit, Now);
      });
      return close(request, number, true);
    }
    const auto refusal = engine.Model->submit(submit, Now);
    if (refusal.has_value())
      return feed(request, SubmitRefused{number, *refusal});
    if (engine.LosingReplies)
      return close(request, number, true);
    pump(request, number);
  });
}

void RequestWorld::perform(Request &request, const OpenResume &action) {
  auto connection = std::make_shared<Connection>();
  connection->Engine = engineOf(action.Address);
  connection->Stream = {request.Record->Plan.RequestId, action.Attempt};
  connection->Offset = action.Offset;
  request.Connections[action.Connection] = connection;
  const auto number = action.Connection;
  after(networkDelay(), [this, &request, connection, number] {
    Engine &engine = Engines[static_cast<size_t>(connection->Engine)];
    connection->SilenceEpoch = engine.SilenceEpoch;
    connection->Life = engine.Life;
    if (engine.Down)
      return close(request, number, false);
    if (engine.Model->find(connection->Stream) == nullptr)
      return feed(request, StreamNotFound{number});
    pump(request, number);
  });
}

void RequestWorld::close(Request &request, ConnectionNumber number,
                         bool written) {
  feed(request, ConnectionClosed{number, {"closed", written}});
}

void RequestWorld::pump(Request &request, ConnectionNumber number) {
  const auto connection = request.Connections[number];
  Engine &engine = Engines[static_cast<size_t>(connection->Engine)];
  if (connection->Dropped && chance(4) != 0)
    return;
  if (connection->Life != engine.Life) {
    close(request, number, true);
    return;
  }
  if (connection->SilenceEpoch != engine.SilenceEpoch)
    return;
  if (engine.Frozen) {
    after(PumpPause, [this, &request, number] { pump(request, number); });
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
  if (!connection->Greeted) {
    connection->Greeted = true;
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
    // A foreign and a repeated frame now and then, which must be dropped.
    if (chance(40) == 0) {
      Frame foreign = it;
      foreign.RequestId = "r-other";
      foreign.Text = "other ";
      feed(request, FrameArrived{number, foreign});
    }
    if (chance(200) == 0 && it.Kind == FrameKind::Token)
      continue;
    feed(request, FrameArrived{number, it});
    if (chance(40) == 0 && it.Kind == FrameKind::Token)
      feed(request, FrameArrived{number, it});
  }
  if (isFinished) {
    engine.Model->delivered(connection->Stream);
    close(request, number, true);
    return;
  }
  after(PumpPause, [this, &request, number] { pump(request, number); });
}

void RequestWorld::perform(Request &request, const DropConnection &action) {
  const auto it = request.Connections.find(action.Connection);
  if (it != request.Connections.end())
    it->second->Dropped = true;
}

void RequestWorld::perform(Request &request, const SendCancel &action) {
  const core::backends::StreamId stream = {request.Record->Plan.RequestId,
                                           action.Attempt};
  const int target = engineOf(action.Address);
  const bool isAwaited = action.Awaited;
  after(networkDelay(), [this, &request, stream, target, isAwaited] {
    Engine &engine = Engines[static_cast<size_t>(target)];
    std::optional<CancelAnswer> answer;
    if (!engine.Down)
      answer = CancelAnswer{engine.Model->cancel(stream, Now),
                            Now - engine.StartedAt};
    if (isAwaited)
      feed(request, CancelAnswered{stream.Attempt, answer});
  });
}

void RequestWorld::perform(Request &request, const DeliverToken &action) {
  request.Record->Text += action.Text;
}

void RequestWorld::perform(Request &request, const RestartAnswer &) {
  request.Record->Text.clear();
  ++request.Record->Restarts;
}

void RequestWorld::perform(Request &request, const CompleteAnswer &) {
  ++request.Record->FinalAnswers;
  request.Record->Completed = true;
  request.Record->EndedAt = Now;
}

void RequestWorld::perform(Request &request, const FailAnswer &action) {
  ++request.Record->FinalAnswers;
  request.Record->Error = action.Error;
  request.Record->EndedAt = Now;
}

int RequestWorld::executionsOf(const std::string &requestId) const {
  int n = 0;
  const auto count = [&](const std::vector<lab::Execution> &executions) {
    for (const lab::Execution &it : executions)
      n += it.Stream.RequestId == requestId ? 1 : 0;
  };
  for (const Engine &it : Engines) {
    count(it.Past);
    count(it.Model->executions());
  }
  return n;
}

std::string RequestWorld::traceOf(const std::string &requestId) const {
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

bool RequestWorld::wasExecuted(const std::string &requestId) const {
  return executionsOf(requestId) > 0;
}

int64_t RequestWorld::heldTokens() const {
  int64_t held = 0;
  for (const Engine &it : Engines)
    held += it.Model->heldTokens();
  return held;
}

} // namespace orioletally::tests

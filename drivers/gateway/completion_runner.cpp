#include "drivers/gateway/completion_runner.h"

#include "drivers/clock/clock.h"

#include <absl/algorithm/container.h>
#include <algorithm>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::gateway {

namespace {

using core::backends::CancelAnswer;
using core::backends::EngineRefusal;
using core::backends::Frame;
using core::backends::StreamId;
using core::requests::CallerLeft;
using core::requests::CancelAnswered;
using core::requests::CompleteAnswer;
using core::requests::ConnectionClosed;
using core::requests::ConnectionNumber;
using core::requests::DeliverToken;
using core::requests::DrainBoundReached;
using core::requests::DropConnection;
using core::requests::FailAnswer;
using core::requests::FrameArrived;
using core::requests::OpenResume;
using core::requests::OpenSubmit;
using core::requests::RequestEvent;
using core::requests::RestartAnswer;
using core::requests::SendCancel;
using core::requests::StreamNotFound;
using core::requests::SubmitRefused;
using core::requests::TimerFired;

/// How often a waiting request looks whether its caller is still there.
constexpr absl::Duration CallerCheck = absl::Milliseconds(200);
constexpr absl::Duration CancelCallBound = absl::Milliseconds(400);

/// Turns what happens on one connection into events of the request.
class InboxObserver : public core::backends::StreamObserver {
public:
  InboxObserver(std::shared_ptr<EventInbox> target, ConnectionNumber number)
      : Inbox(std::move(target)), Number(number) {}

  void frame(Frame frame) override {
    Inbox->push(FrameArrived{Number, std::move(frame)});
  }
  void refused(EngineRefusal refusal) override {
    Inbox->push(SubmitRefused{Number, std::move(refusal)});
  }
  void unknownStream() override { Inbox->push(StreamNotFound{Number}); }
  void closed(core::backends::BackendError error) override {
    Inbox->push(ConnectionClosed{Number, std::move(error)});
  }

private:
  std::shared_ptr<EventInbox> Inbox;
  ConnectionNumber Number;
};

std::optional<CancelAnswer> cancelNow(core::backends::EngineClient &engines,
                                      const std::string &address,
                                      const StreamId &stream) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<CancelAnswer>> {
        BOOST_LEAF_AUTO(state,
                        engines.cancel(address, stream, CancelCallBound));
        return std::optional<CancelAnswer>(state);
      },
      [] { return std::optional<CancelAnswer>(); });
}

} // namespace

void EventInbox::push(RequestEvent event) {
  {
    const std::lock_guard lock(Guard);
    Events.push_back(std::move(event));
  }
  Changed.notify_one();
}

std::optional<RequestEvent>
EventInbox::take(std::chrono::steady_clock::time_point until) {
  std::unique_lock lock(Guard);
  if (!Changed.wait_until(lock, until, [this] { return !Events.empty(); }))
    return std::nullopt;
  RequestEvent event = std::move(Events.front());
  Events.pop_front();
  return event;
}

CompletionRunner::CompletionRunner(const RunnerContext &context,
                                   core::requests::RequestPlan plan,
                                   std::string prompt,
                                   std::function<bool()> isCallerGone)
    : Context(context), Prompt(std::move(prompt)),
      IsCallerGone(std::move(isCallerGone)), Admitted(clock::steadyNow()),
      Inbox(std::make_shared<EventInbox>()),
      Machine(std::move(plan), context.Chart, context.Router) {
  perform(Machine.start(Admitted));
}

CompletionRunner::~CompletionRunner() {
  if (!Machine.isDone())
    feed(CallerLeft{});
  for (const OpenConnection &it : Connections)
    it.Connection->stop();
  Context.Metrics.retried(Machine.attemptsMade());
  Context.Metrics.framesDropped(Machine.dropped().total());
}

bool CompletionRunner::hasNext() {
  if (Outputs.empty()) {
    // Events that are already here may hold an output.
    const auto now = std::chrono::steady_clock::now();
    while (Outputs.empty() && !Machine.isDone()) {
      const std::optional<RequestEvent> event = Inbox->take(now);
      if (!event.has_value())
        break;
      feed(*event);
    }
  }
  return !Outputs.empty();
}

RunnerOutput CompletionRunner::next() {
  while (Outputs.empty())
    advance();
  RunnerOutput output = std::move(Outputs.front());
  Outputs.pop_front();
  return output;
}

void CompletionRunner::advance() {
  const absl::Time now = clock::steadyNow();
  // A stream whose tokens come quickly is looked after as often as a silent
  // one.
  if (now >= NextCheck) {
    NextCheck = now + CallerCheck;
    if (IsCallerGone())
      return feed(CallerLeft{});
    if (Context.Gate.isCutOff())
      return feed(DrainBoundReached{});
  }
  const absl::Time until = std::min(Machine.nextWake(), NextCheck);
  if (auto event = Inbox->take(clock::waitPoint(until, now)))
    feed(*event);
  else
    feed(TimerFired{});
}

void CompletionRunner::feed(const RequestEvent &event) {
  observeLoad(event);
  perform(Machine.handle(event, clock::steadyNow()));
}

void CompletionRunner::observeLoad(const RequestEvent &event) {
  const auto *arrived = std::get_if<FrameArrived>(&event);
  if (arrived == nullptr)
    return;
  const Frame &frame = arrived->Frame;
  if (!frame.Load.has_value() && !frame.Draining)
    return;
  Context.Router.withRegistry([&](core::routing::BackendRegistry &registry) {
    const absl::Time now = clock::steadyNow();
    if (frame.Draining)
      registry.markLeaving(Machine.backend(), now);
    if (frame.Load.has_value())
      registry.report(Machine.backend(), *frame.Load, now);
  });
}

void CompletionRunner::perform(core::requests::RequestActions actions) {
  for (auto &it : actions)
    std::visit([this](auto &action) { perform(std::move(action)); }, it);
}

void CompletionRunner::perform(const OpenSubmit &action) {
  const core::requests::RequestPlan &plan = Machine.plan();
  const absl::Time now = clock::steadyNow();
  core::backends::EngineSubmit submit;
  submit.Stream = {plan.RequestId, action.Attempt};
  submit.Owner = Context.Owner;
  submit.TimeLeft = plan.Deadline - now;
  submit.Priority = core::requests::enginePriority(plan.Profile.priority(),
                                                   plan.PromptTokens);
  submit.MaxTokens = plan.MaxTokens;
  submit.Model = plan.Profile.model();
  submit.CacheSalt = plan.Workspace;
  submit.Prompt = Prompt;
  Context.Metrics.queueWait(now - Admitted);
  auto observer = std::make_shared<InboxObserver>(Inbox, action.Connection);
  Connections.push_back(
      {action.Connection,
       Context.Engines.submit(action.Address, std::move(submit),
                              plan.Profile.connectBound(),
                              std::move(observer))});
}

void CompletionRunner::perform(const OpenResume &action) {
  const core::requests::RequestPlan &plan = Machine.plan();
  auto observer = std::make_shared<InboxObserver>(Inbox, action.Connection);
  Connections.push_back(
      {action.Connection,
       Context.Engines.resume(action.Address, {plan.RequestId, action.Attempt},
                              action.Offset, plan.Profile.connectBound(),
                              std::move(observer))});
}

void CompletionRunner::perform(const DropConnection &action) {
  const auto it = absl::c_find_if(Connections, [&](const OpenConnection &open) {
    return open.Number == action.Connection;
  });
  if (it == Connections.end())
    return;
  // The connection's thread may need a moment to end, which no caller should
  // wait for.
  std::shared_ptr<core::backends::EngineConnection> dropped =
      std::move(it->Connection);
  Connections.erase(it);
  dropped->stop();
  Context.Background.submit([dropped] { dropped->stop(); });
}

void CompletionRunner::perform(const SendCancel &action) {
  const StreamId stream{Machine.plan().RequestId, action.Attempt};
  std::shared_ptr<EventInbox> inbox = action.Awaited ? Inbox : nullptr;
  Context.Background.submit(
      [&engines = Context.Engines, address = action.Address, stream, inbox] {
        const std::optional<CancelAnswer> answer =
            cancelNow(engines, address, stream);
        if (inbox != nullptr)
          inbox->push(CancelAnswered{stream.Attempt, answer});
      });
}

void CompletionRunner::perform(DeliverToken action) {
  const absl::Time now = clock::steadyNow();
  const core::requests::RequestPlan &plan = Machine.plan();
  if (LastToken.has_value())
    Context.Metrics.tokenGap(now - *LastToken);
  else
    Context.Metrics.firstToken(core::requests::lengthClassOf(plan.PromptTokens),
                               plan.Profile.Name, now - Admitted);
  LastToken = now;
  Outputs.emplace_back(std::move(action));
}

void CompletionRunner::perform(RestartAnswer action) {
  Outputs.emplace_back(action);
}

void CompletionRunner::perform(CompleteAnswer action) {
  Context.Metrics.finished(Machine.plan().Profile.Name);
  Outputs.emplace_back(std::move(action));
}

void CompletionRunner::perform(FailAnswer action) {
  Context.Metrics.refused(action.Error);
  Outputs.emplace_back(std::move(action));
}

} // namespace orioletally::drivers::gateway

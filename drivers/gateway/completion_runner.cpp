#include "drivers/gateway/completion_runner.h"

#include "drivers/clock/clock.h"

#include <absl/algorithm/container.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::gateway {

namespace {

using core::backends::CancelAnswer;
using core::backends::EngineRefusal;
using core::backends::Frame;
using core::backends::StreamId;
using core::requests::CallerDisconnected;
using core::requests::CancelAnswered;
using core::requests::CompleteAnswer;
using core::requests::ConnectionClosed;
using core::requests::ConnectionNumber;
using core::requests::DeliverToken;
using core::requests::DrainTimeoutExpired;
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

/// How often a waiting request checks whether the node aborts its requests.
constexpr absl::Duration AbortCheckPeriod = absl::Milliseconds(200);
constexpr absl::Duration CancelCallTimeout = absl::Milliseconds(400);

/// Forwards what happens on one connection to the request as events.
class InboxObserver : public core::backends::StreamObserver {
public:
  InboxObserver(std::shared_ptr<EventInbox> inbox, ConnectionNumber number)
      : Inbox(std::move(inbox)), Number(number) {}

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
                        engines.cancel(address, stream, CancelCallTimeout));
        return std::optional<CancelAnswer>(state);
      },
      [] { return std::optional<CancelAnswer>(); });
}

} // namespace

void EventInbox::push(RequestEvent event) {
  Events.push_back(std::move(event));
  Arrived.cancel();
}

std::optional<RequestEvent> EventInbox::tryTake() {
  if (Events.empty())
    return std::nullopt;
  RequestEvent event = std::move(Events.front());
  Events.pop_front();
  return event;
}

asio::awaitable<void> EventInbox::wait(absl::Duration timeout) {
  if (!Events.empty()) {
    co_return;
  }
  Arrived.expires_after(absl::ToChronoNanoseconds(timeout));
  co_await Arrived.async_wait(loop::AsTuple);
}

CompletionRunner::CompletionRunner(const RunnerContext &context,
                                   core::requests::RequestPlan plan,
                                   std::string prompt)
    : Context(context), Prompt(std::move(prompt)),
      AdmittedAt(clock::steadyNow()),
      Inbox(std::make_shared<EventInbox>(context.Loop)),
      Machine(std::move(plan), context.Chart, context.Router) {
  perform(Machine.start(AdmittedAt));
}

CompletionRunner::~CompletionRunner() {
  if (!Machine.isDone())
    feed(CallerDisconnected{});
  Context.Metrics.retried(Machine.attemptsMade());
  Context.Metrics.framesDropped(Machine.dropped().total());
}

std::optional<RunnerOutput> CompletionRunner::tryNext() {
  while (Outputs.empty() && !Machine.isDone()) {
    const std::optional<RequestEvent> event = Inbox->tryTake();
    if (!event.has_value())
      return std::nullopt;
    feed(*event);
  }
  if (Outputs.empty())
    return std::nullopt;
  RunnerOutput output = std::move(Outputs.front());
  Outputs.pop_front();
  return output;
}

asio::awaitable<RunnerOutput> CompletionRunner::next() {
  while (true) {
    std::optional<RunnerOutput> output = tryNext();
    if (output.has_value()) {
      co_return *std::move(output);
    }
    co_await advance();
  }
}

void CompletionRunner::callerDisconnected() {
  Inbox->push(CallerDisconnected{});
}

asio::awaitable<void> CompletionRunner::advance() {
  if (Context.Gate.isAborting()) {
    feed(DrainTimeoutExpired{});
    co_return;
  }
  const absl::Time now = clock::steadyNow();
  const absl::Time wake = Machine.nextWake();
  co_await Inbox->wait(std::min(wake - now, AbortCheckPeriod));
  // Events that have arrived are handled before an expired timer.
  if (std::optional<RequestEvent> event = Inbox->tryTake()) {
    feed(*event);
    co_return;
  }
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
  Context.Metrics.queueWait(now - AdmittedAt);
  auto observer = std::make_shared<InboxObserver>(Inbox, action.Connection);
  Connections.push_back(
      {action.Connection,
       Context.Engines.submit(action.Address, std::move(submit),
                              plan.Profile.connectTimeout(),
                              std::move(observer))});
}

void CompletionRunner::perform(const OpenResume &action) {
  const core::requests::RequestPlan &plan = Machine.plan();
  auto observer = std::make_shared<InboxObserver>(Inbox, action.Connection);
  Connections.push_back(
      {action.Connection,
       Context.Engines.resume(action.Address, {plan.RequestId, action.Attempt},
                              action.Offset, plan.Profile.connectTimeout(),
                              std::move(observer))});
}

void CompletionRunner::perform(const DropConnection &action) {
  const auto it = absl::c_find_if(Connections, [&](const OpenConnection &open) {
    return open.Number == action.Connection;
  });
  if (it == Connections.end())
    return;
  Connections.erase(it);
}

void CompletionRunner::perform(const SendCancel &action) {
  const StreamId stream{Machine.plan().RequestId, action.Attempt};
  std::shared_ptr<EventInbox> inbox = action.Awaited ? Inbox : nullptr;
  Context.Background.submit([&engines = Context.Engines, &loop = Context.Loop,
                             address = action.Address, stream, inbox] {
    const std::optional<CancelAnswer> answer =
        cancelNow(engines, address, stream);
    if (inbox == nullptr)
      return;
    asio::post(loop, [inbox, event = CancelAnswered{stream.Attempt, answer}] {
      inbox->push(event);
    });
  });
}

void CompletionRunner::perform(DeliverToken action) {
  const absl::Time now = clock::steadyNow();
  const core::requests::RequestPlan &plan = Machine.plan();
  if (LastToken.has_value())
    Context.Metrics.tokenGap(now - *LastToken);
  else
    Context.Metrics.firstToken(core::requests::lengthClassOf(plan.PromptTokens),
                               plan.Profile.Name, now - AdmittedAt);
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

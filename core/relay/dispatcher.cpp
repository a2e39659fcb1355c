#include "core/relay/dispatcher.h"

#include <absl/random/distributions.h>
#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <numeric>
#include <utility>

namespace orioletally::core::relay {

namespace {

using errors::ErrorCode;
using errors::RequestError;
using fleet::BackendServer;

/// Bits of a load id that count the attempts of one node.
constexpr int LoadIdBits = 24;

/// Callers leave a stream after the longest of these: a floor, and multiples
/// of the objectives for the first event and for pauses.
constexpr absl::Duration LeastPatience = absl::Seconds(2);
constexpr double PatiencePerObjective = 4;
constexpr double PatiencePerGap = 8;
/// A first event that is predicted later than this many objectives isn't waited
/// for: the engines would be as busy with it as with one that is in time, and
/// every later call would be late as well. Its caller is told when to return.
constexpr double LateFactor = 1.2;
/// The same for prompts that are urgent. They are soon read, and a caller that
/// comes back after a refusal has no less to wait, is late then and may have no
/// further try.
constexpr double UrgentLateFactor = 2;
/// Part of a caller's patience that a prediction may use up.
constexpr double PatienceShare = 0.85;

/// Cost of a call to another availability zone: the way there and back and
/// the price of its bytes, in time.
constexpr absl::Duration OtherZoneHandicap = absl::Milliseconds(7);
/// Cost of a backend server that failed all of its recent calls.
constexpr absl::Duration FailureHandicap = absl::Seconds(2);
/// Cost of each call in progress of this node at a plain backend server, in
/// shares of its slots.
constexpr absl::Duration BusyHandicap = absl::Milliseconds(60);
/// Spreads calls over plain backend servers that are equally good.
constexpr absl::Duration PlainJitter = absl::Milliseconds(4);
/// When to come back if nothing tells when a backend server will be there.
constexpr absl::Duration UsualComeBack = absl::Milliseconds(300);
constexpr absl::Duration LeastComeBack = absl::Milliseconds(50);
constexpr absl::Duration LongestComeBack = absl::Seconds(3);
/// Bound on what a caller may announce.
constexpr int64_t MaxAnswerTokens = 1 << 20;

absl::Duration patience(const CallDemand &demand, absl::Time now) {
  const routes::Route &route = *demand.Route;
  const absl::Duration whole =
      std::max({LeastPatience, PatiencePerObjective * route.Objective,
                PatiencePerGap * route.GapObjective});
  const double lateFactor =
      engines::isUrgent(demand.PromptTokens) ? UrgentLateFactor : LateFactor;
  return std::min({PatienceShare * whole - (now - demand.ArrivedAt),
                   lateFactor * route.Objective, demand.Deadline - now});
}

RequestError noBackend(const std::string &service, absl::Duration comeBackIn) {
  return errors::RequestErrorBuilder(
             ErrorCode::NoBackend,
             fmt::format("service {} has no backend server", service))
      .rule("backend list")
      .retryAfterMs(absl::ToInt64Milliseconds(comeBackIn))
      .build();
}

RequestError allPaused(const std::string &service, absl::Duration comeBackIn) {
  return errors::RequestErrorBuilder(
             ErrorCode::Overloaded,
             fmt::format("all backend servers of service {} asked for a pause",
                         service))
      .rule("pause asked for by backend servers")
      .retryAfterMs(absl::ToInt64Milliseconds(
          absl::Ceil(comeBackIn, absl::Milliseconds(1))))
      .build();
}

RequestError tooBusy(const std::string &service, absl::Duration comeBackIn) {
  const absl::Duration in =
      std::clamp(comeBackIn, LeastComeBack, LongestComeBack);
  return errors::RequestErrorBuilder(
             ErrorCode::Overloaded,
             fmt::format("service {} can't answer in time", service))
      .rule("predicted first token")
      .retryAfterMs(absl::ToInt64Milliseconds(in))
      .build();
}

} // namespace

Dispatcher::Dispatcher(const DispatcherSettings &wanted)
    : Settings(wanted), Random(wanted.Seed),
      NextLoadId(wanted.Incarnation << LoadIdBits) {}

void Dispatcher::arrived(const std::string &service, absl::Time now) {
  budget(service).arrived(now);
}

void Dispatcher::setRetries(const limits::WindowBudgetSettings &wanted) {
  Settings.Retries = wanted;
  for (auto &[service, it] : Budgets)
    it.setBound(wanted);
}

void Dispatcher::setNodes(size_t n) {
  Nodes = n;
  for (auto &[service, it] : Budgets)
    it.setNodes(n);
}

bool Dispatcher::tryRetry(const std::string &service, absl::Time now) {
  return budget(service).tryTake(now);
}

limits::WindowBudget &Dispatcher::budget(const std::string &service) {
  const auto found = Budgets.find(service);
  if (found != Budgets.end())
    return found->second;
  limits::WindowBudget fresh(Settings.Retries);
  fresh.setNodes(Nodes);
  return Budgets.emplace(service, std::move(fresh)).first->second;
}

std::variant<Dispatch, RequestError>
Dispatcher::choose(const CallDemand &demand, absl::Time now) {
  const std::string &name = pickService(demand, now);
  const routes::Service *service = demand.Config->service(name);
  if (service != nullptr && service->Engine.has_value())
    return chooseEngine(demand, *service, now);
  return choosePlain(demand, name, now);
}

const std::string &Dispatcher::pickService(const CallDemand &demand,
                                           absl::Time now) {
  const std::vector<routes::RouteTarget> &targets = demand.Route->Targets;
  double total = 0;
  std::vector<const routes::RouteTarget *> alive;
  for (const routes::RouteTarget &it : targets) {
    if (it.Weight <= 0 || Directory.usable(it.Service, now).empty())
      continue;
    alive.push_back(&it);
    total += it.Weight;
  }
  if (alive.size() < 2)
    return alive.empty() ? targets.front().Service : alive.front()->Service;
  double left = absl::Uniform(Random, 0.0, total);
  for (const routes::RouteTarget *it : alive) {
    left -= it->Weight;
    if (left < 0)
      return it->Service;
  }
  return alive.back()->Service;
}

std::vector<std::shared_ptr<BackendServer>>
Dispatcher::candidates(const CallDemand &demand, const std::string &service,
                       absl::Time now) const {
  std::vector<std::shared_ptr<BackendServer>> untried =
      Directory.usable(service, now);
  std::erase_if(untried, [&](const std::shared_ptr<BackendServer> &it) {
    return std::find(demand.Tried.begin(), demand.Tried.end(), it->Entry.Id) !=
           demand.Tried.end();
  });
  std::erase_if(untried, [&](const std::shared_ptr<BackendServer> &it) {
    return it->Health.isPaused(now);
  });
  std::vector<std::shared_ptr<BackendServer>> result;
  for (const std::shared_ptr<BackendServer> &it : untried)
    if (it->Health.acceptsCalls(now))
      result.push_back(it);
  if (!result.empty())
    return result;
  // All are closed: the one whose trial comes first is the best guess.
  const auto first = std::min_element(
      untried.begin(), untried.end(), [](const auto &left, const auto &right) {
        return left->Health.backoffUntil() < right->Health.backoffUntil();
      });
  if (first != untried.end())
    result.push_back(*first);
  return result;
}

absl::Time Dispatcher::pauseEnd(const std::string &service,
                                absl::Time now) const {
  absl::Time first = absl::InfiniteFuture();
  for (const std::shared_ptr<BackendServer> &it :
       Directory.usable(service, now)) {
    if (!it->Health.isPaused(now))
      return now;
    first = std::min(first, it->Health.pausedUntil());
  }
  return first == absl::InfiniteFuture() ? now : first;
}

absl::Duration Dispatcher::comeBackIn(const std::string &service,
                                      absl::Duration usual,
                                      absl::Time now) const {
  return std::max(usual, pauseEnd(service, now) - now);
}

RequestError Dispatcher::noneLeft(const std::string &service,
                                  absl::Time now) const {
  const absl::Time end = pauseEnd(service, now);
  return end > now ? allPaused(service, end - now)
                   : noBackend(service, UsualComeBack);
}

absl::Duration Dispatcher::handicap(const BackendServer &server) const {
  const absl::Duration way = server.Entry.Zone == Settings.Zone
                                 ? absl::ZeroDuration()
                                 : OtherZoneHandicap;
  return way + server.Health.failureShare() * FailureHandicap;
}

std::variant<Dispatch, RequestError>
Dispatcher::chooseEngine(const CallDemand &demand,
                         const routes::Service &service, absl::Time now) {
  const engines::EngineSpeed &speed = *service.Engine;
  const std::vector<std::shared_ptr<BackendServer>> open =
      candidates(demand, service.Name, now);
  if (open.empty())
    return noneLeft(service.Name, now);
  std::vector<engines::EngineCandidate> engineViews;
  for (const std::shared_ptr<BackendServer> &it : open) {
    it->Load.advance(now, speed);
    engineViews.push_back({&it->Load, it->OrderPosition,
                           it->Health.slowdownRatio(), handicap(*it)});
  }
  engines::PromptDemand prompt;
  prompt.PromptTokens = demand.PromptTokens;
  prompt.AnswerTokens = std::min(
      demand.AnswerTokens > 0 ? demand.AnswerTokens : speed.UsualAnswerTokens,
      MaxAnswerTokens);
  prompt.Objective = demand.Route->Objective - (now - demand.ArrivedAt);
  prompt.Patience = patience(demand, now);
  if (demand.Route->GapObjective > absl::ZeroDuration())
    prompt.Gap = demand.Route->GapObjective;
  const engines::PlacementResult placed =
      engines::placePrompt(prompt, engineViews, speed, Random);
  if (!placed.Choice.has_value())
    return placed.Refusal.TooLarge
               ? errors::refusal(ErrorCode::PayloadTooLarge,
                                 "the engines can't hold the prompt",
                                 "engine memory")
               : tooBusy(service.Name, placed.Refusal.ComeBackIn);
  Dispatch result;
  result.Server = open[placed.Choice->Engine];
  for (const size_t n : placed.Choice->Helpers)
    result.Helpers.push_back(open[n]);
  result.Reserved = placed.Choice->Reserved;
  result.PredictedFirstToken = placed.Choice->PredictedFirstToken;
  result.Speed = &speed;
  result.Config = demand.Config;
  result.PromptTokens = prompt.PromptTokens;
  result.AnswerTokens = prompt.AnswerTokens;
  result.Gap = prompt.Gap;
  return result;
}

std::variant<Dispatch, RequestError>
Dispatcher::choosePlain(const CallDemand &demand, const std::string &service,
                        absl::Time now) {
  const std::vector<std::shared_ptr<BackendServer>> open =
      candidates(demand, service, now);
  const std::shared_ptr<BackendServer> *best = nullptr;
  absl::Duration bestCost = absl::InfiniteDuration();
  for (const std::shared_ptr<BackendServer> &it : open) {
    const double busy =
        static_cast<double>(it->InFlight) /
        static_cast<double>(std::max<int64_t>(1, it->Entry.Slots));
    const absl::Duration cost = handicap(*it) + busy * BusyHandicap +
                                absl::Uniform(Random, 0.0, 1.0) * PlainJitter;
    if (cost >= bestCost)
      continue;
    bestCost = cost;
    best = &it;
  }
  if (best == nullptr)
    return noneLeft(service, now);
  Dispatch result;
  result.Server = *best;
  result.Config = demand.Config;
  return result;
}

void Dispatcher::tellPart(const Dispatch &dispatch, const BackendServer &server,
                          NewsKind kind, const engines::RunningPrompt &prompt) {
  if (!Tell)
    return;
  PromptNews news;
  news.Kind = kind;
  news.EngineHash = fleet::BackendDirectory::hashOf(server.Entry.Id);
  news.LoadId = dispatch.LoadId;
  news.ReadTokens = prompt.ReadTokens;
  news.PromptTokens = prompt.PromptTokens;
  news.AnswerTokens = prompt.AnswerTokens;
  news.HeldTokens = prompt.HeldTokens;
  if (prompt.Gap != absl::InfiniteDuration())
    news.GapMs = absl::ToInt64Milliseconds(prompt.Gap);
  Tell(news);
}

void Dispatcher::sent(Dispatch &dispatch, absl::Time now) {
  dispatch.LoadId = ++NextLoadId;
  dispatch.SentAt = now;
  ++dispatch.Server->InFlight;
  dispatch.Server->Health.recordSend(now);
  if (dispatch.Speed == nullptr)
    return;
  engines::RunningPrompt prompt;
  prompt.Id = dispatch.LoadId;
  prompt.ReadTokens =
      engines::partTokens(dispatch.PromptTokens, dispatch.Helpers.size());
  prompt.PromptTokens = dispatch.PromptTokens;
  prompt.AnswerTokens = dispatch.AnswerTokens;
  prompt.HeldTokens = std::accumulate(
      dispatch.Reserved.begin(), dispatch.Reserved.end(),
      dispatch.PromptTokens + dispatch.AnswerTokens, std::minus<>());
  prompt.Gap = dispatch.Gap;
  dispatch.Server->Load.add(prompt, now, *dispatch.Speed);
  tellPart(dispatch, *dispatch.Server, NewsKind::Sent, prompt);
  prompt.AnswerTokens = 0;
  prompt.Gap = absl::InfiniteDuration();
  for (size_t n = 0; n < dispatch.Helpers.size(); ++n) {
    prompt.HeldTokens = dispatch.Reserved[n];
    dispatch.Helpers[n]->Load.add(prompt, now, *dispatch.Speed);
    tellPart(dispatch, *dispatch.Helpers[n], NewsKind::Sent, prompt);
  }
}

void Dispatcher::firstToken(Dispatch &dispatch, absl::Time now) {
  if (dispatch.Speed == nullptr || dispatch.IsFirstTokenSeen)
    return;
  dispatch.IsFirstTokenSeen = true;
  dispatch.Server->Load.firstToken(dispatch.LoadId, now, *dispatch.Speed);
  dispatch.Server->Health.observeLatency(now - dispatch.SentAt,
                                         dispatch.PredictedFirstToken);
  tellPart(dispatch, *dispatch.Server, NewsKind::FirstToken, {});
  for (const std::shared_ptr<BackendServer> &it : dispatch.Helpers) {
    it->Load.firstToken(dispatch.LoadId, now, *dispatch.Speed);
    tellPart(dispatch, *it, NewsKind::FirstToken, {});
  }
}

void Dispatcher::ended(Dispatch &dispatch, AttemptEnd end, absl::Time now) {
  --dispatch.Server->InFlight;
  const std::optional<fleet::HealthSignal> sign = healthSign(end);
  if (sign.has_value())
    dispatch.Server->Health.observe(*sign, now);
  if (dispatch.Speed == nullptr)
    return;
  dispatch.Server->Load.remove(dispatch.LoadId, now, *dispatch.Speed);
  tellPart(dispatch, *dispatch.Server, NewsKind::Ended, {});
  for (size_t n = 0; n < dispatch.Helpers.size(); ++n) {
    if (dispatch.IsFirstTokenSeen && dispatch.Reserved[n] == 0)
      continue;
    dispatch.Helpers[n]->Load.remove(dispatch.LoadId, now, *dispatch.Speed);
    tellPart(dispatch, *dispatch.Helpers[n], NewsKind::Ended, {});
  }
}

void Dispatcher::reportLost(const std::string &id, absl::Time now) {
  if (const std::shared_ptr<BackendServer> server = Directory.find(id))
    server->Health.observe(fleet::HealthSignal::Lost, now);
}

void Dispatcher::takeNews(const PromptNews &news, absl::Time now) {
  const std::shared_ptr<BackendServer> server =
      Directory.findByHash(news.EngineHash);
  if (server == nullptr || Config == nullptr)
    return;
  const routes::Service *service = Config->service(server->Entry.Service);
  if (service == nullptr || !service->Engine.has_value())
    return;
  const engines::EngineSpeed &speed = *service->Engine;
  switch (news.Kind) {
  case NewsKind::Sent: {
    engines::RunningPrompt prompt;
    prompt.Id = news.LoadId;
    prompt.ReadTokens = news.ReadTokens;
    prompt.PromptTokens = news.PromptTokens;
    prompt.AnswerTokens = news.AnswerTokens;
    prompt.HeldTokens = news.HeldTokens;
    if (news.GapMs > 0)
      prompt.Gap = absl::Milliseconds(news.GapMs);
    server->Load.add(prompt, now, speed);
    return;
  }
  case NewsKind::FirstToken:
    server->LastReceivedAt = now;
    server->Load.firstToken(news.LoadId, now, speed);
    return;
  case NewsKind::Ended:
    server->Load.remove(news.LoadId, now, speed);
    return;
  }
}

} // namespace orioletally::core::relay

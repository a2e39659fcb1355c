#include "core/relay/dispatcher.h"

#include "core/fleet/name_hash.h"

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

/// Low bits of a load id, which number the attempts of one node.
constexpr int LoadIdBits = 24;

/// Callers of a stream disconnect after the longest of these: a minimum, and
/// multiples of the objectives for the first event and for gaps.
constexpr absl::Duration MinCallerTimeout = absl::Seconds(2);
constexpr double CallerTimeoutPerObjective = 4;
constexpr double CallerTimeoutPerGapObjective = 8;
/// A call is refused when its first event is predicted to take longer than this
/// many objectives, and its caller is told when to retry. It would cost the
/// engines as much as a call that is on time and would make every later call
/// late as well.
constexpr double MaxObjectiveRatio = 1.2;
/// The same for urgent prompts, which are prefilled quickly. A caller that
/// retries after a refusal waits just as long, is late by then and may have no
/// attempt left.
constexpr double UrgentMaxObjectiveRatio = 2;
/// Share of the caller's timeout that the predicted first event may use.
constexpr double CallerTimeoutShare = 0.85;

/// Cost of a call to another availability zone: the round trip and the price of
/// the traffic, expressed as time.
constexpr absl::Duration OtherZonePenalty = absl::Milliseconds(7);
/// Cost of a backend server that failed all of its recent calls; proportional
/// to the share of failed calls.
constexpr absl::Duration FailurePenalty = absl::Seconds(2);
/// Cost of a plain backend server whose slots are all taken by calls of this
/// node; proportional to the share of slots taken.
constexpr absl::Duration BusyPenalty = absl::Milliseconds(60);
/// Maximum random cost that spreads calls over equally good plain backend
/// servers.
constexpr absl::Duration PlainJitter = absl::Milliseconds(4);
/// Share of the objective within which the first token of another cell's prompt
/// must be predicted at engines with a backlog. First tokens of long prompts
/// come at 1.6 to 3 times the predicted time under load (part 6 of
/// docs/design/hard-load.md), and a cell whose own prompts are late must take
/// none of others.
constexpr double BusyOfferObjectiveShare = 0.5;
/// Retry delay when it is unknown when a backend server becomes available.
constexpr absl::Duration DefaultRetryAfter = absl::Milliseconds(300);
constexpr absl::Duration MinRetryAfter = absl::Milliseconds(50);
/// Maximum random addition to the retry delay while backend servers are at
/// their request limits.
constexpr absl::Duration LimitedRetrySpread = absl::Milliseconds(500);
constexpr absl::Duration MaxRetryAfter = absl::Seconds(3);
/// Retry delay while all backend servers are in evacuated availability zones.
/// Operators end an evacuation by hand, so earlier retries would be refused.
constexpr absl::Duration EvacuatedRetryAfter = absl::Seconds(3);
/// Limit on the answer length that a caller may announce.
constexpr int64_t MaxAnswerTokens = 1 << 20;

/// Returns the low bits of the hash of \p name; never 0, which stands for none.
uint32_t shortHash(std::string_view name) {
  return std::max<uint32_t>(1, static_cast<uint32_t>(fleet::nameHash(name)));
}

/// Returns an engine's work for \p demand. Decoding shares an engine between
/// its slots.
absl::Duration engineWork(const engines::PromptDemand &demand,
                          const engines::EngineSpeed &speed) {
  return engines::prefillTime(speed, demand.PromptTokens, demand.PromptTokens) +
         static_cast<double>(demand.AnswerTokens) * speed.Step /
             static_cast<double>(std::max<int64_t>(1, speed.Slots));
}

/// Returns the time to the first token of a prompt on idle engines, if it is
/// prefilled by an engine with \p helpers helpers.
absl::Duration idleFirstToken(int64_t promptTokens, size_t helpers,
                              const engines::EngineSpeed &speed) {
  return engines::EngineLoad().predictFirstToken(
      engines::partTokens(promptTokens, helpers), promptTokens, speed, 1);
}

RequestError noBackendError(const std::string &service,
                            absl::Duration retryAfter) {
  return errors::RequestErrorBuilder(
             ErrorCode::NoBackend,
             fmt::format("service {} has no backend server", service))
      .rule("backend list")
      .retryAfterMs(absl::ToInt64Milliseconds(retryAfter))
      .build();
}

RequestError evacuatedError(const std::string &service) {
  return errors::RequestErrorBuilder(
             ErrorCode::NoBackend,
             fmt::format("all backend servers of service {} are in evacuated "
                         "availability zones",
                         service))
      .rule("evacuation")
      .retryAfterMs(absl::ToInt64Milliseconds(EvacuatedRetryAfter))
      .build();
}

/// When \p server may be sent a call, regardless of its health.
absl::Time unblockedAt(const BackendServer &server, const fleet::CellView &cell,
                       absl::Time now) {
  return std::max({server.Health.pausedUntil(), server.Limit.nextSendAt(),
                   server.Cold.nextSendAt(cell, now)});
}

RequestError allBlockedError(const std::string &service, bool isLimited,
                             absl::Duration retryAfter) {
  return errors::RequestErrorBuilder(
             ErrorCode::Overloaded,
             fmt::format("all backend servers of service {} {}", service,
                         isLimited ? "asked for a pause or have reached their "
                                     "request limits"
                                   : "asked for a pause"))
      .rule(isLimited ? "request limits of backend servers"
                      : "pause asked for by backend servers")
      .retryAfterMs(absl::ToInt64Milliseconds(
          absl::Ceil(retryAfter, absl::Milliseconds(1))))
      .build();
}

RequestError coldServersError(const std::string &service,
                              absl::Duration retryAfter) {
  return errors::RequestErrorBuilder(
             ErrorCode::Overloaded,
             fmt::format("all backend servers of service {} are cold or at "
                         "their limits",
                         service))
      .rule("cold backend servers")
      .retryAfterMs(absl::ToInt64Milliseconds(
          absl::Ceil(retryAfter, absl::Milliseconds(1))))
      .build();
}

RequestError missingEnginesError(const std::string &service,
                                 absl::Duration retryAfter) {
  return errors::RequestErrorBuilder(
             ErrorCode::Overloaded,
             fmt::format("service {} has too few engines in use for the prompt",
                         service))
      .rule("engines in use")
      .retryAfterMs(absl::ToInt64Milliseconds(
          absl::Ceil(retryAfter, absl::Milliseconds(1))))
      .build();
}

RequestError overloadedError(const std::string &service,
                             absl::Duration retryAfter) {
  const absl::Duration clamped =
      std::clamp(retryAfter, MinRetryAfter, MaxRetryAfter);
  return errors::RequestErrorBuilder(
             ErrorCode::Overloaded,
             fmt::format("service {} can't answer in time", service))
      .rule("predicted first token")
      .retryAfterMs(absl::ToInt64Milliseconds(clamped))
      .build();
}

} // namespace

Dispatcher::Dispatcher(const DispatcherSettings &settings)
    : Settings(settings), Random(settings.Seed),
      NextLoadId(settings.Incarnation << LoadIdBits),
      AdmissionRandom(settings.Seed) {
  Directory.setNodeSeed(settings.Seed);
}

void Dispatcher::setConfig(
    std::shared_ptr<const routes::RoutingConfig> config) {
  Config = std::move(config);
  std::map<std::string, fleet::ColdPolicy, std::less<>> policies;
  for (const auto &[name, service] : Config->services())
    if (service.Cold.isEnabled())
      policies.emplace(name, service.Cold);
  Directory.setColdPolicies(std::move(policies));
}

void Dispatcher::arrived(const std::string &service, absl::Time now) {
  budget(service).arrived(now);
}

void Dispatcher::setRetryBudget(const limits::WindowBudgetSettings &settings) {
  Settings.Retries = settings;
  for (auto &[service, it] : Budgets)
    it.updateSettings(settings);
}

void Dispatcher::setNodeCount(size_t n) {
  NodeCount = n;
  for (auto &[service, it] : Budgets)
    it.setNodeCount(n);
}

bool Dispatcher::tryRetry(const std::string &service, absl::Time now) {
  return budget(service).tryTake(now);
}

limits::WindowBudget &Dispatcher::budget(const std::string &service) {
  const auto found = Budgets.find(service);
  if (found != Budgets.end())
    return found->second;
  limits::WindowBudget fresh(Settings.Retries);
  fresh.setNodeCount(NodeCount);
  return Budgets.emplace(service, std::move(fresh)).first->second;
}

absl::Duration Dispatcher::maxPredictedFirstToken(const CallDemand &demand,
                                                  absl::Time now) {
  if (demand.MaxPredictedFirstToken.has_value())
    return *demand.MaxPredictedFirstToken;
  const routes::Route &route = *demand.Route;
  const absl::Duration callerTimeout =
      std::max({MinCallerTimeout, CallerTimeoutPerObjective * route.Objective,
                CallerTimeoutPerGapObjective * route.GapObjective});
  const double maxObjectiveRatio = engines::isUrgent(demand.PromptTokens)
                                       ? UrgentMaxObjectiveRatio
                                       : MaxObjectiveRatio;
  return std::min(
      {CallerTimeoutShare * callerTimeout - (now - demand.ArrivedAt),
       maxObjectiveRatio * route.Objective, demand.Deadline - now});
}

std::variant<Dispatch, RequestError>
Dispatcher::choose(const CallDemand &demand, absl::Time now) {
  LastAdmission.reset();
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
  std::vector<const routes::RouteTarget *> usable;
  for (const routes::RouteTarget &it : targets) {
    if (it.Weight <= 0 || Directory.usable(it.Service, now).empty())
      continue;
    usable.push_back(&it);
    total += it.Weight;
  }
  if (usable.size() < 2)
    return usable.empty() ? targets.front().Service : usable.front()->Service;
  double left = absl::Uniform(Random, 0.0, total);
  for (const routes::RouteTarget *it : usable) {
    left -= it->Weight;
    if (left < 0)
      return it->Service;
  }
  return usable.back()->Service;
}

std::vector<std::shared_ptr<BackendServer>>
Dispatcher::candidates(const CallDemand &demand, const std::string &service,
                       absl::Time now) const {
  std::vector<std::shared_ptr<BackendServer>> untried =
      Directory.usable(service, now);
  const auto contains = [](const std::vector<std::string> &ids,
                           const std::string &id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
  };
  std::erase_if(untried, [&](const std::shared_ptr<BackendServer> &it) {
    return contains(demand.Tried, it->Entry.Id) ||
           (!demand.Only.empty() && !contains(demand.Only, it->Entry.Id));
  });
  const fleet::CellView cell = Directory.cellView(now);
  std::erase_if(untried, [&](const std::shared_ptr<BackendServer> &it) {
    return now < unblockedAt(*it, cell, now);
  });
  std::vector<std::shared_ptr<BackendServer>> result;
  for (const std::shared_ptr<BackendServer> &it : untried)
    if (it->Health.acceptsCalls(now))
      result.push_back(it);
  if (!result.empty())
    return result;
  // All are backing off: use the one whose trial call is due first.
  const auto first = std::min_element(
      untried.begin(), untried.end(), [](const auto &left, const auto &right) {
        return left->Health.backoffUntil() < right->Health.backoffUntil();
      });
  if (first != untried.end())
    result.push_back(*first);
  return result;
}

absl::Time Dispatcher::blockEnd(const std::string &service,
                                absl::Time now) const {
  const fleet::CellView cell = Directory.cellView(now);
  absl::Time first = absl::InfiniteFuture();
  for (const std::shared_ptr<BackendServer> &it :
       Directory.usable(service, now))
    first = std::min(first, unblockedAt(*it, cell, now));
  return first == absl::InfiniteFuture() ? now : std::max(first, now);
}

absl::Duration Dispatcher::retryDelay(const std::string &service,
                                      absl::Duration minDelay,
                                      absl::Time now) const {
  return std::max(minDelay, blockEnd(service, now) - now);
}

RequestError Dispatcher::noCandidateError(const std::string &service,
                                          absl::Time now) {
  if (Directory.isServiceEvacuated(service, now))
    return evacuatedError(service);
  const absl::Time end = blockEnd(service, now);
  if (end <= now)
    return noBackendError(service, DefaultRetryAfter);
  const auto servers = Directory.usable(service, now);
  if (std::any_of(servers.begin(), servers.end(),
                  [&](const auto &it) { return it->Cold.isCold(now); }))
    return coldError(service, servers, end, now);
  const bool isLimited =
      std::any_of(servers.begin(), servers.end(),
                  [&](const auto &it) { return now < it->Limit.nextSendAt(); });
  // Callers that all come back at the same moment would exceed the limits.
  const absl::Duration spread =
      isLimited ? absl::Uniform(Random, 0.0, 1.0) * LimitedRetrySpread
                : absl::ZeroDuration();
  return allBlockedError(service, isLimited, end - now + spread);
}

RequestError Dispatcher::coldError(
    const std::string &service,
    const std::vector<std::shared_ptr<BackendServer>> &servers,
    absl::Time first, absl::Time now) {
  ++ColdRefusals;
  const fleet::CellView cell = Directory.cellView(now);
  double rate = 0;
  absl::Time warmAt = absl::InfiniteFuture();
  for (const std::shared_ptr<BackendServer> &it : servers) {
    if (!it->Cold.isCold(now))
      continue;
    rate += it->Cold.ratePerNode(cell);
    warmAt = std::min(warmAt, it->Cold.coldUntil());
  }
  const absl::Duration delay = Returns.next(
      service, rate, first, warmAt, absl::Uniform(Random, 0.0, 1.0), now);
  return coldServersError(service, std::min(delay, MaxRetryAfter));
}

absl::Duration Dispatcher::returnDelay(const std::string &service,
                                       size_t engineCount,
                                       absl::Time now) const {
  const auto servers = Directory.usable(service, now);
  if (servers.size() < engineCount)
    return MaxRetryAfter;
  const fleet::CellView cell = Directory.cellView(now);
  absl::Time last = now + DefaultRetryAfter;
  for (const std::shared_ptr<BackendServer> &it : servers)
    last = std::max({last, unblockedAt(*it, cell, now), it->Cold.coldUntil(),
                     it->Health.backoffUntil()});
  return last - now;
}

absl::Duration Dispatcher::penalty(const BackendServer &server) const {
  const absl::Duration zonePenalty = server.Entry.Zone == Settings.Zone
                                         ? absl::ZeroDuration()
                                         : OtherZonePenalty;
  return zonePenalty + server.Health.failureShare() * FailurePenalty;
}

std::optional<AdmissionCall>
Dispatcher::describeAdmission(const CallDemand &demand,
                              const std::string &service,
                              absl::Duration work) const {
  if (!Settings.AdmitByPriority || demand.IsAdmissionDecided ||
      !demand.Tried.empty() || !demand.Only.empty())
    return std::nullopt;
  AdmissionCall call;
  call.Rank =
      demand.Config->rank(service, *demand.Route, demand.Workspace).Index;
  if (!demand.Workspace.empty())
    call.Workspace = shortHash(demand.Workspace);
  call.Route = shortHash(demand.Route->Name);
  for (const std::string &it : demand.SharedParts) {
    if (call.Parts.size() == MaxAdmissionParts)
      break;
    call.Parts.push_back(shortHash(it));
  }
  call.Key = demand.CallHash;
  call.PromptTokens = demand.PromptTokens;
  call.Work = work;
  call.Objective = demand.Route->Objective;
  return call;
}

ServiceAdmission &Dispatcher::admissionOf(const std::string &service) {
  return Admissions.service(fleet::nameHash(service));
}

std::optional<RequestError>
Dispatcher::earlyReturnError(const std::string &service,
                             const AdmissionCall &call, absl::Time now) {
  ServiceAdmission &admission = admissionOf(service);
  const absl::Duration wait = admission.earlyReturnDelay(call.Key, now);
  if (wait <= absl::ZeroDuration())
    return std::nullopt;
  // The wait begins again, and all nodes know of it. The call isn't counted as
  // a new one.
  admission.askedToWait(call.Key, wait, now);
  if (OnLoadUpdate) {
    LoadUpdate update;
    update.Kind = LoadUpdateKind::Refused;
    update.EngineHash = fleet::nameHash(service);
    update.Admission = AdmissionUpdate{};
    update.Admission->Call.Key = call.Key;
    update.Admission->RetryAfter = wait;
    OnLoadUpdate(update);
  }
  return errors::RequestErrorBuilder(
             ErrorCode::Overloaded,
             fmt::format("service {} was asked for again before the time that "
                         "the caller was told to wait",
                         service))
      .rule(std::string(EarlyReturnRule))
      .retryAfterMs(
          absl::ToInt64Milliseconds(absl::Ceil(wait, absl::Milliseconds(1))))
      .build();
}

RequestError Dispatcher::refuse(const CallDemand &demand,
                                const std::string &service,
                                const AdmissionCall &call, std::string rule,
                                absl::Duration clearTime,
                                absl::Duration ownTime, absl::Time now) {
  ServiceAdmission &admission = admissionOf(service);
  // Callers that were asked to wait before come first.
  const absl::Duration delay = spreadRetryDelay(
      clearTime + admission.waitingTime(now), demand.Deadline - now, ownTime,
      absl::Uniform(AdmissionRandom, 0.0, 1.0));
  admission.record(call, AdmissionOutcome::Refused, now);
  admission.askedToWait(call.Key, delay, now);
  LastAdmission->Outcome = AdmissionOutcome::Refused;
  if (OnLoadUpdate) {
    LoadUpdate update;
    update.Kind = LoadUpdateKind::Refused;
    update.EngineHash = fleet::nameHash(service);
    update.PromptTokens = call.PromptTokens;
    update.Admission = AdmissionUpdate{call, false, delay};
    OnLoadUpdate(update);
  }
  return errors::RequestErrorBuilder(
             ErrorCode::Overloaded,
             fmt::format("service {} can't answer in time", service))
      .rule(std::move(rule))
      .retryAfterMs(
          absl::ToInt64Milliseconds(absl::Ceil(delay, absl::Milliseconds(1))))
      .build();
}

bool Dispatcher::leavesHeadroom(const CallDemand &demand,
                                const Dispatch &dispatch,
                                absl::Duration maxPredicted,
                                AdmissionDecision &decision) {
  const absl::Duration idle = idleFirstToken(
      demand.PromptTokens, dispatch.Helpers.size(), *dispatch.Speed);
  decision.Wait =
      std::max(absl::ZeroDuration(), dispatch.PredictedFirstToken - idle);
  if (decision.Limits.Pressure <= 0)
    return true;
  decision.MaxWait = decision.Limits.MaxWaitShare *
                     std::max(absl::ZeroDuration(), maxPredicted - idle);
  return decision.Wait <= decision.MaxWait;
}

void Dispatcher::admit(const std::string &service, const CallDemand &demand,
                       const AdmissionCall &call, Dispatch &dispatch,
                       absl::Time now) {
  const absl::Duration objective =
      demand.Route->Objective - (now - demand.ArrivedAt);
  // A prompt that would be late on idle engines too isn't late for the load.
  const bool isLate =
      LastAdmission->Wait > absl::ZeroDuration() &&
      dispatch.PredictedFirstToken > objective &&
      dispatch.PredictedFirstToken - LastAdmission->Wait <= objective;
  LastAdmission->Outcome =
      isLate ? AdmissionOutcome::AdmittedLate : AdmissionOutcome::Admitted;
  admissionOf(service).record(call, LastAdmission->Outcome, now);
  dispatch.Admission = AdmissionUpdate{call, isLate, absl::ZeroDuration()};
  dispatch.FirstTokenDue = demand.ArrivedAt + demand.Route->Objective;
}

void Dispatcher::reportLate(const Dispatch &dispatch, absl::Time now) {
  const std::string &service = dispatch.Server->Entry.Service;
  admissionOf(service).firstEventLate(dispatch.Admission->Call.Rank, now);
  if (!OnLoadUpdate)
    return;
  LoadUpdate update;
  update.Kind = LoadUpdateKind::FirstToken;
  update.EngineHash =
      fleet::BackendDirectory::hashOf(dispatch.Server->Entry.Id);
  update.Admission = AdmissionUpdate{};
  update.Admission->Call.Rank = dispatch.Admission->Call.Rank;
  update.Admission->IsLate = true;
  OnLoadUpdate(update);
}

std::variant<Dispatch, RequestError>
Dispatcher::chooseEngine(const CallDemand &demand,
                         const routes::Service &service, absl::Time now) {
  const engines::EngineSpeed &speed = *service.Engine;
  const size_t engineCount = EngineCounts[service.Name].observe(
      Directory.usable(service.Name, now).size(), now);
  const std::vector<std::shared_ptr<BackendServer>> available =
      candidates(demand, service.Name, now);
  if (available.empty())
    return noCandidateError(service.Name, now);
  const fleet::CellView cell = Directory.cellView(now);
  std::vector<engines::EngineCandidate> engineCandidates;
  for (const std::shared_ptr<BackendServer> &it : available) {
    it->Load.advance(now, speed);
    engineCandidates.push_back(
        {&it->Load, Directory.orderPosition(*it, cell, now),
         it->Health.slowdownRatio(), penalty(*it),
         !it->Limit.isActive() && !it->Cold.isCold(now)});
  }
  engines::PromptDemand prompt;
  prompt.PromptTokens = demand.PromptTokens;
  const int64_t announced = std::min(
      demand.AnswerTokens > 0 ? demand.AnswerTokens : speed.MeanAnswerTokens,
      MaxAnswerTokens);
  prompt.AnnouncedTokens = announced;
  prompt.AnswerTokens =
      Settings.UsesLearnedCost
          ? std::min(Costs.expectedAnswer(demand.Route->Name,
                                          demand.PromptTokens, announced, now),
                     MaxAnswerTokens)
          : announced;
  prompt.Objective = demand.Route->Objective - (now - demand.ArrivedAt);
  std::optional<AdmissionCall> call =
      describeAdmission(demand, service.Name, engineWork(prompt, speed));
  if (call.has_value()) {
    if (auto error = earlyReturnError(service.Name, *call, now))
      return *std::move(error);
    LastAdmission.emplace();
    LastAdmission->Service = service.Name;
    LastAdmission->Rank =
        demand.Config->rank(service.Name, *demand.Route, demand.Workspace);
    LastAdmission->Limits = admissionOf(service.Name).limits(*call, now);
    for (const engines::EngineCandidate &it : engineCandidates)
      LastAdmission->Backlog += it.Load->pendingPrefillTime(speed);
    LastAdmission->Backlog /= static_cast<double>(engineCandidates.size());
    prompt.HarmWeight = LastAdmission->Limits.HarmWeight;
    if (LastAdmission->Backlog > LastAdmission->Limits.MaxBacklog)
      return refuse(demand, service.Name, *call, "headroom for other calls",
                    LastAdmission->Backlog - LastAdmission->Limits.MaxBacklog,
                    idleFirstToken(prompt.PromptTokens, 0, speed), now);
  }
  prompt.MaxPredictedFirstToken = maxPredictedFirstToken(demand, now);
  if (demand.Route->GapObjective > absl::ZeroDuration())
    prompt.GapObjective = demand.Route->GapObjective;
  prompt.EngineCount = engineCount;
  const engines::PlacementResult placed =
      engines::placePrompt(prompt, engineCandidates, speed, Random);
  if (placed.Refusal.NeedsMoreEngines)
    return missingEnginesError(service.Name,
                               returnDelay(service.Name, engineCount, now));
  if (placed.Refusal.TooLarge)
    return errors::refusal(ErrorCode::PayloadTooLarge,
                           "the engines can't hold the prompt",
                           "engine memory");
  if (!placed.Choice.has_value() && call.has_value())
    return refuse(demand, service.Name, *call, "predicted first token",
                  placed.Refusal.RetryAfter,
                  idleFirstToken(prompt.PromptTokens, 0, speed), now);
  if (!placed.Choice.has_value())
    return overloadedError(service.Name, placed.Refusal.RetryAfter);
  Dispatch result;
  result.Server = available[placed.Choice->Engine];
  for (const size_t n : placed.Choice->Helpers)
    result.Helpers.push_back(available[n]);
  result.Reserved = placed.Choice->Reserved;
  result.PredictedFirstToken = placed.Choice->PredictedFirstToken;
  result.Speed = &speed;
  result.Config = demand.Config;
  result.PromptTokens = prompt.PromptTokens;
  result.AnswerTokens = prompt.AnswerTokens;
  result.AnnouncedTokens = announced;
  result.Route = demand.Route->Name;
  result.Workspace = demand.Workspace;
  result.GapObjective = prompt.GapObjective;
  result.Objective = prompt.Objective;
  if (Settings.AdmitByPriority)
    result.Rank =
        demand.Config->rank(service.Name, *demand.Route, demand.Workspace);
  if (!call.has_value())
    return result;
  if (!leavesHeadroom(demand, result, prompt.MaxPredictedFirstToken,
                      *LastAdmission))
    return refuse(demand, service.Name, *call, "headroom for other calls",
                  LastAdmission->Wait - LastAdmission->MaxWait,
                  idleFirstToken(prompt.PromptTokens, 0, speed), now);
  admit(service.Name, demand, *call, result, now);
  return result;
}

const std::string *
Dispatcher::partitionedService(const CallDemand &demand) const {
  const routes::RouteTarget *best = nullptr;
  for (const routes::RouteTarget &it : demand.Route->Targets) {
    const routes::Service *service = demand.Config->service(it.Service);
    if (it.Weight > (best == nullptr ? 0 : best->Weight) &&
        service != nullptr && service->Engine.has_value() &&
        Directory.isPartitioned(it.Service))
      best = &it;
  }
  return best == nullptr ? nullptr : &best->Service;
}

std::optional<Dispatch> Dispatcher::acceptOffer(const CallDemand &demand,
                                                const std::string &service,
                                                const PlacementOffer &offer,
                                                const std::string &address,
                                                absl::Time now) const {
  const routes::Service *engines = demand.Config->service(service);
  if (engines == nullptr || !engines->Engine.has_value() ||
      offer.Helpers.size() != offer.Reserved.size())
    return std::nullopt;
  Dispatch result;
  std::vector<std::string> ids = offer.Helpers;
  ids.push_back(offer.Server);
  for (const std::string &id : ids) {
    std::shared_ptr<BackendServer> server =
        Directory.findUsable(id, service, now);
    const bool isTried = std::find(demand.Tried.begin(), demand.Tried.end(),
                                   id) != demand.Tried.end();
    if (server == nullptr || isTried || !server->Health.acceptsCalls(now))
      return std::nullopt;
    result.Helpers.push_back(std::move(server));
  }
  result.Server = std::move(result.Helpers.back());
  result.Helpers.pop_back();
  result.Reserved = offer.Reserved;
  result.PredictedFirstToken = offer.PredictedFirstToken;
  result.Speed = &*engines->Engine;
  result.Config = demand.Config;
  result.PromptTokens = demand.PromptTokens;
  result.AnswerTokens = demand.AnswerTokens;
  if (Settings.AdmitByPriority)
    result.Rank = demand.Config->rank(service, *demand.Route, demand.Workspace);
  result.Offer = OfferedPlacement{offer.Id, address};
  return result;
}

std::optional<Dispatch>
Dispatcher::chooseForOtherCell(const PlacementRequest &request,
                               absl::Time now) {
  const routes::Service *service =
      Config == nullptr ? nullptr : Config->service(request.Service);
  if (service == nullptr || !service->Engine.has_value() ||
      !Directory.isPartitioned(request.Service))
    return std::nullopt;
  routes::Route route;
  route.Objective = request.Objective;
  route.Priority = request.Rank;
  if (request.GapObjective != absl::InfiniteDuration())
    route.GapObjective = request.GapObjective;
  CallDemand demand;
  demand.Route = &route;
  demand.Config = Config;
  demand.PromptTokens = request.PromptTokens;
  demand.AnswerTokens = request.AnswerTokens;
  demand.ArrivedAt = now;
  demand.Deadline = absl::InfiniteFuture();
  demand.Tried = request.Tried;
  demand.MaxPredictedFirstToken = request.MaxPredictedFirstToken;
  demand.IsAdmissionDecided = true;
  auto chosen = chooseEngine(demand, *service, now);
  auto *result = std::get_if<Dispatch>(&chosen);
  if (result == nullptr)
    return std::nullopt;
  std::vector<std::shared_ptr<BackendServer>> servers = result->Helpers;
  servers.push_back(result->Server);
  const bool isTight =
      result->PredictedFirstToken > BusyOfferObjectiveShare * request.Objective;
  for (const std::shared_ptr<BackendServer> &it : servers) {
    // A cell without engines of its own sees those of others, whose load it
    // doesn't know. Trial calls are left to the cell's own callers.
    if (!it->InCell || !it->Health.acceptsCalls(now))
      return std::nullopt;
    if (isTight && it->Load.prefillingCount() > 0)
      return std::nullopt;
  }
  return std::move(*result);
}

void Dispatcher::recordOffer(Dispatch &dispatch, absl::Time now) {
  if (dispatch.LoadId == 0) {
    dispatch.LoadId = ++NextLoadId;
    dispatch.Server->Limit.recordSend(now);
    dispatch.Server->Cold.recordSend(Directory.cellView(now), true, now);
  }
  dispatch.SentAt = now;
  addLoad(dispatch, now);
}

void Dispatcher::endOffer(const Dispatch &dispatch, absl::Time now) {
  removeLoad(dispatch, now);
}

void Dispatcher::reportProgress(const Dispatch &dispatch, OfferEvent event) {
  if (OnOfferProgress)
    OnOfferProgress(*dispatch.Offer, event);
}

std::variant<Dispatch, RequestError>
Dispatcher::choosePlain(const CallDemand &demand, const std::string &service,
                        absl::Time now) {
  const std::vector<std::shared_ptr<BackendServer>> available =
      candidates(demand, service, now);
  const std::shared_ptr<BackendServer> *best = nullptr;
  absl::Duration bestCost = absl::InfiniteDuration();
  for (const std::shared_ptr<BackendServer> &it : available) {
    const absl::Duration cost = penalty(*it) +
                                plainCost(*it, demand.Route->Name, now) +
                                absl::Uniform(Random, 0.0, 1.0) * PlainJitter;
    if (cost >= bestCost)
      continue;
    bestCost = cost;
    best = &it;
  }
  if (best == nullptr)
    return noCandidateError(service, now);
  Dispatch result;
  result.Server = *best;
  result.Config = demand.Config;
  result.Route = demand.Route->Name;
  result.Workspace = demand.Workspace;
  const std::optional<AdmissionCall> call = describeAdmission(
      demand, service,
      Settings.AdmitByPriority ? admissionOf(service).serviceTime()
                               : absl::ZeroDuration());
  if (!call.has_value())
    return result;
  LastAdmission.emplace();
  LastAdmission->Service = service;
  LastAdmission->Rank =
      demand.Config->rank(service, *demand.Route, demand.Workspace);
  LastAdmission->Limits = admissionOf(service).limits(*call, now);
  // A plain backend server's backlog isn't known, so the share of calls that
  // are refused follows the headroom they have to leave.
  if (absl::Uniform(AdmissionRandom, 0.0, 1.0) < LastAdmission->Limits.Pressure)
    return refuse(demand, service, *call, "headroom for other calls",
                  call->Work, call->Work, now);
  admit(service, demand, *call, result, now);
  return result;
}

absl::Duration Dispatcher::plainCost(const BackendServer &server,
                                     const std::string &route,
                                     absl::Time now) const {
  const auto slots =
      static_cast<double>(std::max<int64_t>(1, server.Entry.Slots));
  if (!Settings.UsesLearnedCost) {
    const double busy = static_cast<double>(server.InFlight) / slots;
    return busy * BusyPenalty;
  }
  const std::string &id = server.Entry.Id;
  return Costs.outstandingWork(id, BusyPenalty, now) / slots +
         Costs.excessTime(route, id, now);
}

void Dispatcher::learnFromEnd(const Dispatch &dispatch, AttemptEnd end,
                              absl::Time now) {
  const bool isAnswered = end == AttemptEnd::Answered;
  if (dispatch.Speed != nullptr) {
    if (isAnswered)
      Costs.answerEnded(dispatch.Route, dispatch.PromptTokens,
                        dispatch.AnnouncedTokens, dispatch.EventCount,
                        dispatch.Speed->StepsPerPass, dispatch.Workspace, now);
    return;
  }
  const bool isCutOff = end == AttemptEnd::OutOfTime ||
                        end == AttemptEnd::Stalled ||
                        end == AttemptEnd::Superseded;
  Costs.callEnded(dispatch.LoadId, isAnswered, isAnswered || isCutOff,
                  dispatch.Workspace, now);
}

void Dispatcher::sendLoadUpdate(const Dispatch &dispatch,
                                const BackendServer &server,
                                LoadUpdateKind kind,
                                const engines::RunningPrompt &prompt) {
  if (!OnLoadUpdate)
    return;
  LoadUpdate update;
  update.Kind = kind;
  update.EngineHash = fleet::BackendDirectory::hashOf(server.Entry.Id);
  update.LoadId = dispatch.LoadId;
  update.PrefillTokens = prompt.PrefillTokens;
  update.PromptTokens = prompt.PromptTokens;
  update.AnswerTokens = prompt.AnswerTokens;
  update.HeldTokens = prompt.HeldTokens;
  if (prompt.GapObjective != absl::InfiniteDuration())
    update.GapObjectiveMs = absl::ToInt64Milliseconds(prompt.GapObjective);
  if (prompt.Objective != absl::InfiniteDuration())
    update.ObjectiveMs =
        std::max<int64_t>(1, absl::ToInt64Milliseconds(prompt.Objective));
  if (kind == LoadUpdateKind::Sent && &server == dispatch.Server.get())
    update.Admission = dispatch.Admission;
  OnLoadUpdate(update);
}

void Dispatcher::sent(Dispatch &dispatch, absl::Time now) {
  dispatch.LoadId =
      dispatch.Offer.has_value() ? dispatch.Offer->OfferId : ++NextLoadId;
  dispatch.SentAt = now;
  ++dispatch.Server->InFlight;
  dispatch.Server->Health.recordSend(now);
  dispatch.Server->Address.recordSend(now);
  dispatch.Server->Limit.recordSend(now);
  const fleet::CellView cell = Directory.cellView(now);
  dispatch.Server->Cold.recordSend(cell, true, now);
  if (dispatch.Offer.has_value()) {
    reportProgress(dispatch, OfferEvent::Taken);
    return;
  }
  if (dispatch.Speed == nullptr) {
    if (Settings.UsesLearnedCost)
      Costs.callSent(dispatch.LoadId, dispatch.Route, dispatch.Server->Entry.Id,
                     now);
    if (dispatch.Server->Limit.isActive() || dispatch.Admission.has_value() ||
        dispatch.Server->Cold.isCold(now))
      sendLoadUpdate(dispatch, *dispatch.Server, LoadUpdateKind::Sent, {});
    return;
  }
  addLoad(dispatch, now);
}

void Dispatcher::addLoad(const Dispatch &dispatch, absl::Time now) {
  engines::RunningPrompt prompt;
  prompt.Id = dispatch.LoadId;
  prompt.PrefillTokens =
      engines::partTokens(dispatch.PromptTokens, dispatch.Helpers.size());
  prompt.PromptTokens = dispatch.PromptTokens;
  prompt.AnswerTokens = dispatch.AnswerTokens;
  prompt.HeldTokens = std::accumulate(
      dispatch.Reserved.begin(), dispatch.Reserved.end(),
      dispatch.PromptTokens + dispatch.AnnouncedTokens, std::minus<>());
  prompt.GapObjective = dispatch.GapObjective;
  prompt.Objective = dispatch.Objective;
  dispatch.Server->Load.add(prompt, now, *dispatch.Speed);
  sendLoadUpdate(dispatch, *dispatch.Server, LoadUpdateKind::Sent, prompt);
  prompt.AnswerTokens = 0;
  prompt.GapObjective = absl::InfiniteDuration();
  for (size_t n = 0; n < dispatch.Helpers.size(); ++n) {
    // It may have turned cold since it was chosen.
    dispatch.Helpers[n]->Cold.recordSend(Directory.cellView(now), true, now);
    prompt.HeldTokens = dispatch.Reserved[n];
    dispatch.Helpers[n]->Load.add(prompt, now, *dispatch.Speed);
    sendLoadUpdate(dispatch, *dispatch.Helpers[n], LoadUpdateKind::Sent,
                   prompt);
  }
}

void Dispatcher::firstToken(Dispatch &dispatch, absl::Time now) {
  if (dispatch.Speed == nullptr || dispatch.FirstTokenAt.has_value())
    return;
  dispatch.FirstTokenAt = now;
  dispatch.Server->Health.observeLatency(now - dispatch.SentAt,
                                         dispatch.PredictedFirstToken);
  if (dispatch.Offer.has_value()) {
    reportProgress(dispatch, OfferEvent::FirstToken);
    return;
  }
  dispatch.Server->Load.firstToken(dispatch.LoadId, now, *dispatch.Speed);
  sendLoadUpdate(dispatch, *dispatch.Server, LoadUpdateKind::FirstToken, {});
  for (const std::shared_ptr<BackendServer> &it : dispatch.Helpers) {
    it->Load.firstToken(dispatch.LoadId, now, *dispatch.Speed);
    sendLoadUpdate(dispatch, *it, LoadUpdateKind::FirstToken, {});
  }
}

bool Dispatcher::limitStated(const Dispatch &dispatch,
                             std::optional<double> perSecond, absl::Time now) {
  fleet::RequestLimit &limit = dispatch.Server->Limit;
  // An answer without a limit lifts it only if its call was sent after the
  // limit was stated; answers to earlier calls may still be on their way.
  const bool isLifted = !perSecond.has_value() && limit.isActive() &&
                        dispatch.SentAt > limit.statement().StatedAt;
  if (!perSecond.has_value() && !isLifted)
    return false;
  return limit.apply({perSecond, now}, now);
}

void Dispatcher::coldStated(const Dispatch &dispatch, absl::Duration remaining,
                            absl::Time now) {
  fleet::ColdLimit &cold = dispatch.Server->Cold;
  // An answer to a call from before the cold phase doesn't end it.
  if (remaining <= absl::ZeroDuration() &&
      dispatch.SentAt <= cold.phase().beganAt())
    return;
  cold.phase().recordRemaining(remaining, now);
}

void Dispatcher::ended(Dispatch &dispatch, AttemptEnd end, absl::Time now) {
  --dispatch.Server->InFlight;
  const std::optional<fleet::HealthSignal> signal = healthSignal(end);
  if (signal.has_value())
    dispatch.Server->Health.observe(*signal, now);
  const bool isPlainAnswer =
      dispatch.Speed == nullptr && end == AttemptEnd::Answered;
  if (dispatch.Admission.has_value()) {
    if (isPlainAnswer)
      admissionOf(dispatch.Server->Entry.Service)
          .observeServiceTime(now - dispatch.SentAt);
    if (end == AttemptEnd::Refused ||
        (isPlainAnswer && now > dispatch.FirstTokenDue))
      reportLate(dispatch, now);
  }
  if (Settings.UsesLearnedCost)
    learnFromEnd(dispatch, end, now);
  if (dispatch.Offer.has_value())
    reportProgress(dispatch, OfferEvent::Ended);
  else if (dispatch.Speed != nullptr)
    removeLoad(dispatch, now);
}

void Dispatcher::removeLoad(const Dispatch &dispatch, absl::Time now) {
  dispatch.Server->Load.remove(dispatch.LoadId, now, *dispatch.Speed);
  sendLoadUpdate(dispatch, *dispatch.Server, LoadUpdateKind::Ended, {});
  for (size_t n = 0; n < dispatch.Helpers.size(); ++n) {
    if (dispatch.FirstTokenAt.has_value() && dispatch.Reserved[n] == 0)
      continue;
    dispatch.Helpers[n]->Load.remove(dispatch.LoadId, now, *dispatch.Speed);
    sendLoadUpdate(dispatch, *dispatch.Helpers[n], LoadUpdateKind::Ended, {});
  }
}

void Dispatcher::reportFaultyBackend(const std::string &id, absl::Time now) {
  if (const std::shared_ptr<BackendServer> server = Directory.find(id))
    server->Health.observe(fleet::HealthSignal::Lost, now);
}

void Dispatcher::applyAdmissionUpdate(uint64_t serviceHash,
                                      const LoadUpdate &update,
                                      absl::Time now) {
  if (!Settings.AdmitByPriority || !update.Admission.has_value())
    return;
  const AdmissionUpdate &news = *update.Admission;
  ServiceAdmission &admission = Admissions.service(serviceHash);
  switch (update.Kind) {
  case LoadUpdateKind::Sent:
    admission.record(news.Call,
                     news.IsLate ? AdmissionOutcome::AdmittedLate
                                 : AdmissionOutcome::Admitted,
                     now);
    return;
  case LoadUpdateKind::Refused:
    if (news.Call.Route != 0)
      admission.record(news.Call, AdmissionOutcome::Refused, now);
    admission.askedToWait(news.Call.Key, news.RetryAfter, now);
    return;
  case LoadUpdateKind::FirstToken:
    if (news.IsLate)
      admission.firstEventLate(news.Call.Rank, now);
    return;
  case LoadUpdateKind::Ended:
    return;
  }
}

void Dispatcher::applyLoadUpdate(const LoadUpdate &update, absl::Time now) {
  if (update.Kind == LoadUpdateKind::Refused) {
    applyAdmissionUpdate(update.EngineHash, update, now);
    return;
  }
  const std::shared_ptr<BackendServer> server =
      Directory.findByHash(update.EngineHash);
  if (server == nullptr)
    return;
  applyAdmissionUpdate(fleet::nameHash(server->Entry.Service), update, now);
  // Limited engines don't help others, so it was a request of its own.
  if (update.Kind == LoadUpdateKind::Sent) {
    server->Limit.recordSend(now);
    if (server->Cold.isCold(now))
      server->Cold.recordSend(Directory.cellView(now), false, now);
  }
  if (Config == nullptr)
    return;
  const routes::Service *service = Config->service(server->Entry.Service);
  if (service == nullptr || !service->Engine.has_value())
    return;
  const engines::EngineSpeed &speed = *service->Engine;
  switch (update.Kind) {
  case LoadUpdateKind::Sent: {
    engines::RunningPrompt prompt;
    prompt.Id = update.LoadId;
    prompt.PrefillTokens = update.PrefillTokens;
    prompt.PromptTokens = update.PromptTokens;
    prompt.AnswerTokens = update.AnswerTokens;
    prompt.HeldTokens = update.HeldTokens;
    if (update.GapObjectiveMs > 0)
      prompt.GapObjective = absl::Milliseconds(update.GapObjectiveMs);
    if (update.ObjectiveMs > 0)
      prompt.Objective = absl::Milliseconds(update.ObjectiveMs);
    server->Load.add(prompt, now, speed);
    return;
  }
  case LoadUpdateKind::FirstToken:
    server->LastReceivedAt = now;
    server->Load.firstToken(update.LoadId, now, speed);
    return;
  case LoadUpdateKind::Ended:
    server->Load.remove(update.LoadId, now, speed);
    return;
  case LoadUpdateKind::Refused:
    return;
  }
}

} // namespace orioletally::core::relay

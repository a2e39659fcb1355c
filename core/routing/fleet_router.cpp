#include "core/routing/fleet_router.h"

#include <absl/algorithm/container.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <fmt/format.h>

namespace orioletally::core::routing {

namespace {

constexpr int64_t NoBackendRetryMs = 1000;

/// Keeps the backend servers that \p keep accepts.
template <typename Predicate>
std::vector<const BackendState *>
filtered(const std::vector<const BackendState *> &from, Predicate keep) {
  std::vector<const BackendState *> result;
  absl::c_copy_if(from, std::back_inserter(result),
                  [&](const BackendState *it) { return keep(*it); });
  return result;
}

} // namespace

FleetRouter::FleetRouter(const RouterSettings &settings)
    : Registry(settings.ReportLag),
      Budget(settings.RetryShare, settings.RetryReserve),
      Prefixes(settings.PrefixCapacity), Random(settings.Seed) {}

RoutingPolicy &FleetRouter::policy(const std::string &name) {
  const auto it = Policies.find(name);
  if (it != Policies.end())
    return it->second;
  return Policies.emplace(name, routingPolicyFromName(name)).first->second;
}

std::vector<const BackendState *>
FleetRouter::usable(const std::vector<const BackendState *> &known,
                    const std::vector<std::string> &exclude,
                    absl::Time now) const {
  const auto working =
      filtered(known, [&](const BackendState &it) { return it.isUsable(now); });
  const auto fresh = filtered(working, [&](const BackendState &it) {
    return !absl::c_linear_search(exclude, it.Vm.Id);
  });
  // With every one tried already, a second try beats none.
  return fresh.empty() ? working : fresh;
}

RouteDenied FleetRouter::busy(const std::vector<const BackendState *> &known,
                              absl::Time now) const {
  absl::Time earliest = absl::InfiniteFuture();
  for (const BackendState *it : known)
    if (!it->Leaving)
      earliest = std::min(earliest, it->AsideUntil);
  if (earliest == absl::InfiniteFuture())
    return {RouteRefusal::NoneKnown, NoBackendRetryMs};
  return {RouteRefusal::AllBusy, absl::ToInt64Milliseconds(earliest - now)};
}

RouteResult FleetRouter::select(const RouteQuery &query, absl::Time now) {
  const auto known = filtered(
      Registry.listed(platform::VmRole::Engine), [&](const BackendState &it) {
        return it.Vm.Model == query.Model && !it.Leaving;
      });
  if (known.empty())
    return RouteDenied{RouteRefusal::NoneKnown, NoBackendRetryMs};
  const int64_t needed = query.PromptTokens + query.MaxTokens;
  const auto fitting = filtered(known, [&](const BackendState &it) {
    return it.Vm.MemoryTokens >= needed;
  });
  if (fitting.empty())
    return RouteDenied{RouteRefusal::TooLarge, 0};
  const auto candidates = usable(fitting, query.Exclude, now);
  if (candidates.empty())
    return busy(fitting, now);
  if (query.AttemptsMade > 0 && !Budget.tryTake(now))
    return RouteDenied{RouteRefusal::BudgetSpent, NoBackendRetryMs};

  const PolicyContext context{query, Prefixes, Random, now};
  const size_t n =
      std::visit([&](auto &it) { return it.choose(candidates, context); },
                 policy(query.Policy));
  const BackendState &chosen = *candidates[n];
  RouteChoice choice;
  choice.BackendId = chosen.Vm.Id;
  choice.Address = chosen.Vm.Address;
  choice.PredictedFirstToken = predictFirstToken(chosen, context);
  const int64_t cached = Prefixes.believedTokens(chosen.Vm.Id, query.Prefix);
  choice.Reason = absl::StrFormat(
      "%s among %d of %d, first token predicted in %d ms, cached %d tokens",
      query.Policy, candidates.size(), known.size(),
      absl::ToInt64Milliseconds(choice.PredictedFirstToken), cached);
  choice.PrefillTokens = std::max<int64_t>(0, query.PromptTokens - cached);
  Registry.dispatched(choice.BackendId,
                      {now, choice.PrefillTokens, query.Priority});
  Prefixes.remember(choice.BackendId, query.Prefix);
  return choice;
}

RouteResult FleetRouter::selectService(std::string_view service,
                                       const std::vector<std::string> &exclude,
                                       int64_t attemptsMade, absl::Time now) {
  const auto known = filtered(Registry.listed(platform::VmRole::Service),
                              [&](const BackendState &it) {
                                return it.Vm.Service == service && !it.Leaving;
                              });
  if (known.empty())
    return RouteDenied{RouteRefusal::NoneKnown, NoBackendRetryMs};
  const auto candidates = usable(known, exclude, now);
  if (candidates.empty())
    return busy(known, now);
  if (attemptsMade > 0 && !Budget.tryTake(now))
    return RouteDenied{RouteRefusal::BudgetSpent, NoBackendRetryMs};
  const auto it = absl::c_min_element(
      candidates, [](const BackendState *one, const BackendState *two) {
        return one->InFlight < two->InFlight;
      });
  RouteChoice choice;
  choice.BackendId = (*it)->Vm.Id;
  choice.Address = (*it)->Vm.Address;
  choice.Reason = fmt::format("fewest calls in flight among {} of {}",
                              candidates.size(), known.size());
  Registry.dispatched(choice.BackendId, {now, 0, 0});
  return choice;
}

void FleetRouter::refused(const std::string &backend, int64_t retryAfterMs,
                          bool draining, absl::Time now) {
  if (draining)
    Registry.markLeaving(backend, now);
  Registry.markRefusing(backend, absl::Milliseconds(retryAfterMs), now);
}

void FleetRouter::failed(const std::string &backend, absl::Time now) {
  Budget.grantExtraRetries(movable(backend, now), now);
  Registry.markFailed(backend, now);
}

int64_t FleetRouter::movable(const std::string &id, absl::Time now) const {
  int64_t held = 0;
  size_t others = 0;
  const std::vector<const BackendState *> known = Registry.listedBackends();
  for (const BackendState *it : known) {
    if (!it->isUsable(now))
      continue;
    if (it->Vm.Id == id)
      held = it->InFlight;
    else
      ++others;
  }
  // Of a backend server that is set aside already, nothing more is moved; and
  // where most of them fail, moves would only add to the load.
  return 2 * others >= known.size() ? held : 0;
}

void FleetRouter::released(const std::string &backend, const RouteQuery &,
                           bool completed, absl::Time) {
  Registry.ended(backend);
  if (!completed)
    return;
  Budget.succeeded();
  Registry.markWorking(backend);
}

} // namespace orioletally::core::routing

#include "core/routing/fleet_router.h"

#include <absl/algorithm/container.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <fmt/format.h>

namespace orioletally::core::routing {

namespace {

constexpr int64_t NoBackendRetryMs = 1000;

/// Returns the backend servers for which \p keep is true.
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
    : Registry(settings.MaxReportLag),
      Budget(settings.RetryShare, settings.RetryReserve),
      Prefixes(settings.PrefixCapacity), Random(settings.Seed) {}

RoutingPolicy &FleetRouter::policy(const std::string &name) {
  const auto it = Policies.find(name);
  if (it != Policies.end())
    return it->second;
  return Policies.emplace(name, routingPolicyFromName(name)).first->second;
}

std::vector<const BackendState *>
FleetRouter::usable(const std::vector<const BackendState *> &servers,
                    const std::vector<std::string> &exclude,
                    absl::Time now) const {
  const auto available = filtered(
      servers, [&](const BackendState &it) { return it.isUsable(now); });
  const auto untried = filtered(available, [&](const BackendState &it) {
    return !absl::c_linear_search(exclude, it.Vm.Id);
  });
  // If all of them were tried already, a second attempt at one is better than
  // none.
  return untried.empty() ? available : untried;
}

RouteDenied
FleetRouter::busyDenial(const std::vector<const BackendState *> &servers,
                        absl::Time now) const {
  absl::Time earliest = absl::InfiniteFuture();
  for (const BackendState *it : servers)
    if (!it->Leaving)
      earliest = std::min(earliest, it->BackoffUntil);
  if (earliest == absl::InfiniteFuture())
    return {RouteRefusal::NoneKnown, NoBackendRetryMs};
  return {RouteRefusal::AllBusy, absl::ToInt64Milliseconds(earliest - now)};
}

RouteResult FleetRouter::select(const RouteQuery &query, absl::Time now) {
  const auto servers = filtered(
      Registry.listed(platform::VmRole::Engine), [&](const BackendState &it) {
        return it.Vm.Model == query.Model && !it.Leaving;
      });
  if (servers.empty())
    return RouteDenied{RouteRefusal::NoneKnown, NoBackendRetryMs};
  const int64_t needed = query.PromptTokens + query.MaxTokens;
  const auto fitting = filtered(servers, [&](const BackendState &it) {
    return it.Vm.MemoryTokens >= needed;
  });
  if (fitting.empty())
    return RouteDenied{RouteRefusal::TooLarge, 0};
  const auto candidates = usable(fitting, query.Exclude, now);
  if (candidates.empty())
    return busyDenial(fitting, now);
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
  const int64_t cached =
      Prefixes.estimatedCachedTokens(chosen.Vm.Id, query.Prefix);
  choice.Reason = absl::StrFormat(
      "%s among %d of %d, first token predicted in %d ms, cached %d tokens",
      query.Policy, candidates.size(), servers.size(),
      absl::ToInt64Milliseconds(choice.PredictedFirstToken), cached);
  choice.PrefillTokens = std::max<int64_t>(0, query.PromptTokens - cached);
  Registry.dispatched(choice.BackendId,
                      {now, choice.PrefillTokens, query.Priority});
  Prefixes.insert(choice.BackendId, query.Prefix);
  return choice;
}

RouteResult FleetRouter::selectService(std::string_view service,
                                       const std::vector<std::string> &exclude,
                                       int64_t attemptsMade, absl::Time now) {
  const auto servers = filtered(
      Registry.listed(platform::VmRole::Service), [&](const BackendState &it) {
        return it.Vm.Service == service && !it.Leaving;
      });
  if (servers.empty())
    return RouteDenied{RouteRefusal::NoneKnown, NoBackendRetryMs};
  const auto candidates = usable(servers, exclude, now);
  if (candidates.empty())
    return busyDenial(servers, now);
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
                              candidates.size(), servers.size());
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
  Budget.grantExtraRetries(extraRetriesFor(backend, now), now);
  Registry.markFailed(backend, now);
}

int64_t FleetRouter::extraRetriesFor(const std::string &id,
                                     absl::Time now) const {
  int64_t inFlight = 0;
  size_t others = 0;
  const std::vector<const BackendState *> servers = Registry.listedBackends();
  for (const BackendState *it : servers) {
    if (!it->isUsable(now))
      continue;
    if (it->Vm.Id == id)
      inFlight = it->InFlight;
    else
      ++others;
  }
  // A backend server that is already in backoff gets no extra retries. If most
  // backend servers fail, extra retries would only add to the load.
  return 2 * others >= servers.size() ? inFlight : 0;
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

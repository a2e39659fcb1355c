#include "core/routing/backend_registry.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace orioletally::core::routing {

namespace {

constexpr absl::Duration InitialBackoff = absl::Milliseconds(250);
constexpr absl::Duration MaxBackoff = absl::Seconds(10);
constexpr int MaxDoublings = 6;
/// Time for which the state of an unlisted VM is kept, so that a stale list
/// that names the VM again doesn't clear its Leaving flag and its backoff.
constexpr absl::Duration UnlistedRetention = absl::Minutes(10);
constexpr size_t MaxRecentDispatches = 256;

} // namespace

int64_t BackendState::prefillTokensAhead(int64_t priority,
                                         absl::Time now) const {
  const auto rate = static_cast<double>(Vm.PrefillTokensPerSecond);
  double tokens = 0;
  if (Report.has_value()) {
    for (size_t n = static_cast<size_t>(priority);
         n < Report->QueuedPrefill.size(); ++n)
      tokens += static_cast<double>(Report->QueuedPrefill[n]);
    // Higher priorities are prefilled first, so everything prefilled since the
    // report comes off the tokens ahead.
    tokens -= absl::ToDoubleSeconds(now - ReportAt) * rate;
    tokens = std::max(0.0, tokens);
  }
  for (const RecentDispatch &it : RecentDispatches) {
    if (it.Priority < priority)
      continue;
    const double done = absl::ToDoubleSeconds(now - it.At) * rate;
    tokens += std::max(0.0, static_cast<double>(it.PrefillTokens) - done);
  }
  return static_cast<int64_t>(tokens);
}

int64_t BackendState::prefillTokensBehind(int64_t priority,
                                          absl::Time now) const {
  // All tokens less those ahead; for priority 0, all tokens are ahead.
  return std::max<int64_t>(0, prefillTokensAhead(0, now) -
                                  prefillTokensAhead(priority, now));
}

BackendRegistry::BackendRegistry(absl::Duration maxReportLag)
    : MaxReportLag(maxReportLag) {}

BackendState *BackendRegistry::find(std::string_view id) {
  const auto it = Backends.find(id);
  return it == Backends.end() ? nullptr : &it->second;
}

void BackendRegistry::replaceList(const std::vector<platform::Vm> &vms,
                                  absl::Time now) {
  if (vms.empty() && !Backends.empty())
    return;
  absl::flat_hash_set<std::string> listedIds;
  for (const platform::Vm &it : vms) {
    listedIds.insert(it.Id);
    BackendState &backend = Backends[it.Id];
    backend.Vm = it;
    backend.Listed = true;
    backend.UnlistedSince = absl::InfiniteFuture();
    if (it.Leaving)
      markLeaving(it.Id, now);
  }
  for (auto &[id, backend] : Backends) {
    if (listedIds.contains(id) || !backend.Listed)
      continue;
    backend.Listed = false;
    backend.UnlistedSince = now;
  }
  removeExpired(now);
}

void BackendRegistry::removeExpired(absl::Time now) {
  for (auto it = Backends.begin(); it != Backends.end();) {
    const bool isExpired = now - it->second.UnlistedSince > UnlistedRetention;
    it = isExpired && it->second.InFlight == 0 ? Backends.erase(it)
                                               : std::next(it);
  }
}

bool BackendRegistry::markLeaving(std::string_view id, absl::Time now) {
  BackendState *backend = find(id);
  if (backend == nullptr || backend->Leaving)
    return false;
  backend->Leaving = true;
  backend->LeavingSince = now;
  return true;
}

void BackendRegistry::startBackoff(BackendState &backend,
                                   absl::Duration minBackoff, absl::Time now) {
  const int doublings = std::min(backend.ConsecutiveFailures, MaxDoublings);
  const absl::Duration exponential = InitialBackoff * (1 << doublings);
  ++backend.ConsecutiveFailures;
  backend.BackoffUntil =
      now + std::max(minBackoff, std::min(exponential, MaxBackoff));
}

void BackendRegistry::markFailed(std::string_view id, absl::Time now) {
  if (BackendState *backend = find(id))
    startBackoff(*backend, absl::ZeroDuration(), now);
}

void BackendRegistry::markRefusing(std::string_view id,
                                   absl::Duration retryAfter, absl::Time now) {
  if (BackendState *backend = find(id))
    startBackoff(*backend, std::min(retryAfter, MaxBackoff), now);
}

void BackendRegistry::markWorking(std::string_view id) {
  BackendState *backend = find(id);
  if (backend == nullptr)
    return;
  backend->ConsecutiveFailures = 0;
  backend->BackoffUntil = absl::InfinitePast();
}

void BackendRegistry::report(std::string_view id,
                             const backends::LoadReport &report,
                             absl::Time now) {
  BackendState *backend = find(id);
  if (backend == nullptr)
    return;
  backend->Report = report;
  backend->ReportAt = now;
  while (!backend->RecentDispatches.empty() &&
         backend->RecentDispatches.front().At < now - MaxReportLag)
    backend->RecentDispatches.pop_front();
}

void BackendRegistry::dispatched(std::string_view id,
                                 const RecentDispatch &dispatch) {
  if (BackendState *backend = find(id))
    ++backend->InFlight;
  dispatchedElsewhere(id, dispatch);
}

void BackendRegistry::dispatchedElsewhere(std::string_view id,
                                          const RecentDispatch &dispatch) {
  BackendState *backend = find(id);
  if (backend == nullptr)
    return;
  backend->RecentDispatches.push_back(dispatch);
  if (backend->RecentDispatches.size() > MaxRecentDispatches)
    backend->RecentDispatches.pop_front();
}

void BackendRegistry::ended(std::string_view id) {
  BackendState *backend = find(id);
  if (backend != nullptr && backend->InFlight > 0)
    --backend->InFlight;
}

std::vector<const BackendState *>
BackendRegistry::listed(platform::VmRole role) const {
  std::vector<const BackendState *> result;
  for (const auto &[id, backend] : Backends)
    if (backend.Listed && backend.Vm.Role == role)
      result.push_back(&backend);
  return result;
}

std::vector<const BackendState *> BackendRegistry::listedBackends() const {
  std::vector<const BackendState *> result = listed(platform::VmRole::Engine);
  const auto services = listed(platform::VmRole::Service);
  result.insert(result.end(), services.begin(), services.end());
  return result;
}

std::vector<std::string> BackendRegistry::leaving() const {
  std::vector<std::string> result;
  for (const auto &[id, backend] : Backends)
    if (backend.Leaving)
      result.push_back(id);
  return result;
}

} // namespace orioletally::core::routing

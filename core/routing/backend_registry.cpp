#include "core/routing/backend_registry.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace orioletally::core::routing {

namespace {

constexpr absl::Duration FirstAside = absl::Milliseconds(250);
constexpr absl::Duration LongestAside = absl::Seconds(10);
constexpr int MaxDoublings = 6;
/// How long a stale list may bring back a VM before its marks are forgotten.
constexpr absl::Duration UnlistedMemory = absl::Minutes(10);
constexpr size_t MaxRecent = 256;

} // namespace

int64_t BackendState::prefillAhead(int64_t priority, absl::Time now) const {
  const auto rate = static_cast<double>(Vm.PrefillTokensPerSecond);
  double tokens = 0;
  if (Report.has_value()) {
    for (size_t n = static_cast<size_t>(priority);
         n < Report->QueuedPrefill.size(); ++n)
      tokens += static_cast<double>(Report->QueuedPrefill[n]);
    // The highest priorities are worked off first, so the time since the
    // report counts against what is ahead.
    tokens -= absl::ToDoubleSeconds(now - ReportAt) * rate;
    tokens = std::max(0.0, tokens);
  }
  for (const RecentDispatch &it : Recent) {
    if (it.Priority < priority)
      continue;
    const double done = absl::ToDoubleSeconds(now - it.At) * rate;
    tokens += std::max(0.0, static_cast<double>(it.PrefillTokens) - done);
  }
  return static_cast<int64_t>(tokens);
}

int64_t BackendState::prefillBehind(int64_t priority, absl::Time now) const {
  // Everything there, less what is ahead: the lowest priority has all ahead.
  return std::max<int64_t>(0,
                           prefillAhead(0, now) - prefillAhead(priority, now));
}

BackendRegistry::BackendRegistry(absl::Duration reportLag)
    : ReportLag(reportLag) {}

BackendState *BackendRegistry::find(std::string_view id) {
  const auto it = Backends.find(id);
  return it == Backends.end() ? nullptr : &it->second;
}

void BackendRegistry::replaceList(const std::vector<platform::Vm> &vms,
                                  absl::Time now) {
  if (vms.empty() && !Backends.empty())
    return;
  absl::flat_hash_set<std::string> seen;
  for (const platform::Vm &it : vms) {
    seen.insert(it.Id);
    BackendState &backend = Backends[it.Id];
    backend.Vm = it;
    backend.Listed = true;
    backend.UnlistedSince = absl::InfiniteFuture();
    if (it.Leaving)
      markLeaving(it.Id, now);
  }
  for (auto &[id, backend] : Backends) {
    if (seen.contains(id) || !backend.Listed)
      continue;
    backend.Listed = false;
    backend.UnlistedSince = now;
  }
  forgetUnlisted(now);
}

void BackendRegistry::forgetUnlisted(absl::Time now) {
  for (auto it = Backends.begin(); it != Backends.end();) {
    const bool isOld = now - it->second.UnlistedSince > UnlistedMemory;
    it = isOld && it->second.InFlight == 0 ? Backends.erase(it) : std::next(it);
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

void BackendRegistry::setAside(BackendState &backend, absl::Duration least,
                               absl::Time now) {
  const int doublings = std::min(backend.FailuresInARow, MaxDoublings);
  const absl::Duration grown = FirstAside * (1 << doublings);
  ++backend.FailuresInARow;
  backend.AsideUntil = now + std::max(least, std::min(grown, LongestAside));
}

void BackendRegistry::markFailed(std::string_view id, absl::Time now) {
  if (BackendState *backend = find(id))
    setAside(*backend, absl::ZeroDuration(), now);
}

void BackendRegistry::markRefusing(std::string_view id,
                                   absl::Duration retryAfter, absl::Time now) {
  if (BackendState *backend = find(id))
    setAside(*backend, std::min(retryAfter, LongestAside), now);
}

void BackendRegistry::markWorking(std::string_view id) {
  BackendState *backend = find(id);
  if (backend == nullptr)
    return;
  backend->FailuresInARow = 0;
  backend->AsideUntil = absl::InfinitePast();
}

void BackendRegistry::report(std::string_view id,
                             const backends::LoadReport &report,
                             absl::Time now) {
  BackendState *backend = find(id);
  if (backend == nullptr)
    return;
  backend->Report = report;
  backend->ReportAt = now;
  while (!backend->Recent.empty() &&
         backend->Recent.front().At < now - ReportLag)
    backend->Recent.pop_front();
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
  backend->Recent.push_back(dispatch);
  if (backend->Recent.size() > MaxRecent)
    backend->Recent.pop_front();
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

#include "core/routes/routing_config.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace orioletally::core::routes {

namespace {

constexpr std::array<std::string_view, 3> KindNames = {
    "idempotent", "non_idempotent", "streaming"};

/// Returns \p host in lower case and without its port, for comparison.
std::string normalizedHost(std::string_view host) {
  const size_t colon = host.rfind(':');
  std::string result(host.substr(0, colon));
  absl::AsciiStrToLower(&result);
  return result;
}

} // namespace

std::string_view routeKindName(RouteKind kind) {
  return KindNames[static_cast<size_t>(kind)];
}

const Route *RoutingConfig::match(std::string_view host,
                                  std::string_view target) const {
  const auto found = ByHost.find(normalizedHost(host));
  if (found == ByHost.end())
    return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const size_t n : found->second)
    if (path.starts_with(Routes[n]->Prefix))
      return Routes[n].get();
  return nullptr;
}

const std::string *RoutingConfig::workspace(std::string_view key) const {
  const auto found = WorkspaceByKey.find(key);
  return found == WorkspaceByKey.end() ? nullptr : &found->second;
}

const Service *RoutingConfig::service(std::string_view name) const {
  const auto found = Services.find(name);
  return found == Services.end() ? nullptr : &found->second;
}

CallRank RoutingConfig::rank(std::string_view service, const Route &route,
                             std::string_view workspace) const {
  const auto priorities = PrioritiesByService.find(service);
  if (priorities == PrioritiesByService.end())
    return {};
  const auto own = PriorityByWorkspace.find(workspace);
  const int64_t priority =
      own == PriorityByWorkspace.end() ? route.Priority : own->second;
  const std::vector<int64_t> &all = priorities->second;
  const auto place = std::lower_bound(all.begin(), all.end(), priority);
  return {place - all.begin(), static_cast<int64_t>(all.size())};
}

RoutingConfigBuilder &RoutingConfigBuilder::version(uint64_t n) {
  Config->Version = n;
  return *this;
}

RoutingConfigBuilder &RoutingConfigBuilder::source(std::string text) {
  Config->Source = std::move(text);
  return *this;
}

RoutingConfigBuilder &RoutingConfigBuilder::limits(const CallerLimits &limits) {
  Config->Limits = limits;
  return *this;
}

RoutingConfigBuilder &RoutingConfigBuilder::route(Route route) {
  route.Host = normalizedHost(route.Host);
  return this->route(std::make_shared<const Route>(std::move(route)));
}

RoutingConfigBuilder &
RoutingConfigBuilder::route(std::shared_ptr<const Route> route) {
  Config->Routes.push_back(std::move(route));
  return *this;
}

RoutingConfigBuilder &RoutingConfigBuilder::service(Service service) {
  std::string name = service.Name;
  Config->Services.insert_or_assign(std::move(name), std::move(service));
  return *this;
}

RoutingConfigBuilder &RoutingConfigBuilder::key(const std::string &key,
                                                const std::string &workspace) {
  Config->WorkspaceByKey.insert_or_assign(key, workspace);
  return *this;
}

RoutingConfigBuilder &
RoutingConfigBuilder::workspacePriority(const std::string &workspace,
                                        int64_t priority) {
  Config->PriorityByWorkspace.insert_or_assign(workspace, priority);
  return *this;
}

RoutingConfigBuilder &RoutingConfigBuilder::needsKeys() {
  Config->NeedsKeys = true;
  return *this;
}

void RoutingConfigBuilder::collectPriorities() {
  std::set<int64_t> ofWorkspaces;
  for (const auto &[workspace, priority] : Config->PriorityByWorkspace)
    ofWorkspaces.insert(priority);
  const bool mayLackPriority =
      std::any_of(Config->WorkspaceByKey.begin(), Config->WorkspaceByKey.end(),
                  [&](const auto &it) {
                    return !Config->PriorityByWorkspace.contains(it.second);
                  });
  std::map<std::string, std::set<int64_t>, std::less<>> byService;
  for (const std::shared_ptr<const Route> &route : Config->Routes)
    for (const RouteTarget &target : route->Targets) {
      std::set<int64_t> &priorities = byService[target.Service];
      priorities.insert(ofWorkspaces.begin(), ofWorkspaces.end());
      if (mayLackPriority || route->Public || ofWorkspaces.empty())
        priorities.insert(route->Priority);
    }
  for (const auto &[service, priorities] : byService)
    Config->PrioritiesByService[service].assign(priorities.begin(),
                                                priorities.end());
}

std::shared_ptr<const RoutingConfig> RoutingConfigBuilder::build() {
  collectPriorities();
  for (size_t n = 0; n < Config->Routes.size(); ++n)
    Config->ByHost[Config->Routes[n]->Host].push_back(n);
  for (auto &[host, indices] : Config->ByHost)
    std::stable_sort(indices.begin(), indices.end(),
                     [&](size_t left, size_t right) {
                       return Config->Routes[left]->Prefix.size() >
                              Config->Routes[right]->Prefix.size();
                     });
  return std::exchange(Config, nullptr);
}

} // namespace orioletally::core::routes

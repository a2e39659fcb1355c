#ifndef ORIOLETALLY_CORE_ROUTING_FLEET_ROUTER_H
#define ORIOLETALLY_CORE_ROUTING_FLEET_ROUTER_H

#include "core/limits/retry_budget.h"
#include "core/routing/backend_registry.h"
#include "core/routing/backend_selector.h"
#include "core/routing/prefix_index.h"
#include "core/routing/routing_policy.h"

#include <absl/container/flat_hash_map.h>
#include <random>

namespace orioletally::core::routing {

/// Parameters of a FleetRouter.
struct RouterSettings {
  absl::Duration MaxReportLag = absl::Milliseconds(500);
  /// Retries earned by one success.
  double RetryShare = 0.1;
  /// Retries that may be saved up.
  double RetryReserve = 10;
  size_t PrefixCapacity = 65536;
  uint64_t Seed = 1;
};

/// Routes completions of one node. Not safe for use by several threads at
/// once; the driver guards it.
class FleetRouter : public BackendSelector {
public:
  explicit FleetRouter(const RouterSettings &settings);

  RouteResult select(const RouteQuery &query, absl::Time now) override;
  void refused(const std::string &backend, int64_t retryAfterMs, bool draining,
               absl::Time now) override;
  void failed(const std::string &backend, absl::Time now) override;
  void released(const std::string &backend, const RouteQuery &query,
                bool completed, absl::Time now) override;

  /// Chooses a plain service's backend server, one not in \p exclude if any.
  /// A call after the first draws on the retry budget.
  RouteResult selectService(std::string_view service,
                            const std::vector<std::string> &exclude,
                            int64_t attemptsMade, absl::Time now);

  BackendRegistry &registry() { return Registry; }

private:
  /// Requests at \p id that may be moved although the budget is spent.
  int64_t movableRequests(const std::string &id, absl::Time now) const;
  RoutingPolicy &policy(const std::string &name);
  std::vector<const BackendState *>
  usable(const std::vector<const BackendState *> &servers,
         const std::vector<std::string> &exclude, absl::Time now) const;
  RouteDenied busyDenial(const std::vector<const BackendState *> &servers,
                         absl::Time now) const;

  BackendRegistry Registry;
  limits::RetryBudget Budget;
  PrefixIndex Prefixes;
  absl::flat_hash_map<std::string, RoutingPolicy> Policies;
  std::mt19937_64 Random;
};

} // namespace orioletally::core::routing

#endif

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

struct RouterSettings {
  /// Highest age of a load report when it arrives.
  absl::Duration MaxReportLag = absl::Milliseconds(500);
  /// Retries that one success adds to the retry budget.
  double RetryShare = 0.1;
  /// Retries available before the first success, and the highest number that
  /// the budget accumulates.
  double RetryReserve = 10;
  /// Entries of the prefix index.
  size_t PrefixCapacity = 65536;
  uint64_t Seed = 1;
};

/// Routes the completions and service calls of one node. Not thread-safe: the
/// driver serializes access.
class FleetRouter : public BackendSelector {
public:
  explicit FleetRouter(const RouterSettings &settings);

  RouteResult select(const RouteQuery &query, absl::Time now) override;
  void refused(const std::string &backend, int64_t retryAfterMs, bool draining,
               absl::Time now) override;
  void failed(const std::string &backend, absl::Time now) override;
  void released(const std::string &backend, const RouteQuery &query,
                bool completed, absl::Time now) override;

  /// Chooses a backend server of a plain service, preferably one that isn't in
  /// \p exclude. Every attempt after the first is charged to the retry budget.
  RouteResult selectService(std::string_view service,
                            const std::vector<std::string> &exclude,
                            int64_t attemptsMade, absl::Time now);

  BackendRegistry &registry() { return Registry; }

private:
  /// Number of requests in flight at \p id that may be retried elsewhere even
  /// if the retry budget is used up.
  int64_t extraRetriesFor(const std::string &id, absl::Time now) const;
  RoutingPolicy &policy(const std::string &name);
  /// Returns those of \p servers that may get a request, without those in
  /// \p exclude unless nothing else is left.
  std::vector<const BackendState *>
  usable(const std::vector<const BackendState *> &servers,
         const std::vector<std::string> &exclude, absl::Time now) const;
  /// Returns the denial for \p servers that are all leaving or in backoff.
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

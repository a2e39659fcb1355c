#ifndef ORIOLETALLY_DRIVERS_GATEWAY_SHARED_ROUTER_H
#define ORIOLETALLY_DRIVERS_GATEWAY_SHARED_ROUTER_H

#include "core/membership/peer_message.h"
#include "core/routing/fleet_router.h"
#include "drivers/gateway/view_freshness.h"

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace orioletally::drivers::gateway {

/// A thread-safe FleetRouter, shared by all requests.
class SharedRouter : public core::routing::BackendSelector {
public:
  /// Called after each selection of an engine, without the lock held.
  using DispatchHandler =
      std::function<void(const core::membership::Dispatch &)>;

  void setDispatchHandler(DispatchHandler handler) {
    OnDispatch = std::move(handler);
  }

  /// Selects no backend server while \p freshness reports a stale view.
  SharedRouter(const core::routing::RouterSettings &settings,
               const ViewFreshness &freshness)
      : Freshness(freshness), Router(settings) {}

  core::routing::RouteResult select(const core::routing::RouteQuery &query,
                                    absl::Time now) override;
  void refused(const std::string &backend, int64_t retryAfterMs, bool draining,
               absl::Time now) override;
  void failed(const std::string &backend, absl::Time now) override;
  void released(const std::string &backend,
                const core::routing::RouteQuery &query, bool completed,
                absl::Time now) override;

  core::routing::RouteResult
  selectService(std::string_view service,
                const std::vector<std::string> &exclude, int64_t attemptsMade,
                absl::Time now);

  /// Marks backend servers as leaving; returns those that weren't marked
  /// before.
  std::vector<std::string> markLeaving(const std::vector<std::string> &ids,
                                       absl::Time now);

  /// Calls \p function with the registry, with the lock held.
  template <typename Function> auto withRegistry(Function function) {
    const std::lock_guard lock(Guard);
    return function(Router.registry());
  }

private:
  const ViewFreshness &Freshness;
  DispatchHandler OnDispatch;
  std::mutex Guard;
  core::routing::FleetRouter Router;
};

} // namespace orioletally::drivers::gateway

#endif

#include "drivers/gateway/shared_router.h"

namespace orioletally::drivers::gateway {

using core::routing::BackendRegistry;
using core::routing::RouteChoice;
using core::routing::RouteDenied;
using core::routing::RouteQuery;
using core::routing::RouteRefusal;
using core::routing::RouteResult;

namespace {
constexpr int64_t StaleRetryMs = 50;
} // namespace

RouteResult SharedRouter::select(const RouteQuery &query, absl::Time now) {
  if (!Freshness.isFresh(now))
    return RouteDenied{RouteRefusal::AllBusy, StaleRetryMs};
  RouteResult result;
  {
    const std::lock_guard lock(Guard);
    result = Router.select(query, now);
  }
  const auto *choice = std::get_if<RouteChoice>(&result);
  if (choice != nullptr && OnDispatch)
    OnDispatch({choice->BackendId, choice->PrefillTokens, query.Priority});
  return result;
}

void SharedRouter::refused(const std::string &backend, int64_t retryAfterMs,
                           bool draining, absl::Time now) {
  const std::lock_guard lock(Guard);
  Router.refused(backend, retryAfterMs, draining, now);
}

void SharedRouter::failed(const std::string &backend, absl::Time now) {
  const std::lock_guard lock(Guard);
  Router.failed(backend, now);
}

void SharedRouter::released(const std::string &backend, const RouteQuery &query,
                            bool completed, absl::Time now) {
  const std::lock_guard lock(Guard);
  Router.released(backend, query, completed, now);
}

RouteResult SharedRouter::selectService(std::string_view service,
                                        const std::vector<std::string> &exclude,
                                        int64_t attemptsMade, absl::Time now) {
  if (!Freshness.isFresh(now))
    return RouteDenied{RouteRefusal::AllBusy, StaleRetryMs};
  const std::lock_guard lock(Guard);
  return Router.selectService(service, exclude, attemptsMade, now);
}

std::vector<std::string>
SharedRouter::markLeaving(const std::vector<std::string> &ids, absl::Time now) {
  return withRegistry([&](BackendRegistry &registry) {
    std::vector<std::string> newlyLeaving;
    for (const std::string &it : ids)
      if (registry.markLeaving(it, now))
        newlyLeaving.push_back(it);
    return newlyLeaving;
  });
}

} // namespace orioletally::drivers::gateway

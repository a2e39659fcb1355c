#ifndef ORIOLETALLY_CORE_ROUTES_ROUTING_CONFIG_H
#define ORIOLETALLY_CORE_ROUTES_ROUTING_CONFIG_H

#include "core/engines/engine_speed.h"
#include "core/fleet/warm_up.h"

#include <absl/time/time.h>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::routes {

/// Kind of a route's calls; decides whether a call may be repeated.
enum class RouteKind { Idempotent, NonIdempotent, Streaming };

/// Returns the name of \p kind for logs and metrics.
std::string_view routeKindName(RouteKind kind);

/// A service that a route sends calls to, with its relative share of them.
struct RouteTarget {
  std::string Service;
  double Weight = 1;
};

/// How the calls of one host and path prefix are served. Callers select a route
/// by the host and path that they call.
struct Route {
  std::string Name;
  /// Lower case, without port.
  std::string Host;
  /// Path prefix; starts and ends with a slash.
  std::string Prefix;
  RouteKind Kind = RouteKind::NonIdempotent;
  /// The longest time between a call's arrival and its final answer, which may
  /// be an error.
  absl::Duration Timeout = absl::Seconds(10);
  /// Latency objective: the time within which a complete answer, or the first
  /// event of a stream, is on time.
  absl::Duration Objective = absl::Seconds(1);
  /// The longest pause between two events of a stream that is on time; zero for
  /// no objective.
  absl::Duration GapObjective = absl::ZeroDuration();
  /// 0 is the most urgent.
  int64_t Priority = 0;
  std::vector<RouteTarget> Targets;
  /// Maximum number of backend servers that a call is sent to.
  int64_t MaxAttempts = 1;
  /// Whether calls need no API key.
  bool Public = false;
  /// Whether a stream may be resumed at another backend server.
  bool Resumable = false;

  /// Whether a call may be executed more than once.
  bool mayRepeat() const {
    return Kind == RouteKind::Idempotent ||
           (Kind == RouteKind::Streaming && Resumable);
  }
};

/// A service and the common properties of its backend servers.
struct Service {
  std::string Name;
  /// Set when the service's backend servers are model engines; empty for a
  /// plain service.
  std::optional<engines::EngineSpeed> Engine;
  fleet::ColdPolicy Cold;
};

/// The urgency of a call among the calls of a service.
struct CallRank {
  /// Number of more urgent priorities that calls of the service may have.
  int64_t Index = 0;
  /// Number of different priorities that calls of the service may have.
  int64_t Count = 1;
};

/// Limits on the size of a caller's messages and on the time to send them.
struct CallerLimits {
  uint32_t MaxHeaderBytes = 16384;
  uint64_t MaxBodyBytes = 4194304;
  /// Time within which the headers of a call must arrive.
  absl::Duration HeaderTimeout = absl::Seconds(3);
  /// How long a connection stays open without a call.
  absl::Duration IdleTimeout = absl::Seconds(15);
};

/// The routing configuration as set by operators. Immutable; created by a
/// RoutingConfigBuilder. A higher version is newer.
class RoutingConfig {
public:
  uint64_t version() const { return Version; }
  /// The text that the configuration was parsed from, sent unchanged to other
  /// nodes.
  const std::string &source() const { return Source; }
  const CallerLimits &limits() const { return Limits; }
  /// Routes that didn't change are shared with earlier configurations.
  const std::vector<std::shared_ptr<const Route>> &routes() const {
    return Routes;
  }

  /// Returns the route of \p host with the longest prefix that matches the path
  /// of \p target, a request target with or without a query; null if none
  /// matches.
  const Route *match(std::string_view host, std::string_view target) const;

  /// Returns the workspace that owns \p key; null if there is none.
  const std::string *workspace(std::string_view key) const;

  /// Whether calls on routes that aren't public need an API key.
  bool needsKeys() const { return NeedsKeys; }

  /// Returns the rank of a call of \p workspace, which may be empty, on
  /// \p route at \p service. The priority of the workspace takes precedence
  /// over that of the route.
  CallRank rank(std::string_view service, const Route &route,
                std::string_view workspace) const;

  /// Returns the service named \p name; null if there is none.
  const Service *service(std::string_view name) const;

  const std::map<std::string, Service, std::less<>> &services() const {
    return Services;
  }

private:
  friend class RoutingConfigBuilder;

  uint64_t Version = 0;
  std::string Source;
  CallerLimits Limits;
  std::vector<std::shared_ptr<const Route>> Routes;
  /// Indices into Routes by host, longest prefix first.
  std::map<std::string, std::vector<size_t>, std::less<>> ByHost;
  std::map<std::string, std::string, std::less<>> WorkspaceByKey;
  std::map<std::string, int64_t, std::less<>> PriorityByWorkspace;
  /// The different priorities that calls may have, in order, by service.
  std::map<std::string, std::vector<int64_t>, std::less<>> PrioritiesByService;
  std::map<std::string, Service, std::less<>> Services;
  bool NeedsKeys = false;
};

/// Builds a RoutingConfig.
class RoutingConfigBuilder {
public:
  RoutingConfigBuilder &version(uint64_t n);
  RoutingConfigBuilder &source(std::string text);
  RoutingConfigBuilder &limits(const CallerLimits &limits);
  RoutingConfigBuilder &route(Route route);
  /// Adds a route that another configuration has, too.
  RoutingConfigBuilder &route(std::shared_ptr<const Route> route);
  RoutingConfigBuilder &service(Service service);
  /// Adds \p key to the API keys of \p workspace.
  RoutingConfigBuilder &key(const std::string &key,
                            const std::string &workspace);
  /// Sets the priority of the calls of \p workspace.
  RoutingConfigBuilder &workspacePriority(const std::string &workspace,
                                          int64_t priority);
  /// Requires an API key for calls even when no workspace has one.
  RoutingConfigBuilder &needsKeys();

  /// Returns the route that was added last; there must be one.
  const std::shared_ptr<const Route> &lastRoute() const {
    return Config->Routes.back();
  }

  /// Returns the finished configuration; the builder can't be used afterwards.
  std::shared_ptr<const RoutingConfig> build();

private:
  /// Collects the priorities that calls of each service may have.
  void collectPriorities();

  std::shared_ptr<RoutingConfig> Config = std::make_shared<RoutingConfig>();
};

} // namespace orioletally::core::routes

#endif

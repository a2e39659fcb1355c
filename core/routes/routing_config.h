#ifndef ORIOLETALLY_CORE_ROUTES_ROUTING_CONFIG_H
#define ORIOLETALLY_CORE_ROUTES_ROUTING_CONFIG_H

#include "core/engines/engine_speed.h"

#include <absl/time/time.h>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::routes {

/// What may be repeated of the calls that a route carries.
enum class RouteKind { Idempotent, NonIdempotent, Streaming };

/// Returns the name of \p kind in logs and metrics.
std::string_view routeKindName(RouteKind kind);

/// One service that a route may send a call to, with its share of the calls.
struct RouteTarget {
  std::string Service;
  double Weight = 1;
};

/// How the calls of one host and path prefix are served. A route is the
/// profile that its callers pick by calling it.
struct Route {
  std::string Name;
  /// Lower case, without a port.
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  RouteKind Kind = RouteKind::NonIdempotent;
  /// The longest time between a call's arrival and its final answer.
  absl::Duration Timeout = absl::Seconds(10);
  /// The time within which a whole answer, or a stream's first event, is of
  /// full use to the caller.
  absl::Duration Objective = absl::Seconds(1);
  /// The longest pause between two events of a stream that is still on time.
  absl::Duration GapObjective = absl::ZeroDuration();
  /// 0 is the most urgent.
  int64_t Priority = 0;
  std::vector<RouteTarget> Targets;
  /// How many backend servers one call may be sent to.
  int64_t MaxAttempts = 1;
  /// Whether calls need no key.
  bool Public = false;
  /// Whether a stream may go on at another backend server.
  bool Resumable = false;

  /// Whether a call may be executed more than once.
  bool mayRepeat() const {
    return Kind == RouteKind::Idempotent ||
           (Kind == RouteKind::Streaming && Resumable);
  }
};

/// A service and what is known of its backend servers as a group.
struct Service {
  std::string Name;
  /// Set when the service's backend servers are model engines.
  std::optional<engines::EngineSpeed> Engine;
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
  uint32_t MaxHeaderBytes = 16384;
  uint64_t MaxBodyBytes = 4194304;
  absl::Duration HeaderTimeout = absl::Seconds(3);
  absl::Duration IdleTimeout = absl::Seconds(15);
};

/// Which calls go where, as operators have it. Immutable; made by a
/// RoutingConfigBuilder. Larger versions are newer.
class RoutingConfig {
public:
  uint64_t version() const { return Version; }
  /// The text that it was read from, to be passed on to other nodes as it is.
  const std::string &source() const { return Source; }
  const CallerLimits &limits() const { return Limits; }
  const std::vector<Route> &routes() const { return Routes; }

  /// Returns the route of \p host with the longest prefix of the path of
  /// \p target (a request target, possibly with a query); null if none.
  const Route *match(std::string_view host, std::string_view target) const;

  /// Returns the workspace that holds \p key; null when none does.
  const std::string *workspace(std::string_view key) const;

  /// Whether calls on routes that aren't public need a key.
  bool needsKeys() const { return NeedsKeys; }

  /// Returns the service called \p name; null when there is none.
  const Service *service(std::string_view name) const;

private:
  friend class RoutingConfigBuilder;

  uint64_t Version = 0;
  std::string Source;
  CallerLimits Limits;
  std::vector<Route> Routes;
  /// By host: indices into Routes, the longest prefix first.
  std::map<std::string, std::vector<size_t>, std::less<>> ByHost;
  std::map<std::string, std::string, std::less<>> WorkspaceByKey;
  std::map<std::string, Service, std::less<>> Services;
  bool NeedsKeys = false;
};

/// Puts a RoutingConfig together.
class RoutingConfigBuilder {
public:
  RoutingConfigBuilder &version(uint64_t n);
  RoutingConfigBuilder &source(std::string_view text);
  RoutingConfigBuilder &limits(const CallerLimits &limits);
  RoutingConfigBuilder &route(Route route);
  RoutingConfigBuilder &service(Service service);
  /// Declares \p key to be one of the keys of \p workspace.
  RoutingConfigBuilder &key(const std::string &key,
                            const std::string &workspace);
  /// Makes calls need a key even when no workspace has one.
  RoutingConfigBuilder &needsKeys();

  /// Returns the finished configuration; the builder is spent.
  std::shared_ptr<const RoutingConfig> build();

private:
  std::shared_ptr<RoutingConfig> Config = std::make_shared<RoutingConfig>();
};

} // namespace orioletally::core::routes

#endif

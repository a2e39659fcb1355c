#ifndef ORIOLETALLY_CORE_ROUTING_ROUTING_POLICY_H
#define ORIOLETALLY_CORE_ROUTING_ROUTING_POLICY_H

#include "core/routing/backend_registry.h"
#include "core/routing/backend_selector.h"
#include "core/routing/prefix_index.h"

#include <absl/types/span.h>
#include <random>
#include <string>
#include <string_view>
#include <variant>

namespace orioletally::core::routing {

/// The backend servers among which a policy chooses.
using Candidates = absl::Span<const BackendState *const>;

/// The input of a policy besides the candidates.
struct PolicyContext {
  const RouteQuery &Query;
  const PrefixIndex &Prefixes;
  std::mt19937_64 &Random;
  absl::Time Now;
};

/// Chooses uniformly at random.
struct RandomPolicy {
  size_t choose(Candidates candidates, const PolicyContext &context);
};

/// Chooses the candidates in turn.
struct RoundRobinPolicy {
  size_t Next = 0;
  size_t choose(Candidates candidates, const PolicyContext &context);
};

/// Chooses the candidate with the fewest requests of this node in flight.
struct LeastInFlightPolicy {
  size_t choose(Candidates candidates, const PolicyContext &context);
};

/// Chooses, of two random candidates, the one with fewer requests in flight.
struct TwoChoicesPolicy {
  size_t choose(Candidates candidates, const PolicyContext &context);
};

/// Chooses the candidate with the lowest cost: the predicted first-token
/// latency plus the weighted delay for longer prompts there.
struct PredictedFirstTokenPolicy {
  size_t choose(Candidates candidates, const PolicyContext &context);
};

using RoutingPolicy =
    std::variant<PredictedFirstTokenPolicy, LeastInFlightPolicy,
                 TwoChoicesPolicy, RoundRobinPolicy, RandomPolicy>;

/// Returns the policy with the name \p name in profiles, and
/// PredictedFirstTokenPolicy for an unknown name.
RoutingPolicy routingPolicyFromName(std::string_view name);

/// Predicts the time until the first token if the request is sent to \p backend
/// now.
absl::Duration predictFirstToken(const BackendState &backend,
                                 const PolicyContext &context);

} // namespace orioletally::core::routing

#endif

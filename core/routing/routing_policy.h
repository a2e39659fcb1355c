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

/// Backend servers that may take a request, with one of them per entry.
using Candidates = absl::Span<const BackendState *const>;

/// What a policy may look at besides the candidates.
struct PolicyContext {
  const RouteQuery &Query;
  const PrefixIndex &Prefixes;
  std::mt19937_64 &Random;
  absl::Time Now;
};

/// Chooses evenly at random.
struct RandomPolicy {
  size_t choose(Candidates candidates, const PolicyContext &context);
};

/// Takes the candidates in turn.
struct RoundRobinPolicy {
  size_t Next = 0;
  size_t choose(Candidates candidates, const PolicyContext &context);
};

/// Chooses the candidate with the fewest requests of this node in flight.
struct LeastInFlightPolicy {
  size_t choose(Candidates candidates, const PolicyContext &context);
};

/// Chooses the less busy of two random candidates.
struct TwoChoicesPolicy {
  size_t choose(Candidates candidates, const PolicyContext &context);
};

/// Chooses the candidate with the earliest predicted first token.
struct PredictedFirstTokenPolicy {
  size_t choose(Candidates candidates, const PolicyContext &context);
};

using RoutingPolicy =
    std::variant<PredictedFirstTokenPolicy, LeastInFlightPolicy,
                 TwoChoicesPolicy, RoundRobinPolicy, RandomPolicy>;

/// Returns the policy that \p name stands for in a profile; an unknown name
/// stands for the predicting one.
RoutingPolicy routingPolicyFromName(std::string_view name);

/// Time until the first token if \p backend took the request now.
absl::Duration predictFirstToken(const BackendState &backend,
                                 const PolicyContext &context);

} // namespace orioletally::core::routing

#endif

#include "core/routing/routing_policy.h"

#include <absl/random/random.h>
#include <algorithm>

namespace orioletally::core::routing {

namespace {

size_t randomIndex(Candidates candidates, const PolicyContext &context) {
  return absl::Uniform<size_t>(context.Random, 0, candidates.size());
}

} // namespace

size_t RandomPolicy::choose(Candidates candidates,
                            const PolicyContext &context) {
  return randomIndex(candidates, context);
}

size_t RoundRobinPolicy::choose(Candidates candidates, const PolicyContext &) {
  return Next++ % candidates.size();
}

size_t LeastInFlightPolicy::choose(Candidates candidates,
                                   const PolicyContext &context) {
  // A random start spreads ties over the candidates.
  size_t best = randomIndex(candidates, context);
  const size_t first = best;
  for (size_t n = 1; n < candidates.size(); ++n) {
    const size_t it = (first + n) % candidates.size();
    if (candidates[it]->InFlight < candidates[best]->InFlight)
      best = it;
  }
  return best;
}

size_t TwoChoicesPolicy::choose(Candidates candidates,
                                const PolicyContext &context) {
  const size_t one = randomIndex(candidates, context);
  const size_t two = randomIndex(candidates, context);
  return candidates[two]->InFlight < candidates[one]->InFlight ? two : one;
}

namespace {

/// Returns the cost of choosing \p backend: the predicted first-token latency
/// of the request, plus the weighted delay that its prefill adds to longer
/// prompts there if it would be prefilled before them.
absl::Duration costOf(const BackendState &backend,
                      const PolicyContext &context) {
  const absl::Duration predicted = predictFirstToken(backend, context);
  const bool delaysOthers =
      backend.prefillTokensBehind(context.Query.Priority, context.Now) > 0;
  if (!delaysOthers || backend.Vm.PrefillTokensPerSecond <= 0)
    return predicted;
  const double ownSeconds =
      static_cast<double>(context.Query.PromptTokens) /
      static_cast<double>(backend.Vm.PrefillTokensPerSecond);
  return predicted + absl::Seconds(ownSeconds * context.Query.DelayWeight);
}

} // namespace

size_t PredictedFirstTokenPolicy::choose(Candidates candidates,
                                         const PolicyContext &context) {
  const size_t first = randomIndex(candidates, context);
  size_t best = first;
  absl::Duration least = costOf(*candidates[best], context);
  for (size_t n = 1; n < candidates.size(); ++n) {
    const size_t it = (first + n) % candidates.size();
    const absl::Duration cost = costOf(*candidates[it], context);
    if (cost < least) {
      least = cost;
      best = it;
    }
  }
  return best;
}

RoutingPolicy routingPolicyFromName(std::string_view name) {
  if (name == "least_in_flight")
    return LeastInFlightPolicy{};
  if (name == "two_choices")
    return TwoChoicesPolicy{};
  if (name == "round_robin")
    return RoundRobinPolicy{};
  if (name == "random")
    return RandomPolicy{};
  return PredictedFirstTokenPolicy{};
}

absl::Duration predictFirstToken(const BackendState &backend,
                                 const PolicyContext &context) {
  if (backend.Vm.PrefillTokensPerSecond <= 0)
    return absl::ZeroDuration();
  const int64_t cachedTokens = context.Prefixes.estimatedCachedTokens(
      backend.Vm.Id, context.Query.Prefix);
  const int64_t ownTokens =
      std::max<int64_t>(0, context.Query.PromptTokens - cachedTokens);
  const int64_t tokensAhead =
      backend.prefillTokensAhead(context.Query.Priority, context.Now);
  return absl::Seconds(static_cast<double>(tokensAhead + ownTokens) /
                       static_cast<double>(backend.Vm.PrefillTokensPerSecond));
}

} // namespace orioletally::core::routing

#ifndef ORIOLETALLY_TESTS_LAB_PLACEMENT_POLICY_H
#define ORIOLETALLY_TESTS_LAB_PLACEMENT_POLICY_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <variant>
#include <vector>

namespace orioletally::lab {

/// How the engine of each prompt is chosen in a play. The first four know only
/// what their own node has in flight and refuse nothing.
enum class PlacementPolicy {
  Random,
  RoundRobin,
  LeastInFlight,
  TwoChoices,
  /// The product's dispatcher without news from other nodes.
  DispatcherAlone,
  Dispatcher,
};

inline constexpr std::array AllPolicies = {
    PlacementPolicy::Random,          PlacementPolicy::RoundRobin,
    PlacementPolicy::LeastInFlight,   PlacementPolicy::TwoChoices,
    PlacementPolicy::DispatcherAlone, PlacementPolicy::Dispatcher};

/// Returns the name of \p policy in tables and plots.
std::string_view placementPolicyName(PlacementPolicy policy);

/// Prompts in flight at each engine, by one node.
using InFlightCounts = std::vector<int64_t>;

struct RandomBaseline {
  size_t choose(const InFlightCounts &inFlight, std::mt19937_64 &random);
};

struct RoundRobinBaseline {
  size_t choose(const InFlightCounts &inFlight, std::mt19937_64 &random);
  size_t Next = 0;
};

struct LeastInFlightBaseline {
  size_t choose(const InFlightCounts &inFlight, std::mt19937_64 &random);
};

struct TwoChoicesBaseline {
  size_t choose(const InFlightCounts &inFlight, std::mt19937_64 &random);
};

using Baseline = std::variant<RandomBaseline, RoundRobinBaseline,
                              LeastInFlightBaseline, TwoChoicesBaseline>;

/// The baseline that \p policy is; empty for the product's own.
std::optional<Baseline> makeBaseline(PlacementPolicy policy);

} // namespace orioletally::lab

#endif

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

/// How a simulated node chooses the engine of a prompt. The first four policies
/// know only what their own node has in flight, and refuse nothing.
enum class PlacementPolicy {
  Random,
  RoundRobin,
  LeastInFlight,
  TwoChoices,
  /// The product's dispatcher without load updates from other nodes.
  DispatcherAlone,
  Dispatcher,
};

inline constexpr std::array AllPolicies = {
    PlacementPolicy::Random,          PlacementPolicy::RoundRobin,
    PlacementPolicy::LeastInFlight,   PlacementPolicy::TwoChoices,
    PlacementPolicy::DispatcherAlone, PlacementPolicy::Dispatcher};

/// Returns the name of \p policy in tables and plots.
std::string_view placementPolicyName(PlacementPolicy policy);

/// Prompts that one node has in flight at each engine.
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

/// Returns the baseline of \p policy; empty for the product's dispatcher.
std::optional<Baseline> makeBaseline(PlacementPolicy policy);

} // namespace orioletally::lab

#endif

#include "tests/lab/placement_policy.h"

#include <algorithm>

namespace orioletally::lab {

namespace {

constexpr std::array<std::string_view, 6> Names = {
    "random",      "round robin",      "least in flight",
    "two choices", "dispatcher alone", "dispatcher"};

} // namespace

std::string_view placementPolicyName(PlacementPolicy policy) {
  return Names[static_cast<size_t>(policy)];
}

size_t RandomBaseline::choose(const InFlight &load, std::mt19937_64 &random) {
  return random() % load.size();
}

size_t RoundRobinBaseline::choose(const InFlight &load, std::mt19937_64 &) {
  return Next++ % load.size();
}

size_t LeastInFlightBaseline::choose(const InFlight &load,
                                     std::mt19937_64 &random) {
  // Ties go to any of the least, or all nodes would fill the same engine.
  const int64_t least = *std::min_element(load.begin(), load.end());
  size_t n = random() % load.size();
  while (load[n] != least)
    n = (n + 1) % load.size();
  return n;
}

size_t TwoChoicesBaseline::choose(const InFlight &load,
                                  std::mt19937_64 &random) {
  const size_t one = random() % load.size();
  const size_t two = random() % load.size();
  return load[one] <= load[two] ? one : two;
}

std::optional<Baseline> baselineOf(PlacementPolicy policy) {
  switch (policy) {
  case PlacementPolicy::Random:
    return RandomBaseline{};
  case PlacementPolicy::RoundRobin:
    return RoundRobinBaseline{};
  case PlacementPolicy::LeastInFlight:
    return LeastInFlightBaseline{};
  case PlacementPolicy::TwoChoices:
    return TwoChoicesBaseline{};
  case PlacementPolicy::DispatcherAlone:
  case PlacementPolicy::Dispatcher:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace orioletally::lab

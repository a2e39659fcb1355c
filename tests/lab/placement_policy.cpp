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

size_t RandomBaseline::choose(const InFlightCounts &inFlight,
                              std::mt19937_64 &random) {
  return random() % inFlight.size();
}

size_t RoundRobinBaseline::choose(const InFlightCounts &inFlight,
                                  std::mt19937_64 &) {
  return Next++ % inFlight.size();
}

size_t LeastInFlightBaseline::choose(const InFlightCounts &inFlight,
                                     std::mt19937_64 &random) {
  // Ties are broken at random, or all nodes would choose the same engine.
  const int64_t least = *std::min_element(inFlight.begin(), inFlight.end());
  size_t n = random() % inFlight.size();
  while (inFlight[n] != least)
    n = (n + 1) % inFlight.size();
  return n;
}

size_t TwoChoicesBaseline::choose(const InFlightCounts &inFlight,
                                  std::mt19937_64 &random) {
  const size_t first = random() % inFlight.size();
  const size_t second = random() % inFlight.size();
  return inFlight[first] <= inFlight[second] ? first : second;
}

std::optional<Baseline> makeBaseline(PlacementPolicy policy) {
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

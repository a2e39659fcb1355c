#include "core/engines/engine_placement.h"

#include <absl/random/distributions.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace orioletally::core::engines {

namespace {

/// Share of an objective that a prediction may use up; dispatches of other
/// nodes that are on their way make it come out longer.
constexpr double SafeShare = 0.8;
/// Cost, in answers of the same weight, of each objective by which a late
/// first token is late beyond its first.
constexpr double LaterCost = 0.3;
/// Cost of using up the objective without being late.
constexpr double EarlyCost = 0.15;
/// Cost of the wrong end of the shared order: a prompt that goes there keeps
/// the other kind away.
constexpr double RankCost = 0.25;
/// A pause that is predicted to take up this share of what a stream bears
/// makes it late.
constexpr double SafeGapShare = 0.85;
/// Weight of a prompt grows with this power of its length: its caller has put
/// more into it and has nowhere else to take it.
constexpr double WeightPower = 0.8;
constexpr double WeightUnitTokens = 5000;
/// A prompt is short when streams bear its reading: shorter than this share of
/// the pause that it is allowed itself.
constexpr double ShortShare = 0.6;
/// Spreads the choices of nodes that haven't heard of each other's yet.
constexpr double Jitter = 0.02;
/// Cost of a second of handicap, in answers.
constexpr double HandicapCost = 1;
/// Most helpers that a request may name.
constexpr size_t MaxHelpers = 15;
/// Helpers are added until the prediction is below this share of the
/// objective.
constexpr double HelpedShare = 0.45;
/// Part of an engine's memory that is filled; the rest holds answers that
/// turn out longer than announced.
constexpr double MemoryShare = 0.95;
/// Slots that are left free for dispatches that this node doesn't know of.
constexpr int64_t SpareSlots = 2;

double weightOf(int64_t tokens) {
  return std::pow(std::max(1.0, static_cast<double>(tokens) / WeightUnitTokens),
                  WeightPower);
}

/// Cost of a first token after \p predicted, in answers.
double lateCost(absl::Duration predicted, absl::Duration objective) {
  const double used =
      absl::FDivDuration(predicted, std::max(objective, absl::Milliseconds(1)));
  if (used <= SafeShare)
    return EarlyCost * used;
  const double late = std::min(1.0, (used - SafeShare) / (1 - SafeShare));
  return EarlyCost * SafeShare + late + LaterCost * std::max(0.0, used - 1);
}

class Placement {
public:
  Placement(const PromptDemand &demand,
            absl::Span<const EngineCandidate> engines, const EngineSpeed &speed)
      : Demand(demand), Engines(engines), Speed(speed),
        Weight(weightOf(demand.PromptTokens)),
        Short(
            pauseWhileReading(speed, demand.PromptTokens, demand.PromptTokens) <
            ShortShare * demand.Gap) {}

  PlacementResult run(absl::BitGenRef random) const {
    PlacementResult result;
    if (Demand.PromptTokens + Demand.AnswerTokens > Speed.MemoryTokens) {
      result.Refusal.TooLarge = true;
      return result;
    }
    std::optional<EngineChoice> best;
    double bestCost = 0;
    absl::Duration soonest = absl::InfiniteDuration();
    for (size_t n = 0; n < Engines.size(); ++n) {
      EngineChoice choice;
      choice.Engine = n;
      choice.PredictedFirstToken = predict(n, Demand.PromptTokens);
      soonest = std::min(soonest, choice.PredictedFirstToken);
      addHelpers(choice);
      const double cost =
          costOf(choice) + Jitter * absl::Uniform(random, 0.0, 1.0);
      if (best.has_value() && cost >= bestCost)
        continue;
      bestCost = cost;
      best = std::move(choice);
    }
    if (best.has_value() && best->PredictedFirstToken > Demand.Patience) {
      result.Refusal.ComeBackIn =
          std::max(absl::ZeroDuration(), soonest - Demand.Objective);
      return result;
    }
    result.Choice = std::move(best);
    return result;
  }

private:
  absl::Duration predict(size_t n, int64_t tokens) const {
    const EngineCandidate &it = Engines[n];
    return it.Load->predictFirstToken(tokens, Demand.PromptTokens, Speed,
                                      it.Pace);
  }

  bool hasRoom(size_t n) const {
    const EngineLoad &load = *Engines[n].Load;
    const auto limit = static_cast<int64_t>(
        MemoryShare * static_cast<double>(Speed.MemoryTokens));
    const int64_t needed = Demand.PromptTokens + Demand.AnswerTokens;
    return load.isIdle() ||
           (load.memoryTokens() + needed <= limit &&
            load.writers() + load.readers() + SpareSlots < Speed.Slots);
  }

  /// Answers that become late on engine \p n because it reads \p tokens.
  double harmOf(size_t n, int64_t tokens) const {
    const absl::Duration pause =
        pauseWhileReading(Speed, tokens, Demand.PromptTokens);
    double harm = 0;
    for (const RunningPrompt &it : Engines[n].Load->prompts())
      if (it.AnswerTokens > 0 && pause > SafeGapShare * it.Gap)
        harm += weightOf(it.PromptTokens);
    return harm;
  }

  int64_t partOf(const EngineChoice &choice) const {
    const auto parts = static_cast<int64_t>(choice.Helpers.size()) + 1;
    return (Demand.PromptTokens + parts - 1) / parts;
  }

  double costOf(const EngineChoice &choice) const {
    const EngineCandidate &it = Engines[choice.Engine];
    double cost =
        Weight * lateCost(choice.PredictedFirstToken, Demand.Objective) +
        harmOf(choice.Engine, partOf(choice)) +
        HandicapCost * Weight * absl::ToDoubleSeconds(it.Handicap);
    if (!hasRoom(choice.Engine))
      cost += Weight;
    const double wrongEnd = Short ? it.Rank : 1 - it.Rank;
    return cost + RankCost * wrongEnd;
  }

  /// Shares the reading of a prompt that would be late, or nearly, among
  /// engines that have nothing to do.
  void addHelpers(EngineChoice &choice) const {
    if (Short || choice.PredictedFirstToken <= HelpedShare * Demand.Objective)
      return;
    for (size_t n = Engines.size(); n-- > 0;) {
      if (choice.Helpers.size() >= MaxHelpers ||
          choice.PredictedFirstToken <= HelpedShare * Demand.Objective)
        return;
      if (n == choice.Engine || !Engines[n].Load->isIdle() ||
          Engines[n].Pace > MaxHelperPace)
        continue;
      choice.Helpers.push_back(n);
      const int64_t part = partOf(choice);
      absl::Duration last = predict(choice.Engine, part);
      for (const size_t helper : choice.Helpers)
        last = std::max(last, predict(helper, part));
      choice.PredictedFirstToken = last;
    }
  }

  /// A slower engine would hold up the rest.
  static constexpr double MaxHelperPace = 1.5;

  const PromptDemand &Demand;
  absl::Span<const EngineCandidate> Engines;
  const EngineSpeed &Speed;
  double Weight;
  bool Short;
};

} // namespace

PlacementResult placePrompt(const PromptDemand &demand,
                            absl::Span<const EngineCandidate> engines,
                            const EngineSpeed &speed, absl::BitGenRef random) {
  return Placement(demand, engines, speed).run(random);
}

} // namespace orioletally::core::engines

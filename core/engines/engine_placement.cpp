#include "core/engines/engine_placement.h"

#include <absl/random/distributions.h>
#include <algorithm>

namespace orioletally::core::engines {

namespace {

/// Share of the objective that a prediction may use up: predictions were seen
/// to be short by up to a fifth, by dispatches of other nodes on the way.
constexpr double SafeShare = 0.8;
/// Weight of the time by which a first token is predicted to be late.
constexpr double LateWeight = 3;
/// Weight of the predicted time while it is inside the objective.
constexpr double EarlyWeight = 0.15;
/// Cost, as a share of its objective, of a short prompt on an engine that
/// nobody writes on: the long prompts that it keeps away.
constexpr double CleanCost = 0.35;
/// Cost, as a share of the objective, of the wrong end of the shared order.
constexpr double RankCost = 0.1;
/// Spreads the choices of nodes that haven't heard of each other's yet.
constexpr absl::Duration Jitter = absl::Milliseconds(8);
/// Most helpers that a request may name.
constexpr size_t MaxHelpers = 15;
/// Helpers are added until the prediction is below this share of the
/// objective.
constexpr double HelpedShare = 0.45;
/// Part of an engine's memory that is filled; the rest holds answers that
/// turn out longer than announced.
constexpr double MemoryShare = 0.95;
/// A prompt is short when it meets its objective beside this many writers.
constexpr int64_t UsualWriters = 4;

/// Whether \p demand meets its objective on an engine that writes.
bool isShort(const PromptDemand &demand, const EngineSpeed &speed) {
  const absl::Duration pass = passTime(speed, UsualWriters, 0);
  const auto chunks = static_cast<double>(
      (demand.PromptTokens + speed.ChunkTokens - 1) / speed.ChunkTokens);
  const absl::Duration beside =
      readTime(speed, demand.PromptTokens, demand.PromptTokens) +
      (chunks + 1) * pass;
  return beside < SafeShare * demand.Objective;
}

absl::Duration lateCost(absl::Duration predicted, absl::Duration objective) {
  const absl::Duration safe = SafeShare * objective;
  return EarlyWeight * predicted +
         LateWeight * std::max(absl::ZeroDuration(), predicted - safe);
}

class Placement {
public:
  Placement(const PromptDemand &demand,
            absl::Span<const EngineCandidate> engines, const EngineSpeed &speed)
      : Demand(demand), Engines(engines), Speed(speed),
        Short(isShort(demand, speed)) {}

  PlacementResult run(absl::BitGenRef random) const {
    PlacementResult result;
    const int64_t needed = Demand.PromptTokens + Demand.AnswerTokens;
    if (needed > Speed.MemoryTokens) {
      result.Refusal.TooLarge = true;
      return result;
    }
    std::optional<size_t> best;
    absl::Duration bestCost = absl::InfiniteDuration();
    absl::Duration soonest = absl::InfiniteDuration();
    for (size_t n = 0; n < Engines.size(); ++n) {
      const absl::Duration predicted = predict(n, Demand.PromptTokens);
      soonest = std::min(soonest, predicted);
      const absl::Duration cost =
          costOf(n, predicted) + absl::Uniform(random, 0.0, 1.0) * Jitter;
      if (cost < bestCost) {
        bestCost = cost;
        best = n;
      }
    }
    if (!best.has_value())
      return result;
    EngineChoice choice;
    choice.Engine = *best;
    choice.PredictedFirstToken = predict(*best, Demand.PromptTokens);
    addHelpers(choice);
    if (choice.PredictedFirstToken > Demand.Patience) {
      result.Refusal.ComeBackIn =
          std::max(absl::ZeroDuration(), soonest - Demand.Objective);
      return result;
    }
    result.Choice = std::move(choice);
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
    return load.isIdle() || (load.memoryTokens() + needed <= limit &&
                             load.writers() + load.readers() < Speed.Slots);
  }

  absl::Duration costOf(size_t n, absl::Duration predicted) const {
    const EngineCandidate &it = Engines[n];
    absl::Duration cost = lateCost(predicted, Demand.Objective) + it.Handicap;
    if (!hasRoom(n))
      cost += LateWeight * Demand.Objective;
    if (!Short)
      return cost + (1 - it.Rank) * RankCost * Demand.Objective;
    if (it.Load->writers() == 0)
      cost += CleanCost * Demand.Objective;
    return cost + it.Rank * RankCost * Demand.Objective;
  }

  /// Shares the reading of a prompt that would be late, or nearly, among
  /// engines that have nothing to do.
  void addHelpers(EngineChoice &choice) const {
    if (Short || choice.PredictedFirstToken <= HelpedShare * Demand.Objective)
      return;
    std::vector<size_t> idle;
    for (size_t n = 0; n < Engines.size(); ++n)
      if (n != choice.Engine && Engines[n].Load->isIdle())
        idle.push_back(n);
    std::stable_sort(idle.begin(), idle.end(), [&](size_t left, size_t right) {
      return Engines[left].Rank -
                 absl::ToDoubleSeconds(Engines[left].Handicap) >
             Engines[right].Rank -
                 absl::ToDoubleSeconds(Engines[right].Handicap);
    });
    for (const size_t n : idle) {
      if (choice.Helpers.size() >= MaxHelpers ||
          choice.PredictedFirstToken <= HelpedShare * Demand.Objective)
        return;
      choice.Helpers.push_back(n);
      const auto parts = static_cast<int64_t>(choice.Helpers.size()) + 1;
      const int64_t part = (Demand.PromptTokens + parts - 1) / parts;
      absl::Duration last = predict(choice.Engine, part);
      for (const size_t helper : choice.Helpers)
        last = std::max(last, predict(helper, part));
      choice.PredictedFirstToken = last;
    }
  }

  const PromptDemand &Demand;
  absl::Span<const EngineCandidate> Engines;
  const EngineSpeed &Speed;
  bool Short;
};

} // namespace

PlacementResult placePrompt(const PromptDemand &demand,
                            absl::Span<const EngineCandidate> engines,
                            const EngineSpeed &speed, absl::BitGenRef random) {
  return Placement(demand, engines, speed).run(random);
}

} // namespace orioletally::core::engines

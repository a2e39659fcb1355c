#include "core/engines/engine_placement.h"

#include <absl/random/distributions.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <numeric>
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
constexpr double RankCost = 0.6;
/// A pause that is predicted to take up this share of what a stream bears
/// makes it late.
constexpr double SafeGapShare = 0.85;
/// A token of an answer takes an engine about as long as ten of a prompt.
constexpr double TokensPerAnswerToken = 10;
/// Size of a usual short prompt with its answer.
constexpr double WeightUnitTokens = 20000;
constexpr double LeastWeight = 0.5;
/// Prompts that come during a long pause are late as well and fill the engine
/// up behind it.
constexpr double HarmFactor = 2;
/// A prompt is short when streams bear its reading: shorter than this share of
/// the pause that it is allowed itself.
constexpr double ShortShare = 0.6;
/// Spreads the choices of nodes that haven't heard of each other's yet.
constexpr double Jitter = 0.02;
/// Cost of a second of handicap, in answers.
constexpr double HandicapCost = 1;
/// Numbers of helpers that are tried; a request may name 16.
constexpr std::array<size_t, 8> HelperCounts = {0, 1, 2, 3, 5, 7, 11, 15};
/// Cost of each helper: the prompts that come there wait longer.
constexpr double HelperCost = 0.02;
/// Part of an engine's memory that is filled; the rest holds answers that
/// turn out longer than announced.
constexpr double MemoryShare = 0.95;
/// Seconds that engines may have to read for before prompts are weighed
/// against each other: the part of an objective of a long prompt that waiting
/// may take.
constexpr double FreeBacklog = 0.4;
/// Answers per second of reading that a prompt must be worth for each second
/// of backlog beyond: twice what a prompt of usual length brings.
constexpr double WorthPerBacklog = 5;
/// A smaller reservation isn't worth its orders.
constexpr int64_t LeastReservation = 20000;
/// About the time of a long answer.
constexpr absl::Duration MemoryComeBack = absl::Seconds(1);
/// Slots that are left free for dispatches that this node doesn't know of.
constexpr int64_t SpareSlots = 2;

/// What an answer in time counts for, in short ones.
double weightOf(int64_t promptTokens, int64_t answerTokens) {
  const auto size = static_cast<double>(promptTokens) +
                    TokensPerAnswerToken * static_cast<double>(answerTokens);
  return std::max(LeastWeight, size / WeightUnitTokens);
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
        Weight(weightOf(demand.PromptTokens, demand.AnswerTokens)),
        Short(
            pauseWhileReading(speed, demand.PromptTokens, demand.PromptTokens) <
            ShortShare * demand.Gap) {}

  PlacementResult run(absl::BitGenRef random) const {
    PlacementResult result;
    if (neededTokens() > static_cast<int64_t>(Engines.size()) *
                             usableMemory(Speed.MemoryTokens)) {
      result.Refusal.TooLarge = true;
      return result;
    }
    if (!isWorthReading()) {
      result.Refusal.ComeBackIn = backlog();
      return result;
    }
    std::optional<EngineChoice> best;
    double bestCost = 0;
    absl::Duration soonest = absl::InfiniteDuration();
    for (const size_t helpers : HelperCounts) {
      if (helpers > 0 && (Short || helpers >= Engines.size()))
        break;
      const std::vector<size_t> order = helperOrder(helpers);
      for (size_t n = 0; n < Engines.size(); ++n) {
        EngineChoice choice = choiceOf(n, helpers, order);
        if (!reserve(choice))
          continue;
        soonest = std::min(soonest, choice.PredictedFirstToken);
        const double cost =
            costOf(choice) + Jitter * absl::Uniform(random, 0.0, 1.0);
        if (best.has_value() && cost >= bestCost)
          continue;
        bestCost = cost;
        best = std::move(choice);
      }
    }
    if (!best.has_value()) {
      // Memory is freed by answers that end; the shortest waits are for those.
      result.Refusal.ComeBackIn = MemoryComeBack;
      return result;
    }
    if (best->PredictedFirstToken > Demand.Patience) {
      result.Refusal.ComeBackIn =
          std::max(absl::ZeroDuration(), soonest - Demand.Objective);
      return result;
    }
    result.Choice = std::move(best);
    return result;
  }

private:
  /// A slower engine would hold up the rest.
  static constexpr double MaxHelperPace = 1.5;

  /// Time that an engine has to read for, on average.
  absl::Duration backlog() const {
    absl::Duration total = absl::ZeroDuration();
    for (const EngineCandidate &it : Engines)
      total += it.Load->unreadTime(Speed);
    return total / static_cast<double>(Engines.size());
  }

  /// Whether the answer counts for more than what the engines would do in the
  /// same time. The time to read grows with the square of the length, so the
  /// longest prompts are the first that a full fleet turns away.
  bool isWorthReading() const {
    const double perSecond =
        Weight / absl::ToDoubleSeconds(
                     readTime(Speed, Demand.PromptTokens, Demand.PromptTokens));
    const double wanted =
        WorthPerBacklog * (absl::ToDoubleSeconds(backlog()) - FreeBacklog);
    return perSecond >= wanted;
  }

  int64_t partOf(size_t helpers) const {
    return partTokens(Demand.PromptTokens, helpers);
  }

  absl::Duration predictHelper(size_t n, int64_t part) const {
    const EngineCandidate &it = Engines[n];
    return it.Load->predictPart(part, Demand.PromptTokens, Speed, it.Pace);
  }

  /// Engines in the order in which they are taken for one of \p helpers parts.
  std::vector<size_t> helperOrder(size_t helpers) const {
    std::vector<std::pair<double, size_t>> costs;
    if (helpers == 0)
      return {};
    const int64_t part = partOf(helpers);
    for (size_t n = 0; n < Engines.size(); ++n) {
      if (Engines[n].Pace > MaxHelperPace)
        continue;
      const double used =
          absl::FDivDuration(predictHelper(n, part), Demand.Objective);
      costs.emplace_back(harmOf(n, part) + Weight * used +
                             RankCost * (1 - Engines[n].Rank) + handicapCost(n),
                         n);
    }
    std::sort(costs.begin(), costs.end());
    std::vector<size_t> order;
    order.reserve(costs.size());
    for (const auto &[cost, n] : costs)
      order.push_back(n);
    return order;
  }

  EngineChoice choiceOf(size_t n, size_t helpers,
                        const std::vector<size_t> &order) const {
    const EngineCandidate &it = Engines[n];
    const int64_t part = partOf(helpers);
    EngineChoice choice;
    choice.Engine = n;
    choice.PredictedFirstToken =
        it.Load->predictFirstToken(part, Demand.PromptTokens, Speed, it.Pace);
    for (const size_t helper : order) {
      if (choice.Helpers.size() >= helpers)
        break;
      if (helper == n)
        continue;
      choice.Helpers.push_back(helper);
      choice.PredictedFirstToken =
          std::max(choice.PredictedFirstToken, predictHelper(helper, part));
    }
    return choice;
  }

  int64_t neededTokens() const {
    return Demand.PromptTokens + Demand.AnswerTokens;
  }

  static int64_t usableMemory(int64_t tokens) {
    return static_cast<int64_t>(MemoryShare * static_cast<double>(tokens));
  }

  int64_t freeMemory(size_t n) const {
    return std::max<int64_t>(0, usableMemory(Speed.MemoryTokens) -
                                    Engines[n].Load->memoryTokens());
  }

  bool hasRoom(size_t n, int64_t needed) const {
    const EngineLoad &load = *Engines[n].Load;
    return load.isIdle() ||
           (needed <= freeMemory(n) &&
            load.writers() + load.readers() + SpareSlots < Speed.Slots);
  }

  /// Finds memory at the helpers for what the first engine can't hold. False
  /// when there isn't enough.
  bool reserve(EngineChoice &choice) const {
    choice.Reserved.assign(choice.Helpers.size(), 0);
    if (neededTokens() <= usableMemory(Speed.MemoryTokens))
      return true;
    int64_t missing = neededTokens() - freeMemory(choice.Engine);
    for (size_t n = 0; n < choice.Helpers.size() && missing > 0; ++n) {
      const int64_t part = std::min(missing, freeMemory(choice.Helpers[n]));
      if (part < LeastReservation)
        continue;
      choice.Reserved[n] = part;
      missing -= part;
    }
    return missing <= 0;
  }

  int64_t takenAtFirst(const EngineChoice &choice) const {
    return std::accumulate(choice.Reserved.begin(), choice.Reserved.end(),
                           neededTokens(), std::minus<>());
  }

  /// Answers that become late on engine \p n because it reads \p tokens.
  double harmOf(size_t n, int64_t tokens) const {
    const EngineLoad &load = *Engines[n].Load;
    const absl::Duration before = load.predictPause(0, 0, Speed);
    const absl::Duration after =
        load.predictPause(tokens, Demand.PromptTokens, Speed);
    double harm = 0;
    for (const RunningPrompt &it : load.prompts()) {
      const absl::Duration bearable = SafeGapShare * it.Gap;
      if (it.AnswerTokens > 0 && before <= bearable && after > bearable)
        harm += weightOf(it.PromptTokens, it.AnswerTokens);
    }
    return HarmFactor * harm;
  }

  double handicapCost(size_t n) const {
    return HandicapCost * Weight * absl::ToDoubleSeconds(Engines[n].Handicap);
  }

  double costOf(const EngineChoice &choice) const {
    const EngineCandidate &it = Engines[choice.Engine];
    const int64_t part = partOf(choice.Helpers.size());
    double cost =
        Weight * lateCost(choice.PredictedFirstToken, Demand.Objective) +
        harmOf(choice.Engine, part) + handicapCost(choice.Engine);
    for (const size_t helper : choice.Helpers)
      cost += harmOf(helper, part) + HelperCost;
    if (!hasRoom(choice.Engine, takenAtFirst(choice)))
      cost += Weight;
    return cost + RankCost * (Short ? it.Rank : 1 - it.Rank);
  }

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

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
constexpr double SafeObjectiveShare = 0.8;
/// Cost, in answers of the same weight, of each objective by which a late
/// first token is late beyond its first.
constexpr double LatenessCostPerObjective = 0.3;
/// Cost of using up the objective without being late.
constexpr double ObjectiveUseCost = 0.15;
/// Cost of the wrong end of the shared order: a prompt that goes there keeps
/// the other kind away.
constexpr double OrderPositionCost = 0.6;
/// A pause that is predicted to take up this share of what a stream bears
/// makes it late.
constexpr double SafeGapShare = 0.85;
/// A token of an answer takes an engine about as long as ten of a prompt.
constexpr double PromptTokensPerAnswerToken = 10;
/// Size of a usual short prompt with its answer.
constexpr double TokensPerValueUnit = 20000;
constexpr double MinAnswerValue = 0.5;
/// Prompts that come during a long pause are late as well and fill the engine
/// up behind it.
constexpr double InterferenceFactor = 2;
/// A prompt is short when streams bear its reading: shorter than this share of
/// the pause that it is allowed itself.
constexpr double ShortPromptGapShare = 0.6;
/// Spreads the choices of nodes that haven't heard of each other's yet.
constexpr double Jitter = 0.02;
/// Cost of a second of handicap, in answers.
constexpr double CostPerPenaltySecond = 1;
/// Numbers of helpers that are tried; a request may name 16.
constexpr std::array<size_t, 8> HelperCounts = {0, 1, 2, 3, 5, 7, 11, 15};
/// Cost of each helper: the prompts that come there wait longer.
constexpr double HelperCost = 0.02;
/// Part of an engine's memory that is filled; the rest holds answers that
/// turn out longer than announced.
constexpr double UsableMemoryShare = 0.95;
/// Seconds that engines may have to read for before prompts are weighed
/// against each other: the part of an objective of a long prompt that waiting
/// may take.
constexpr double FreeBacklogSeconds = 0.4;
/// Answers per second of reading that a prompt must be worth for each second
/// of backlog beyond: twice what a prompt of usual length brings.
constexpr double MinValueRatePerBacklogSecond = 5;
/// A smaller reservation isn't worth its orders.
constexpr int64_t MinReservationTokens = 20000;
/// About the time of a long answer.
constexpr absl::Duration MemoryRetryAfter = absl::Seconds(1);
/// Slots that are left free for dispatches that this node doesn't know of.
constexpr int64_t SpareSlots = 2;

/// What an answer in time counts for, in short ones.
double answerValue(int64_t promptTokens, int64_t answerTokens) {
  const auto size =
      static_cast<double>(promptTokens) +
      PromptTokensPerAnswerToken * static_cast<double>(answerTokens);
  return std::max(MinAnswerValue, size / TokensPerValueUnit);
}

/// Cost of a first token after \p predicted, in answers.
double latenessCost(absl::Duration predicted, absl::Duration objective) {
  const double used =
      absl::FDivDuration(predicted, std::max(objective, absl::Milliseconds(1)));
  if (used <= SafeObjectiveShare)
    return ObjectiveUseCost * used;
  const double lateness =
      std::min(1.0, (used - SafeObjectiveShare) / (1 - SafeObjectiveShare));
  return ObjectiveUseCost * SafeObjectiveShare + lateness +
         LatenessCostPerObjective * std::max(0.0, used - 1);
}

class Placement {
public:
  Placement(const PromptDemand &demand,
            absl::Span<const EngineCandidate> engines, const EngineSpeed &speed)
      : Demand(demand), Engines(engines), Speed(speed),
        AnswerValue(answerValue(demand.PromptTokens, demand.AnswerTokens)),
        IsShort(prefillPause(speed, demand.PromptTokens, demand.PromptTokens) <
                ShortPromptGapShare * demand.GapObjective) {}

  PlacementResult run(absl::BitGenRef random) const {
    PlacementResult result;
    if (neededTokens() > static_cast<int64_t>(Engines.size()) *
                             usableMemory(Speed.MemoryTokens)) {
      result.Refusal.TooLarge = true;
      return result;
    }
    if (!isWorthAdmitting()) {
      result.Refusal.RetryAfter = backlog();
      return result;
    }
    std::optional<EngineChoice> best;
    double bestCost = 0;
    absl::Duration soonest = absl::InfiniteDuration();
    for (const size_t helpers : HelperCounts) {
      if (helpers > 0 && (IsShort || helpers >= Engines.size()))
        break;
      const std::vector<size_t> order = helperOrder(helpers);
      for (size_t n = 0; n < Engines.size(); ++n) {
        EngineChoice choice = makeChoice(n, helpers, order);
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
      result.Refusal.RetryAfter = MemoryRetryAfter;
      return result;
    }
    if (best->PredictedFirstToken > Demand.MaxPredictedFirstToken) {
      result.Refusal.RetryAfter =
          std::max(absl::ZeroDuration(), soonest - Demand.Objective);
      return result;
    }
    result.Choice = std::move(best);
    return result;
  }

private:
  /// A slower engine would hold up the rest.
  static constexpr double MaxHelperSlowdown = 1.5;

  /// Time that an engine has to read for, on average.
  absl::Duration backlog() const {
    absl::Duration total = absl::ZeroDuration();
    for (const EngineCandidate &it : Engines)
      total += it.Load->pendingPrefillTime(Speed);
    return total / static_cast<double>(Engines.size());
  }

  /// Whether the answer counts for more than what the engines would do in the
  /// same time. The time to read grows with the square of the length, so the
  /// longest prompts are the first that a full fleet turns away.
  bool isWorthAdmitting() const {
    const double perSecond =
        AnswerValue / absl::ToDoubleSeconds(prefillTime(
                          Speed, Demand.PromptTokens, Demand.PromptTokens));
    const double required =
        MinValueRatePerBacklogSecond *
        (absl::ToDoubleSeconds(backlog()) - FreeBacklogSeconds);
    return perSecond >= required;
  }

  int64_t tokensPerPart(size_t helpers) const {
    return partTokens(Demand.PromptTokens, helpers);
  }

  absl::Duration predictHelper(size_t n, int64_t part) const {
    const EngineCandidate &it = Engines[n];
    return it.Load->predictHelperPart(part, Demand.PromptTokens, Speed,
                                      it.SlowdownRatio);
  }

  /// Engines in the order in which they are taken for one of \p helpers parts.
  std::vector<size_t> helperOrder(size_t helpers) const {
    std::vector<std::pair<double, size_t>> costs;
    if (helpers == 0)
      return {};
    const int64_t part = tokensPerPart(helpers);
    for (size_t n = 0; n < Engines.size(); ++n) {
      if (Engines[n].SlowdownRatio > MaxHelperSlowdown)
        continue;
      const double used =
          absl::FDivDuration(predictHelper(n, part), Demand.Objective);
      costs.emplace_back(interferenceCost(n, part) + AnswerValue * used +
                             OrderPositionCost *
                                 (1 - Engines[n].OrderPosition) +
                             penaltyCost(n),
                         n);
    }
    std::sort(costs.begin(), costs.end());
    std::vector<size_t> order;
    order.reserve(costs.size());
    for (const auto &[cost, n] : costs)
      order.push_back(n);
    return order;
  }

  EngineChoice makeChoice(size_t n, size_t helpers,
                          const std::vector<size_t> &order) const {
    const EngineCandidate &it = Engines[n];
    const int64_t part = tokensPerPart(helpers);
    EngineChoice choice;
    choice.Engine = n;
    choice.PredictedFirstToken = it.Load->predictFirstToken(
        part, Demand.PromptTokens, Speed, it.SlowdownRatio);
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
    return static_cast<int64_t>(UsableMemoryShare *
                                static_cast<double>(tokens));
  }

  int64_t freeMemory(size_t n) const {
    return std::max<int64_t>(0, usableMemory(Speed.MemoryTokens) -
                                    Engines[n].Load->memoryTokens());
  }

  bool hasRoom(size_t n, int64_t needed) const {
    const EngineLoad &load = *Engines[n].Load;
    return load.isIdle() ||
           (needed <= freeMemory(n) &&
            load.decodingCount() + load.prefillingCount() + SpareSlots <
                Speed.Slots);
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
      if (part < MinReservationTokens)
        continue;
      choice.Reserved[n] = part;
      missing -= part;
    }
    return missing <= 0;
  }

  int64_t tokensAtEngine(const EngineChoice &choice) const {
    return std::accumulate(choice.Reserved.begin(), choice.Reserved.end(),
                           neededTokens(), std::minus<>());
  }

  /// Answers that become late on engine \p n because it reads \p tokens.
  double interferenceCost(size_t n, int64_t tokens) const {
    const EngineLoad &load = *Engines[n].Load;
    const absl::Duration before = load.predictPause(0, 0, Speed);
    const absl::Duration after =
        load.predictPause(tokens, Demand.PromptTokens, Speed);
    double cost = 0;
    for (const RunningPrompt &it : load.prompts()) {
      const absl::Duration maxPause = SafeGapShare * it.GapObjective;
      if (it.AnswerTokens > 0 && before <= maxPause && after > maxPause)
        cost += answerValue(it.PromptTokens, it.AnswerTokens);
    }
    return InterferenceFactor * cost;
  }

  double penaltyCost(size_t n) const {
    return CostPerPenaltySecond * AnswerValue *
           absl::ToDoubleSeconds(Engines[n].Penalty);
  }

  double costOf(const EngineChoice &choice) const {
    const EngineCandidate &it = Engines[choice.Engine];
    const int64_t part = tokensPerPart(choice.Helpers.size());
    double cost =
        AnswerValue *
            latenessCost(choice.PredictedFirstToken, Demand.Objective) +
        interferenceCost(choice.Engine, part) + penaltyCost(choice.Engine);
    for (const size_t helper : choice.Helpers)
      cost += interferenceCost(helper, part) + HelperCost;
    if (!hasRoom(choice.Engine, tokensAtEngine(choice)))
      cost += AnswerValue;
    return cost + OrderPositionCost *
                      (IsShort ? it.OrderPosition : 1 - it.OrderPosition);
  }

  const PromptDemand &Demand;
  absl::Span<const EngineCandidate> Engines;
  const EngineSpeed &Speed;
  double AnswerValue;
  bool IsShort;
};

} // namespace

PlacementResult placePrompt(const PromptDemand &demand,
                            absl::Span<const EngineCandidate> engines,
                            const EngineSpeed &speed, absl::BitGenRef random) {
  return Placement(demand, engines, speed).run(random);
}

} // namespace orioletally::core::engines

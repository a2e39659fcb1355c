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

/// Share of the objective up to which a predicted first token counts as on
/// time; the actual one takes longer because of other nodes' dispatches that
/// this node doesn't know of yet.
constexpr double SafeObjectiveShare = 0.8;
/// Cost of each full objective by which a first token exceeds its objective, as
/// a share of the answer's value.
constexpr double LatenessCostPerObjective = 0.3;
/// Cost of a first token that uses the whole objective without being late, as a
/// share of the answer's value.
constexpr double ObjectiveUseCost = 0.15;
/// Cost of placing a prompt at the wrong end of the shared order, where it
/// displaces prompts of the other kind.
constexpr double OrderPositionCost = 0.6;
/// A stream counts as late when a predicted pause exceeds this share of its gap
/// objective.
constexpr double SafeGapShare = 0.85;
/// An engine takes about as long for one answer token as for ten prompt tokens.
constexpr double PromptTokensPerAnswerToken = 10;
/// Size, in prompt tokens, of a typical short prompt with its answer. Such an
/// answer has the value 1.
constexpr double TokensPerValueUnit = 20000;
constexpr double MinAnswerValue = 0.5;
/// Multiplies the value of the answers that a placement makes late, because
/// prompts that arrive during the long pause are late as well and queue up.
constexpr double InterferenceFactor = 2;
/// A prompt is short when its prefill pauses streams for less than this share
/// of its own gap objective.
constexpr double ShortPromptGapShare = 0.6;
/// Maximum random cost, which spreads the choices of nodes that don't know of
/// each other's latest dispatches yet.
constexpr double Jitter = 0.02;
/// Cost of a second of EngineCandidate::Penalty, as a multiple of the answer's
/// value.
constexpr double CostPerPenaltySecond = 1;
/// Numbers of helpers to try; a request can name at most 16.
constexpr std::array<size_t, 8> HelperCounts = {0, 1, 2, 3, 5, 7, 11, 15};
/// Cost of each helper, because prompts that arrive there wait longer.
constexpr double HelperCost = 0.02;
/// Share of an engine's memory that placements use; the rest absorbs answers
/// that become longer than announced.
constexpr double UsableMemoryShare = 0.95;
/// A prompt is refused when the answers that its placement makes late are worth
/// more than this many times its own answer.
constexpr double MaxHarmPerValue = 1;
/// Less free memory at a helper doesn't justify its reserve and release
/// commands.
constexpr int64_t MinReservationTokens = 20000;
/// Retry delay of prompts refused for lack of memory: about the time of a long
/// answer, whose end frees memory.
constexpr absl::Duration MemoryRetryAfter = absl::Seconds(1);
/// Slots left free for other nodes' dispatches that this node doesn't know of
/// yet.
constexpr int64_t SpareSlots = 2;

/// Returns the value of an answer that is on time, in units of a typical short
/// one.
double answerValue(int64_t promptTokens, int64_t answerTokens) {
  const auto size =
      static_cast<double>(promptTokens) +
      PromptTokensPerAnswerToken * static_cast<double>(answerTokens);
  return std::max(MinAnswerValue, size / TokensPerValueUnit);
}

/// Returns the cost of a first token after \p predicted, as a share of the
/// answer's value.
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

/// One placement decision. Costs are in units of a typical short answer.
class Placement {
public:
  Placement(const PromptDemand &demand,
            absl::Span<const EngineCandidate> engines, const EngineSpeed &speed)
      : Demand(demand), Engines(engines), Speed(speed),
        AnswerValue(answerValue(demand.PromptTokens, demand.AnswerTokens)),
        IsShort(prefillPause(speed, demand.PromptTokens, demand.PromptTokens) <
                ShortPromptGapShare * demand.GapObjective) {
    findDelayable();
  }

  PlacementResult run(absl::BitGenRef random) const {
    PlacementResult result;
    if (!fits(Engines.size())) {
      result.Refusal.TooLarge = !fits(Demand.EngineCount);
      result.Refusal.NeedsMoreEngines = !result.Refusal.TooLarge;
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
        choice.PredictedFirstToken +=
            Engines[n].Load->predictMemoryWait(tokensAtEngine(choice), Speed);
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
      // No engine has enough free memory; answers that end will free some.
      result.Refusal.RetryAfter = MemoryRetryAfter;
      return result;
    }
    if (best->PredictedFirstToken > Demand.MaxPredictedFirstToken) {
      result.Refusal.RetryAfter =
          std::max(absl::ZeroDuration(), soonest - Demand.Objective);
      return result;
    }
    if (Demand.HarmWeight * harmOf(*best) > MaxHarmPerValue * AnswerValue) {
      result.Refusal.RetryAfter = backlog();
      return result;
    }
    result.Choice = std::move(best);
    return result;
  }

private:
  /// A slower helper would delay the whole prompt.
  static constexpr double MaxHelperSlowdown = 1.5;

  /// A prompt without a first token, which parts of the new one would delay.
  struct DelayablePrompt {
    uint64_t Id = 0;
    double Value = 0;
    absl::Duration Elapsed;
    absl::Duration Objective;
    /// Time until the last of its engines has prefilled its part.
    absl::Duration TimeLeft = absl::ZeroDuration();
  };

  /// The part of a delayable prompt at one engine.
  struct DelayablePart {
    /// Index into Delayable.
    size_t Prompt = 0;
    absl::Duration TimeLeft;
  };

  void findDelayable() {
    PartsByEngine.resize(Engines.size());
    for (size_t n = 0; n < Engines.size(); ++n) {
      for (const PendingPrompt &it : Engines[n].Load->pendingPrompts(Speed)) {
        if (it.Prompt->Objective == absl::InfiniteDuration())
          continue;
        auto found =
            std::find_if(Delayable.begin(), Delayable.end(),
                         [&](const auto &p) { return p.Id == it.Prompt->Id; });
        if (found == Delayable.end())
          found = Delayable.insert(found, {it.Prompt->Id,
                                           answerValue(it.Prompt->PromptTokens,
                                                       it.Prompt->AnswerTokens),
                                           it.Elapsed, it.Prompt->Objective});
        found->TimeLeft = std::max(found->TimeLeft, it.TimeLeft);
        PartsByEngine[n].push_back(
            {static_cast<size_t>(found - Delayable.begin()), it.TimeLeft});
      }
    }
  }

  /// Returns the value lost if \p prompt is prefilled after \p timeLeft instead
  /// of its present time.
  static double delayCost(const DelayablePrompt &prompt,
                          absl::Duration timeLeft) {
    if (timeLeft <= prompt.TimeLeft)
      return 0;
    return prompt.Value *
           (latenessCost(prompt.Elapsed + timeLeft, prompt.Objective) -
            latenessCost(prompt.Elapsed + prompt.TimeLeft, prompt.Objective));
  }

  /// Returns the time that \p tokens of this prompt take at engine \p n and by
  /// which they delay those that wait there.
  absl::Duration delayAt(size_t n, int64_t tokens) const {
    return Engines[n].SlowdownRatio *
           prefillTime(Speed, tokens, Demand.PromptTokens);
  }

  /// Returns the cost of the prompts that are delayed if engine \p n prefills
  /// \p tokens of this one.
  double delayCostAt(size_t n, int64_t tokens) const {
    double cost = 0;
    for (const DelayablePart &it : PartsByEngine[n])
      cost += delayCost(Delayable[it.Prompt], it.TimeLeft + delayAt(n, tokens));
    return cost;
  }

  /// The same for all engines of a choice. A prompt that is delayed at several
  /// of them counts once.
  double delayCostOf(const EngineChoice &choice, int64_t tokens) const {
    // An unsplit prompt is prefilled after those that wait.
    if (choice.Helpers.empty() || Delayable.empty())
      return 0;
    std::vector<absl::Duration> timeLeft(Delayable.size());
    const auto add = [&](size_t n) {
      for (const DelayablePart &it : PartsByEngine[n])
        timeLeft[it.Prompt] =
            std::max(timeLeft[it.Prompt], it.TimeLeft + delayAt(n, tokens));
    };
    add(choice.Engine);
    for (const size_t it : choice.Helpers)
      add(it);
    double cost = 0;
    for (size_t n = 0; n < Delayable.size(); ++n)
      cost += delayCost(Delayable[n], timeLeft[n]);
    return cost;
  }

  /// Returns the engines' mean time to prefill their pending tokens.
  absl::Duration backlog() const {
    absl::Duration total = absl::ZeroDuration();
    for (const EngineCandidate &it : Engines)
      total += it.Load->pendingPrefillTime(Speed);
    return total / static_cast<double>(Engines.size());
  }

  int64_t tokensPerPart(size_t helpers) const {
    return partTokens(Demand.PromptTokens, helpers);
  }

  absl::Duration predictHelper(size_t n, int64_t part) const {
    const EngineCandidate &it = Engines[n];
    return it.Load->predictHelperPart(part, Demand.PromptTokens, Speed,
                                      it.SlowdownRatio);
  }

  /// Returns the engines in order of their cost as one of \p helpers helpers.
  std::vector<size_t> helperOrder(size_t helpers) const {
    std::vector<std::pair<double, size_t>> costs;
    if (helpers == 0)
      return {};
    const int64_t part = tokensPerPart(helpers);
    for (size_t n = 0; n < Engines.size(); ++n) {
      if (!Engines[n].CanHelp || Engines[n].SlowdownRatio > MaxHelperSlowdown)
        continue;
      const double used =
          absl::FDivDuration(predictHelper(n, part), Demand.Objective);
      costs.emplace_back(interferenceCost(n, part) + delayCostAt(n, part) +
                             AnswerValue * used +
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
    return Demand.PromptTokens +
           Demand.AnnouncedTokens.value_or(Demand.AnswerTokens);
  }

  static int64_t usableMemory(int64_t tokens) {
    return static_cast<int64_t>(UsableMemoryShare *
                                static_cast<double>(tokens));
  }

  /// Whether \p engines idle engines can hold the prompt.
  bool fits(size_t engines) const {
    return neededTokens() <=
           static_cast<int64_t>(engines) * usableMemory(Speed.MemoryTokens);
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

  /// Reserves memory at the helpers for the tokens that the chosen engine can't
  /// hold. Returns false when there isn't enough.
  bool reserve(EngineChoice &choice) const {
    choice.Reserved.assign(choice.Helpers.size(), 0);
    if (neededTokens() <= usableMemory(Speed.MemoryTokens))
      return true;
    int64_t missing = neededTokens() - freeMemory(choice.Engine);
    for (size_t n = 0; n < choice.Helpers.size() && missing > 0; ++n) {
      const int64_t free = freeMemory(choice.Helpers[n]);
      if (free < MinReservationTokens)
        continue;
      const int64_t part = std::min(missing, free);
      choice.Reserved[n] = part;
      missing -= part;
    }
    return missing <= 0;
  }

  /// Returns the tokens that the chosen engine holds itself.
  int64_t tokensAtEngine(const EngineChoice &choice) const {
    return std::accumulate(choice.Reserved.begin(), choice.Reserved.end(),
                           neededTokens(), std::minus<>());
  }

  /// Returns the cost of the answers that become late on engine \p n because it
  /// prefills \p tokens of this prompt.
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

  /// Returns the cost of the answers that become late because of \p choice.
  double harmOf(const EngineChoice &choice) const {
    const int64_t part = tokensPerPart(choice.Helpers.size());
    double harm =
        interferenceCost(choice.Engine, part) + delayCostOf(choice, part);
    for (const size_t helper : choice.Helpers)
      harm += interferenceCost(helper, part);
    return harm;
  }

  double costOf(const EngineChoice &choice) const {
    const EngineCandidate &it = Engines[choice.Engine];
    double cost = AnswerValue * latenessCost(choice.PredictedFirstToken,
                                             Demand.Objective) +
                  harmOf(choice) + penaltyCost(choice.Engine) +
                  HelperCost * static_cast<double>(choice.Helpers.size());
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
  std::vector<DelayablePrompt> Delayable;
  std::vector<std::vector<DelayablePart>> PartsByEngine;
};

} // namespace

PlacementResult placePrompt(const PromptDemand &demand,
                            absl::Span<const EngineCandidate> engines,
                            const EngineSpeed &speed, absl::BitGenRef random) {
  return Placement(demand, engines, speed).run(random);
}

} // namespace orioletally::core::engines

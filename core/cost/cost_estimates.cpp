#include "core/cost/cost_estimates.h"

#include "core/engines/engine_load.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <utility>

namespace orioletally::core::cost {

namespace {

constexpr int64_t MediumPromptTokens = 128'000;
constexpr int64_t LongPromptTokens = 300'000;

/// Limits the samples of absolute times and of ratios.
constexpr double MinSample = 1e-4;
constexpr double MaxSample = 1e4;
/// Limits the factor exp(variance / 2) by which the mean of a log-normal
/// distribution exceeds its median.
constexpr double MaxVariance = 1;
/// Tolerance in the comparison of sums of weights.
constexpr double Rounding = 1e-9;
/// Share of its expected time that a call in flight counts for at least. One
/// that has taken longer than expected still occupies its slot.
constexpr double MinRemainingShare = 0.25;

bool isRatio(EstimateKind kind) { return kind != EstimateKind::ServiceTime; }

} // namespace

PromptClass promptClassOf(int64_t promptTokens) {
  if (engines::isUrgent(promptTokens))
    return PromptClass::Urgent;
  if (promptTokens <= MediumPromptTokens)
    return PromptClass::Medium;
  return promptTokens <= LongPromptTokens ? PromptClass::Long
                                          : PromptClass::Longest;
}

std::string_view estimateKindName(EstimateKind kind) {
  switch (kind) {
  case EstimateKind::AnswerRatio:
    return "answer_ratio";
  case EstimateKind::ServiceTime:
    return "service_s";
  case EstimateKind::ServerRatio:
    return "server_ratio";
  }
  return "";
}

double RobustAverage::Source::weightAt(absl::Time now) const {
  const double halfLives = absl::FDivDuration(
      std::max(absl::ZeroDuration(), now - UpdatedAt), RobustAverage::HalfLife);
  return Weight * std::exp2(-halfLives);
}

RobustAverage::Source &RobustAverage::sourceOf(uint64_t id, absl::Time now) {
  const auto found =
      std::find_if(Sources.begin(), Sources.end(),
                   [&](const Source &it) { return it.Id == id; });
  if (found != Sources.end())
    return *found;
  if (Sources.size() >= MaxSources)
    Sources.erase(std::min_element(Sources.begin(), Sources.end(),
                                   [&](const auto &left, const auto &right) {
                                     return left.weightAt(now) <
                                            right.weightAt(now);
                                   }));
  Source &added = Sources.emplace_back();
  added.Id = id;
  added.UpdatedAt = now;
  return added;
}

void RobustAverage::observe(double sample, uint64_t source, bool isRatio,
                            absl::Time now) {
  Source &it = sourceOf(source, now);
  double value = std::log(std::clamp(sample, MinSample, MaxSample));
  const double weight = it.weightAt(now);
  std::optional<double> center;
  if (weight >= MaxVote)
    center = it.MeanLog;
  else if (isRatio)
    center = 0;
  if (center.has_value())
    value = std::clamp(value, *center - std::log(ClipFactor),
                       *center + std::log(ClipFactor));
  it.Weight = std::min(weight + 1, MaxSourceWeight);
  const double share = 1 / it.Weight;
  const double difference = value - it.MeanLog;
  it.MeanLog += share * difference;
  it.Variance = (1 - share) * (it.Variance + share * difference * difference);
  it.UpdatedAt = now;
  UpdatedAt = now;
}

std::optional<Estimate> RobustAverage::estimate(bool isRatio,
                                                absl::Time now) const {
  Estimate result;
  double total = 0;
  std::vector<const Source *> sorted;
  for (const Source &it : Sources) {
    result.Weight += it.weightAt(now);
    total += std::min(it.weightAt(now), MaxVote);
    sorted.push_back(&it);
  }
  if (result.Weight < MinWeight)
    return std::nullopt;
  std::sort(sorted.begin(), sorted.end(),
            [](const Source *left, const Source *right) {
              return left->MeanLog < right->MeanLog;
            });
  const Source *lower = nullptr;
  const Source *upper = sorted.back();
  double below = 0;
  for (const Source *it : sorted) {
    below += std::min(it->weightAt(now), MaxVote);
    if (lower == nullptr && below >= total / 2 - Rounding)
      lower = it;
    if (below <= total / 2 + Rounding)
      continue;
    upper = it;
    break;
  }
  if (lower == nullptr)
    lower = upper;
  const bool isUpperNearer =
      isRatio && std::abs(upper->MeanLog) < std::abs(lower->MeanLog);
  const Source &middle = isUpperNearer ? *upper : *lower;
  result.Value =
      std::exp(middle.MeanLog + std::min(middle.Variance, MaxVariance) / 2);
  result.Spread = std::sqrt(middle.Variance);
  return result;
}

void CostEstimates::observe(const EstimateKey &key, double sample,
                            std::string_view source, absl::Time now) {
  if (Averages.size() >= MaxKeys && !Averages.contains(key))
    Averages.erase(std::min_element(Averages.begin(), Averages.end(),
                                    [](const auto &left, const auto &right) {
                                      return left.second.updatedAt() <
                                             right.second.updatedAt();
                                    }));
  Averages[key].observe(sample, std::hash<std::string_view>()(source),
                        isRatio(key.Kind), now);
}

std::optional<Estimate> CostEstimates::find(const EstimateKey &key,
                                            absl::Time now) const {
  const auto found = Averages.find(key);
  if (found == Averages.end())
    return std::nullopt;
  return found->second.estimate(isRatio(key.Kind), now);
}

void CostEstimates::answerEnded(const std::string &route, int64_t promptTokens,
                                int64_t announced, int64_t events,
                                int64_t tokensPerEvent, std::string_view caller,
                                absl::Time now) {
  if (announced <= 0 || events <= 0 || tokensPerEvent <= 0)
    return;
  // The last event may carry fewer tokens: count the length nearest to the
  // announced one that this number of events can carry.
  const int64_t actual = std::clamp(
      announced, (events - 1) * tokensPerEvent + 1, events * tokensPerEvent);
  observe({EstimateKind::AnswerRatio, route, promptClassOf(promptTokens)},
          static_cast<double>(actual) / static_cast<double>(announced), caller,
          now);
}

int64_t CostEstimates::expectedAnswer(const std::string &route,
                                      int64_t promptTokens, int64_t announced,
                                      absl::Time now) {
  const std::optional<Estimate> ratio = find(
      {EstimateKind::AnswerRatio, route, promptClassOf(promptTokens)}, now);
  if (!ratio.has_value())
    return announced;
  const double factor = std::clamp(ratio->Value, MinFactor, MaxFactor);
  BoundedRatios += factor != ratio->Value ? 1 : 0;
  return std::max<int64_t>(
      1, std::llround(factor * static_cast<double>(announced)));
}

void CostEstimates::callSent(uint64_t id, const std::string &route,
                             const std::string &server, absl::Time now) {
  InFlight[id] = {route, server, now};
}

void CostEstimates::callEnded(uint64_t id, bool isAnswered, bool isSample,
                              std::string_view caller, absl::Time now) {
  const auto found = InFlight.find(id);
  if (found == InFlight.end())
    return;
  const CallInFlight call = std::move(found->second);
  InFlight.erase(found);
  if (!isSample)
    return;
  const double seconds = absl::ToDoubleSeconds(now - call.SentAt);
  const EstimateKey routeKey{EstimateKind::ServiceTime, call.Route};
  const std::optional<Estimate> usual = find(routeKey, now);
  // The time of a call that was cut off is only a lower bound.
  if (!isAnswered && (!usual.has_value() || seconds <= usual->Value))
    return;
  if (usual.has_value())
    observe({EstimateKind::ServerRatio, call.Server}, seconds / usual->Value,
            caller, now);
  // Neither a server nor a caller of its own has most of the pairs.
  observe(routeKey, seconds, fmt::format("{} {}", call.Server, caller), now);
}

double CostEstimates::serverFactor(const std::string &server,
                                   absl::Time now) const {
  const std::optional<Estimate> ratio =
      find({EstimateKind::ServerRatio, server}, now);
  if (!ratio.has_value())
    return 1;
  const double log = std::log(std::clamp(ratio->Value, MinFactor, MaxFactor));
  const double error = ratio->Spread / std::sqrt(ratio->Weight);
  return std::exp(std::copysign(std::max(0.0, std::abs(log) - error), log));
}

std::optional<absl::Duration>
CostEstimates::expectedTime(const std::string &route, const std::string &server,
                            absl::Time now) const {
  const std::optional<Estimate> usual =
      find({EstimateKind::ServiceTime, route}, now);
  if (!usual.has_value())
    return std::nullopt;
  return serverFactor(server, now) * absl::Seconds(usual->Value);
}

absl::Duration CostEstimates::excessTime(const std::string &route,
                                         const std::string &server,
                                         absl::Time now) const {
  const std::optional<Estimate> usual =
      find({EstimateKind::ServiceTime, route}, now);
  if (!usual.has_value())
    return absl::ZeroDuration();
  return std::max(0.0, serverFactor(server, now) - 1) *
         absl::Seconds(usual->Value);
}

absl::Duration CostEstimates::outstandingWork(const std::string &server,
                                              absl::Duration unknown,
                                              absl::Time now) const {
  absl::Duration total = absl::ZeroDuration();
  for (const auto &[id, call] : InFlight) {
    if (call.Server != server)
      continue;
    const absl::Duration expected =
        expectedTime(call.Route, server, now).value_or(unknown);
    total +=
        std::max(expected - (now - call.SentAt), MinRemainingShare * expected);
  }
  return total;
}

std::vector<std::pair<EstimateKey, Estimate>>
CostEstimates::list(size_t maxCount, absl::Time now) const {
  std::vector<std::pair<absl::Time, std::pair<EstimateKey, Estimate>>> all;
  for (const auto &[key, average] : Averages)
    if (const auto known = average.estimate(isRatio(key.Kind), now))
      all.emplace_back(average.updatedAt(), std::pair(key, *known));
  std::stable_sort(all.begin(), all.end(),
                   [](const auto &left, const auto &right) {
                     return left.first > right.first;
                   });
  std::vector<std::pair<EstimateKey, Estimate>> result;
  for (auto &it : all)
    if (result.size() < maxCount)
      result.push_back(std::move(it.second));
  return result;
}

} // namespace orioletally::core::cost

#ifndef ORIOLETALLY_CORE_COST_COST_ESTIMATES_H
#define ORIOLETALLY_CORE_COST_COST_ESTIMATES_H

#include <absl/time/time.h>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace orioletally::core::cost {

/// Lengths of prompts whose answers are estimated separately.
enum class PromptClass { Urgent, Medium, Long, Longest };

PromptClass promptClassOf(int64_t promptTokens);

/// What an estimate is about.
enum class EstimateKind {
  /// Actual over announced length of the answers of a route and prompt class.
  AnswerRatio,
  /// Seconds that calls of a route take at plain backend servers; its sources
  /// are pairs of a server and a caller.
  ServiceTime,
  /// Time that calls take at one plain backend server over that of their route.
  ServerRatio,
};

/// Returns the name of \p kind in logs.
std::string_view estimateKindName(EstimateKind kind);

struct EstimateKey {
  EstimateKind Kind = EstimateKind::AnswerRatio;
  /// Name of the route, or id of the backend server.
  std::string Name;
  /// Only used by AnswerRatio.
  PromptClass Class = PromptClass::Urgent;

  auto operator<=>(const EstimateKey &) const = default;
};

/// An estimate that counts.
struct Estimate {
  /// Expected value: a ratio, or seconds.
  double Value = 1;
  /// Standard deviation of the logarithm of the samples.
  double Spread = 0;
  /// Weight of the samples; one that has just arrived weighs 1.
  double Weight = 0;
};

/// The moving average of samples whose sources, callers or backend servers,
/// need not be trustworthy.
///
/// Averages logarithms, because costs differ by factors. Samples fade with
/// HalfLife. Each sample is clipped to ClipFactor times the present average of
/// its source; the first ones of a source to ClipFactor times 1 if they are
/// ratios, otherwise not at all. The value is the median
/// of the sources' averages, weighted by their samples but by MaxVote at most,
/// so that a source with very many samples has no majority. If two are in the
/// middle, the one that changes least counts: the one nearer to a ratio of 1,
/// or the shorter time.
class RobustAverage {
public:
  static constexpr absl::Duration HalfLife = absl::Seconds(60);
  static constexpr double ClipFactor = 4;
  /// The source with the least weight is dropped for a new one.
  static constexpr size_t MaxSources = 24;
  /// Largest weight of a source in the median.
  static constexpr double MaxVote = 3;
  /// Weight from which the estimate counts. A node of a large fleet sees a
  /// plain backend server's calls about every 15 s, which gives a weight of 5.
  static constexpr double MinWeight = 4;
  /// Limit on a source's weight, so that it follows a shift in about 100
  /// samples.
  static constexpr double MaxSourceWeight = 50;

  /// Records \p sample, above 0, of the source \p source. A \p isRatio has the
  /// neutral value 1.
  void observe(double sample, uint64_t source, bool isRatio, absl::Time now);

  /// Returns the estimate, or nothing while too few samples count.
  std::optional<Estimate> estimate(bool isRatio, absl::Time now) const;

  absl::Time updatedAt() const { return UpdatedAt; }

private:
  struct Source {
    uint64_t Id = 0;
    double Weight = 0;
    double MeanLog = 0;
    double Variance = 0;
    absl::Time UpdatedAt;

    double weightAt(absl::Time now) const;
  };

  Source &sourceOf(uint64_t id, absl::Time now);
  std::vector<Source> Sources;
  absl::Time UpdatedAt = absl::InfinitePast();
};

/// Estimates of what calls cost, learned from those of this node. State is in
/// memory only; a node that starts has no estimates, and its decisions are
/// those without learning until there are enough samples.
class CostEstimates {
public:
  static constexpr size_t MaxKeys = 512;
  /// Bounds of the factors that the estimates apply to announced lengths and
  /// to the time at one backend server.
  static constexpr double MinFactor = 0.25;
  static constexpr double MaxFactor = 4;

  /// Records a complete answer of \p events events, each of which carries up to
  /// \p tokensPerEvent tokens, to a call that announced \p announced tokens.
  void answerEnded(const std::string &route, int64_t promptTokens,
                   int64_t announced, int64_t events, int64_t tokensPerEvent,
                   std::string_view caller, absl::Time now);

  /// Returns the tokens expected of an answer that was announced with
  /// \p announced tokens.
  int64_t expectedAnswer(const std::string &route, int64_t promptTokens,
                         int64_t announced, absl::Time now);

  /// Records that the call \p id is sent to the plain server \p server.
  void callSent(uint64_t id, const std::string &route,
                const std::string &server, absl::Time now);

  /// Records the end of the call \p id. \p isAnswered is false for one that was
  /// cut off, whose service time is longer than the time it took. Calls that
  /// say nothing about the service time have \p isSample false.
  void callEnded(uint64_t id, bool isAnswered, bool isSample,
                 std::string_view caller, absl::Time now);

  /// Returns the expected service time of a call of \p route at \p server;
  /// nothing if the route's isn't known.
  std::optional<absl::Duration> expectedTime(const std::string &route,
                                             const std::string &server,
                                             absl::Time now) const;

  /// Returns the time by which calls of \p route are expected to take longer at
  /// \p server than at others.
  absl::Duration excessTime(const std::string &route, const std::string &server,
                            absl::Time now) const;

  /// Returns the work that this node's calls in flight at \p server still
  /// need; \p unknown is what a call counts whose service time isn't known.
  absl::Duration outstandingWork(const std::string &server,
                                 absl::Duration unknown, absl::Time now) const;

  size_t keyCount() const { return Averages.size(); }
  /// Answer lengths that were limited by MinFactor or MaxFactor.
  int64_t boundedRatios() const { return BoundedRatios; }

  /// Returns the estimates that count, at most \p maxCount, the most recently
  /// updated first.
  std::vector<std::pair<EstimateKey, Estimate>> list(size_t maxCount,
                                                     absl::Time now) const;

private:
  struct CallInFlight {
    std::string Route;
    std::string Server;
    absl::Time SentAt;
  };

  void observe(const EstimateKey &key, double sample, std::string_view source,
               absl::Time now);
  std::optional<Estimate> find(const EstimateKey &key, absl::Time now) const;
  /// Returns the bounded ratio of \p server, less its standard error: noise
  /// alone must not make one of equal servers look slow.
  double serverFactor(const std::string &server, absl::Time now) const;

  std::map<EstimateKey, RobustAverage> Averages;
  std::map<uint64_t, CallInFlight> InFlight;
  int64_t BoundedRatios = 0;
};

} // namespace orioletally::core::cost

#endif

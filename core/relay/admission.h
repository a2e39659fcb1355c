#ifndef ORIOLETALLY_CORE_RELAY_ADMISSION_H
#define ORIOLETALLY_CORE_RELAY_ADMISSION_H

#include <absl/time/time.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace orioletally::core::relay {

/// Less urgent ranks are treated as the last one of these.
constexpr size_t MaxAdmissionRanks = 10;

/// Rule of the refusal of a caller that returned before its time.
constexpr std::string_view EarlyReturnRule = "retry delay";

/// Parts of a prompt that are taken into account, from its beginning.
constexpr size_t MaxAdmissionParts = 4;

/// What admission control needs to know about a call. The same on all nodes,
/// so that they can exchange it.
struct AdmissionCall {
  /// 0 is the most urgent; see routes::RoutingConfig::rank().
  int64_t Rank = 0;
  /// Hashes of the workspace and the route; 0 for none.
  uint32_t Workspace = 0;
  uint32_t Route = 0;
  /// Hashes of the prompt's parts that other prompts may share.
  std::vector<uint32_t> Parts;
  /// Identifies the call and the caller's retries of it; 0 if unknown.
  uint32_t Key = 0;
  int64_t PromptTokens = 0;
  /// Prefill and decode time by the engine's published speed, or the expected
  /// time of service at a plain backend server.
  absl::Duration Work;
  /// The latest first event that is on time.
  absl::Duration Objective = absl::Seconds(1);
};

/// What became of a call that asked for admission.
enum class AdmissionOutcome {
  Admitted,
  /// Admitted although the first event is predicted to be late.
  AdmittedLate,
  /// Refused because of the load.
  Refused,
};

/// Returns the name of \p outcome for metrics.
std::string_view admissionOutcomeName(AdmissionOutcome outcome);

/// The limits that apply to one call, and the inputs that decided them.
struct AdmissionLimits {
  /// The headroom that the call must leave, from 0 (none) to 1 (it may only use
  /// idle engines).
  double Pressure = 0;
  /// Limit on the mean time that engines need for their pending prefill.
  absl::Duration MaxBacklog = absl::InfiniteDuration();
  /// Share of the usual limit on the wait before a call's own prefill.
  double MaxWaitShare = 1;
  /// Weight of the answers that a prompt makes late; below 1 for the largest
  /// prompts of a kind that is mostly served otherwise.
  double HarmWeight = 1;
  /// Share of the recent calls of more urgent ranks that were refused or late.
  double Contention = 0;
  /// Work that was admitted lately for the call's workspace or for the most
  /// used part of its prompt, whichever exceeds its fair share by more, and
  /// that fair share.
  absl::Duration Work;
  absl::Duration FairWork = absl::InfiniteDuration();
  /// Whether a guaranteed minimum share exempts the call from leaving headroom.
  bool IsGuaranteed = false;
};

/// Counters in which recent events weigh most: an event's weight decreases
/// exponentially with its age.
struct RecentCalls {
  double Arrived = 0;
  double Served = 0;
  /// Work of all calls that arrived and of those that were served, in seconds.
  double DemandedWork = 0;
  double ServedWork = 0;
  absl::Time DecayedTo = absl::InfinitePast();

  /// Applies the decay with the time constant \p time up to \p now.
  void decay(absl::Duration time, absl::Time now);
  /// Records a call with \p work.
  void record(bool isServed, absl::Duration work);
};

/// The recent calls of up to a few hundred workspaces, routes or prompt parts.
/// The one with the least recent demand is dropped when there are more.
class RecentCallsByHash {
public:
  void record(uint32_t hash, bool isServed, absl::Duration work,
              absl::Time now);

  /// Returns the recent calls of \p hash at \p now.
  RecentCalls find(uint32_t hash, absl::Time now) const;

  /// Returns the max-min fair share of the work, in seconds: the limit that,
  /// applied to the work that each entry demanded, adds up to the work that was
  /// served. Infinite when nearly all demand was served.
  double fairWork(absl::Time now) const;

  size_t size() const { return Entries.size(); }

private:
  void dropSmallest(absl::Time now);

  std::map<uint32_t, RecentCalls> Entries;
  mutable double CachedFairWork = std::numeric_limits<double>::infinity();
  mutable absl::Time CachedAt = absl::InfinitePast();
};

/// Admission control for one service.
///
/// The expected load exceeds the capacity for some seconds: one class of calls
/// at twice its usual rate, one workspace at ten times its usual load, or many
/// calls with a common prompt part. Without contention (no refusals and no late
/// first events within the last two seconds) nothing is limited. Under
/// contention, less urgent calls and those of workspaces or prompt parts beyond
/// their fair share have to leave headroom, so that the calls that are worse
/// off find room. Each rank, route and workspace keeps a minimum share.
///
/// All nodes of a cell record the same calls, because load updates carry them;
/// a node without updates decides by its own calls.
class ServiceAdmission {
public:
  /// Returns the limits for \p call.
  AdmissionLimits limits(const AdmissionCall &call, absl::Time now);

  /// Records the outcome of \p call, decided by this node or another one.
  void record(const AdmissionCall &call, AdmissionOutcome outcome,
              absl::Time now);

  /// Records that an admitted call of rank \p rank was refused by its backend
  /// server or was late.
  void firstEventLate(int64_t rank, absl::Time now);

  /// Records the time that a plain backend server took for an answer.
  void observeServiceTime(absl::Duration time);

  /// Returns the recent mean time of an answer of a plain backend server.
  absl::Duration serviceTime() const { return ServiceTime; }

  /// Records that the caller of \p key was asked to return after \p delay.
  void askedToWait(uint32_t key, absl::Duration delay, absl::Time now);

  /// Returns the time to serve the callers that were asked to wait, at the rate
  /// at which calls were served lately.
  absl::Duration waitingTime(absl::Time now) const;

  /// Returns the delay that the caller of \p key was asked to wait, if it
  /// returns at \p now without having waited. Otherwise, returns zero.
  absl::Duration earlyReturnDelay(uint32_t key, absl::Time now) const;

  /// Returns the share of the recent calls of rank \p rank that were refused or
  /// late.
  double contention(int64_t rank, absl::Time now);

private:
  /// Calls of one rank within the window, in slices of its length.
  class RankWindow {
  public:
    void record(bool isUnserved, absl::Duration objective, absl::Time now);
    void recordLate(absl::Time now);
    /// Returns the share of calls that were refused or late.
    double unservedShare(absl::Time now);
    bool isEmpty(absl::Time now);
    /// The shortest objective of the calls that were refused or late.
    absl::Duration objective(absl::Time now);

  private:
    struct Slice {
      int64_t Calls = 0;
      int64_t Unserved = 0;
      absl::Duration Objective = absl::InfiniteDuration();
    };

    void advance(absl::Time now);

    static constexpr size_t SliceCount = 10;
    std::array<Slice, SliceCount> Slices;
    int64_t LastSlice = 0;
  };

  /// Whether contention at a rank is in effect; has a higher threshold to begin
  /// than to end.
  double pressureOf(size_t rank, absl::Time now);
  /// Returns the pressure of more urgent ranks and sets what decided it.
  double rankPressure(const AdmissionCall &call, AdmissionLimits &limits,
                      absl::Duration &objective, absl::Time now);
  /// Returns the pressure on calls beyond their fair share.
  double sharePressure(const AdmissionCall &call, AdmissionLimits &limits,
                       absl::Time now);
  bool isGuaranteed(const AdmissionCall &call, absl::Time now) const;
  double harmWeight(const AdmissionCall &call, absl::Time now) const;

  /// Recent calls of one route by length of the prompt.
  struct RouteLengths {
    static constexpr size_t ClassCount = 44;
    std::array<RecentCalls, ClassCount> Classes;
  };
  static size_t lengthClass(int64_t promptTokens);
  /// Drops the lengths of the route whose last call was the longest ago.
  void dropIdleRoute();

  std::array<RankWindow, MaxAdmissionRanks> Windows;
  std::array<bool, MaxAdmissionRanks> InContention{};
  std::array<RecentCalls, MaxAdmissionRanks> Ranks;
  RecentCalls All;
  RecentCallsByHash Workspaces;
  RecentCallsByHash Routes;
  RecentCallsByHash Parts;
  std::map<uint32_t, RouteLengths> Lengths;
  absl::Duration ServiceTime = absl::Milliseconds(100);
  struct ReturnTime {
    absl::Time At;
    absl::Duration Delay;
  };
  /// When callers that were refused may return, by key.
  std::map<uint32_t, ReturnTime> ReturnTimes;
};

/// Admission control by priority for all services of a node. Neither sends nor
/// waits: a call is admitted or refused at once.
class Admission {
public:
  /// Returns the state of the service whose name has \p serviceHash.
  ServiceAdmission &service(uint64_t serviceHash);

private:
  std::map<uint64_t, ServiceAdmission> Services;
};

/// Returns the delay to ask of a refused caller: \p clearTime, spread so that
/// callers don't return together. At most a third of \p timeLeft, which is what
/// callers wait, unless a call that needs \p ownTime would be too late anyway.
absl::Duration spreadRetryDelay(absl::Duration clearTime,
                                absl::Duration timeLeft, absl::Duration ownTime,
                                double random);

/// Returns the priority that is sent to an engine with a prompt of rank \p rank
/// of \p rankCount, from 0 (first) to 9. Short prompts precede long ones of
/// their rank, and more urgent prompts precede others of their length.
int64_t enginePriorityOf(int64_t rank, int64_t rankCount, bool isShort);

} // namespace orioletally::core::relay

#endif

#include "core/relay/admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace orioletally::core::relay {

namespace {

/// Length of the window in which refusals and late first events count as
/// contention. Callers expect bursts to be over as soon.
constexpr absl::Duration ContentionWindow = absl::Seconds(2);
/// Served calls that are assumed in addition to those in a window, so that one
/// refusal among few calls isn't taken for contention.
constexpr double AssumedServedCalls = 20;
/// Share of refused or late calls at which contention begins and ends. More
/// urgent calls may be served less often by 5 in 100.
constexpr double ContentionBegin = 0.03;
constexpr double ContentionEnd = 0.01;
/// Share of refused or late calls, beyond ContentionEnd, at which less urgent
/// calls may only use idle engines.
constexpr double FullPressureShare = 0.1;
/// Additional pressure for each further rank between two calls.
constexpr double PressurePerRank = 0.5;
/// Time constant of the recent work and served shares: several calls of a
/// workspace with one call per second.
constexpr absl::Duration ShareTime = absl::Seconds(4);
/// Time constant of the served shares by prompt length: long prompts are rare.
constexpr absl::Duration LengthTime = absl::Seconds(20);
/// Share by which a workspace may exceed its fair share, for bursts.
constexpr double BurstShare = 0.1;
/// Excess over the fair share, beyond the burst, at which the full pressure
/// applies.
constexpr double FullPressureExcess = 0.25;
/// Share of served work in the demand from which on shares aren't limited.
constexpr double AmpleShare = 0.98;
/// A rank, route, workspace or prompt part is exempt from leaving headroom
/// while it is served less than this often, relative to all calls. A quarter is
/// required; the rest is a margin, because the shares are measured over
/// seconds.
constexpr double GuaranteedShare = 0.4;
/// The largest prompts of a kind, as a share of its prompts: the largest tenth
/// and the fifth below it.
constexpr double LargeBand = 0.3;
/// The largest prompts are served at least half as often as their kind. The
/// weight of the harm that they do decreases from the first relative share on
/// and is zero at the second one.
constexpr double RelaxBelow = 0.7;
constexpr double RelaxFullyAt = 0.5;
/// Prompts assumed to have been served, so that one refusal isn't decisive.
constexpr double AssumedServedPrompts = 1;
constexpr size_t MaxEntries = 256;
constexpr size_t MaxRoutes = 32;
constexpr size_t MaxServices = 64;
/// How long a computed fair share is used; it takes a sort of all entries.
constexpr absl::Duration FairWorkAge = absl::Milliseconds(20);
/// Random addition to a retry delay, as a share of it.
constexpr double RetrySpread = 0.5;
/// A caller that returns earlier by less than this has waited: other nodes hear
/// of its refusal some milliseconds later.
constexpr absl::Duration ReturnTolerance = absl::Milliseconds(20);
/// How long after its time to return a caller's refusal is remembered.
constexpr absl::Duration ReturnMemory = absl::Seconds(1);
constexpr absl::Duration MinRetryDelay = absl::Milliseconds(50);
constexpr absl::Duration MaxRetryDelay = absl::Seconds(3);
/// Callers wait up to this share of the time they have left.
constexpr double MaxWaitOfTimeLeft = 1.0 / 3;

size_t indexOf(int64_t rank) {
  return static_cast<size_t>(std::clamp<int64_t>(
      rank, 0, static_cast<int64_t>(MaxAdmissionRanks) - 1));
}

double servedShare(const RecentCalls &calls) {
  return (calls.Served + AssumedServedPrompts) /
         (calls.Arrived + AssumedServedPrompts);
}

} // namespace

std::string_view admissionOutcomeName(AdmissionOutcome outcome) {
  switch (outcome) {
  case AdmissionOutcome::Admitted:
    return "admitted";
  case AdmissionOutcome::AdmittedLate:
    return "admitted_late";
  case AdmissionOutcome::Refused:
    return "refused";
  }
  return "";
}

void RecentCalls::decay(absl::Duration time, absl::Time now) {
  if (DecayedTo == absl::InfinitePast()) {
    DecayedTo = now;
    return;
  }
  if (now <= DecayedTo)
    return;
  const double factor = std::exp(-absl::FDivDuration(now - DecayedTo, time));
  DecayedTo = now;
  Arrived *= factor;
  Served *= factor;
  DemandedWork *= factor;
  ServedWork *= factor;
}

void RecentCalls::record(bool isServed, absl::Duration work) {
  const double seconds = absl::ToDoubleSeconds(work);
  Arrived += 1;
  DemandedWork += seconds;
  if (!isServed)
    return;
  Served += 1;
  ServedWork += seconds;
}

void RecentCallsByHash::record(uint32_t hash, bool isServed,
                               absl::Duration work, absl::Time now) {
  if (Entries.size() >= MaxEntries && !Entries.contains(hash))
    dropSmallest(now);
  RecentCalls &entry = Entries[hash];
  entry.decay(ShareTime, now);
  entry.record(isServed, work);
}

RecentCalls RecentCallsByHash::find(uint32_t hash, absl::Time now) const {
  const auto found = Entries.find(hash);
  if (found == Entries.end())
    return {};
  RecentCalls result = found->second;
  result.decay(ShareTime, now);
  return result;
}

void RecentCallsByHash::dropSmallest(absl::Time now) {
  for (auto &[hash, it] : Entries)
    it.decay(ShareTime, now);
  Entries.erase(std::min_element(
      Entries.begin(), Entries.end(), [](const auto &left, const auto &right) {
        return left.second.DemandedWork < right.second.DemandedWork;
      }));
}

double RecentCallsByHash::fairWork(absl::Time now) const {
  if (now >= CachedAt && now - CachedAt < FairWorkAge)
    return CachedFairWork;
  CachedAt = now;
  CachedFairWork = std::numeric_limits<double>::infinity();
  std::vector<double> demands;
  double served = 0;
  for (const auto &[hash, it] : Entries) {
    RecentCalls calls = it;
    calls.decay(ShareTime, now);
    demands.push_back(calls.DemandedWork);
    served += calls.ServedWork;
  }
  const double demanded = std::accumulate(demands.begin(), demands.end(), 0.0);
  if (demands.size() < 2 || served >= AmpleShare * demanded)
    return CachedFairWork;
  std::sort(demands.begin(), demands.end());
  double left = served;
  for (size_t n = 0; n < demands.size(); ++n) {
    const double level = left / static_cast<double>(demands.size() - n);
    if (demands[n] >= level) {
      CachedFairWork = level;
      break;
    }
    left -= demands[n];
  }
  return CachedFairWork;
}

void ServiceAdmission::RankWindow::advance(absl::Time now) {
  const int64_t slice = absl::ToInt64Milliseconds(now - absl::UnixEpoch()) /
                        absl::ToInt64Milliseconds(
                            ContentionWindow / static_cast<double>(SliceCount));
  if (slice <= LastSlice)
    return;
  const int64_t passed =
      std::min(slice - LastSlice, static_cast<int64_t>(SliceCount));
  for (int64_t n = 0; n < passed; ++n)
    Slices[static_cast<size_t>(slice - n) % SliceCount] = {};
  LastSlice = slice;
}

void ServiceAdmission::RankWindow::record(bool isUnserved,
                                          absl::Duration objective,
                                          absl::Time now) {
  advance(now);
  Slice &slice = Slices[static_cast<size_t>(LastSlice) % SliceCount];
  ++slice.Calls;
  if (!isUnserved)
    return;
  ++slice.Unserved;
  slice.Objective = std::min(slice.Objective, objective);
}

void ServiceAdmission::RankWindow::recordLate(absl::Time now) {
  advance(now);
  ++Slices[static_cast<size_t>(LastSlice) % SliceCount].Unserved;
}

double ServiceAdmission::RankWindow::unservedShare(absl::Time now) {
  advance(now);
  double calls = AssumedServedCalls;
  double unserved = 0;
  for (const Slice &it : Slices) {
    calls += static_cast<double>(it.Calls);
    unserved += static_cast<double>(it.Unserved);
  }
  return std::min(1.0, unserved / calls);
}

bool ServiceAdmission::RankWindow::isEmpty(absl::Time now) {
  advance(now);
  return std::all_of(Slices.begin(), Slices.end(), [](const Slice &it) {
    return it.Calls == 0 && it.Unserved == 0;
  });
}

absl::Duration ServiceAdmission::RankWindow::objective(absl::Time now) {
  advance(now);
  absl::Duration result = absl::InfiniteDuration();
  for (const Slice &it : Slices)
    result = std::min(result, it.Objective);
  return result;
}

double ServiceAdmission::pressureOf(size_t rank, absl::Time now) {
  const double share = Windows[rank].unservedShare(now);
  if (share >= ContentionBegin)
    InContention[rank] = true;
  else if (share <= ContentionEnd)
    InContention[rank] = false;
  return InContention[rank]
             ? std::clamp((share - ContentionEnd) / FullPressureShare, 0.0, 1.0)
             : 0;
}

double ServiceAdmission::contention(int64_t rank, absl::Time now) {
  return Windows[indexOf(rank)].unservedShare(now);
}

double ServiceAdmission::rankPressure(const AdmissionCall &call,
                                      AdmissionLimits &limits,
                                      absl::Duration &objective,
                                      absl::Time now) {
  double result = 0;
  // Counts only ranks that have calls, so that gaps between them don't matter.
  double ranksBehind = 0;
  // A call that was refused before is late by now. It leaves room for those of
  // its rank that can still be on time.
  const size_t behind =
      indexOf(call.Rank) + (ReturnTimes.contains(call.Key) ? 1 : 0);
  for (size_t n = behind; n-- > 0;) {
    if (Windows[n].isEmpty(now))
      continue;
    ranksBehind += 1;
    const double pressure = std::min(
        1.0, pressureOf(n, now) * (1 + PressurePerRank * (ranksBehind - 1)));
    limits.Contention =
        std::max(limits.Contention, Windows[n].unservedShare(now));
    if (pressure <= 0)
      continue;
    result = std::max(result, pressure);
    objective = std::min(objective, Windows[n].objective(now));
  }
  return result;
}

double ServiceAdmission::sharePressure(const AdmissionCall &call,
                                       AdmissionLimits &limits,
                                       absl::Time now) {
  // Of the calls of this rank and of more urgent ones, those of others.
  double unserved = 0;
  for (size_t n = 0; n <= indexOf(call.Rank); ++n)
    unserved = std::max(unserved, pressureOf(n, now));
  if (unserved <= 0)
    return 0;
  double worst = 0;
  const auto weigh = [&](const RecentCallsByHash &table, uint32_t hash) {
    const double fair = table.fairWork(now);
    if (hash == 0 || !std::isfinite(fair) || fair <= 0)
      return;
    const RecentCalls own = table.find(hash, now);
    const double others = std::max(0.0, All.Arrived - All.Served) -
                          std::max(0.0, own.Arrived - own.Served);
    const double excess = own.ServedWork / fair - 1 - BurstShare;
    if (excess <= worst || others < 1)
      return;
    worst = excess;
    limits.Work = absl::Seconds(own.ServedWork);
    limits.FairWork = absl::Seconds(fair);
  };
  All.decay(ShareTime, now);
  weigh(Workspaces, call.Workspace);
  for (const uint32_t part : call.Parts)
    weigh(Parts, part);
  return unserved * std::min(1.0, worst / FullPressureExcess);
}

bool ServiceAdmission::isGuaranteed(const AdmissionCall &call,
                                    absl::Time now) const {
  RecentCalls all = All;
  all.decay(ShareTime, now);
  const double guaranteed = GuaranteedShare * servedShare(all);
  RecentCalls rank = Ranks[indexOf(call.Rank)];
  rank.decay(ShareTime, now);
  return servedShare(rank) < guaranteed ||
         servedShare(Routes.find(call.Route, now)) < guaranteed ||
         (call.Workspace != 0 &&
          servedShare(Workspaces.find(call.Workspace, now)) < guaranteed) ||
         std::any_of(call.Parts.begin(), call.Parts.end(), [&](uint32_t part) {
           return servedShare(Parts.find(part, now)) < guaranteed;
         });
}

size_t ServiceAdmission::lengthClass(int64_t promptTokens) {
  const double n =
      2 * std::log2(static_cast<double>(std::max<int64_t>(1, promptTokens)));
  return std::min(RouteLengths::ClassCount - 1, static_cast<size_t>(n));
}

double ServiceAdmission::harmWeight(const AdmissionCall &call,
                                    absl::Time now) const {
  const auto found = Lengths.find(call.Route);
  if (found == Lengths.end())
    return 1;
  std::array<RecentCalls, RouteLengths::ClassCount> classes =
      found->second.Classes;
  RecentCalls kind;
  RecentCalls longer;
  const size_t own = lengthClass(call.PromptTokens);
  for (size_t n = classes.size(); n-- > 0;) {
    classes[n].decay(LengthTime, now);
    kind.Arrived += classes[n].Arrived;
    kind.Served += classes[n].Served;
    if (n < own)
      continue;
    longer.Arrived += classes[n].Arrived;
    longer.Served += classes[n].Served;
  }
  const double position = longer.Arrived / std::max(1.0, kind.Arrived);
  // Classes are coarse: the call's own one may reach beyond the band.
  if (position - classes[own].Arrived / std::max(1.0, kind.Arrived) > LargeBand)
    return 1;
  const double relative = servedShare(longer) / servedShare(kind);
  return std::clamp((relative - RelaxFullyAt) / (RelaxBelow - RelaxFullyAt),
                    0.0, 1.0);
}

AdmissionLimits ServiceAdmission::limits(const AdmissionCall &call,
                                         absl::Time now) {
  AdmissionLimits result;
  result.HarmWeight = harmWeight(call, now);
  absl::Duration objective = call.Objective;
  const double byRank = rankPressure(call, result, objective, now);
  const double byShare = sharePressure(call, result, now);
  const double pressure = std::max(byRank, byShare);
  if (pressure <= 0)
    return result;
  result.IsGuaranteed = isGuaranteed(call, now);
  if (result.IsGuaranteed)
    return result;
  result.Pressure = pressure;
  result.MaxWaitShare = 1 - pressure;
  // At half the pressure, the backlog leaves the more urgent calls their
  // objective.
  result.MaxBacklog = objective * ((1 - pressure) / pressure);
  return result;
}

void ServiceAdmission::record(const AdmissionCall &call,
                              AdmissionOutcome outcome, absl::Time now) {
  const bool isServed = outcome != AdmissionOutcome::Refused;
  const size_t rank = indexOf(call.Rank);
  Windows[rank].record(outcome != AdmissionOutcome::Admitted, call.Objective,
                       now);
  for (RecentCalls *it : {&All, &Ranks[rank]}) {
    it->decay(ShareTime, now);
    it->record(isServed, call.Work);
  }
  Routes.record(call.Route, isServed, call.Work, now);
  if (call.Workspace != 0)
    Workspaces.record(call.Workspace, isServed, call.Work, now);
  for (const uint32_t part : call.Parts)
    Parts.record(part, isServed, call.Work, now);
  if (call.PromptTokens <= 0)
    return;
  if (Lengths.size() >= MaxRoutes && !Lengths.contains(call.Route))
    dropIdleRoute();
  RecentCalls &lengths =
      Lengths[call.Route].Classes[lengthClass(call.PromptTokens)];
  lengths.decay(LengthTime, now);
  lengths.record(isServed, call.Work);
}

void ServiceAdmission::dropIdleRoute() {
  const auto lastCall = [](const RouteLengths &route) {
    absl::Time last = absl::InfinitePast();
    for (const RecentCalls &it : route.Classes)
      last = std::max(last, it.DecayedTo);
    return last;
  };
  Lengths.erase(std::min_element(
      Lengths.begin(), Lengths.end(), [&](const auto &left, const auto &right) {
        return lastCall(left.second) < lastCall(right.second);
      }));
}

void ServiceAdmission::firstEventLate(int64_t rank, absl::Time now) {
  Windows[indexOf(rank)].recordLate(now);
}

void ServiceAdmission::observeServiceTime(absl::Duration time) {
  constexpr double Weight = 0.1;
  ServiceTime += Weight * (time - ServiceTime);
}

void ServiceAdmission::askedToWait(uint32_t key, absl::Duration delay,
                                   absl::Time now) {
  if (key == 0)
    return;
  std::erase_if(ReturnTimes, [&](const auto &it) {
    return it.second.At + ReturnMemory <= now;
  });
  if (ReturnTimes.size() >= MaxEntries)
    ReturnTimes.erase(std::min_element(ReturnTimes.begin(), ReturnTimes.end(),
                                       [](const auto &left, const auto &right) {
                                         return left.second.At <
                                                right.second.At;
                                       }));
  ReturnTimes[key] = {now + delay, delay};
}

absl::Duration ServiceAdmission::waitingTime(absl::Time now) const {
  RecentCalls all = All;
  all.decay(ShareTime, now);
  const auto waiting =
      std::count_if(ReturnTimes.begin(), ReturnTimes.end(),
                    [&](const auto &it) { return it.second.At > now; });
  return static_cast<double>(waiting) / std::max(1.0, all.Served) * ShareTime;
}

absl::Duration ServiceAdmission::earlyReturnDelay(uint32_t key,
                                                  absl::Time now) const {
  const auto found = ReturnTimes.find(key);
  return found == ReturnTimes.end() || found->second.At <= now + ReturnTolerance
             ? absl::ZeroDuration()
             : found->second.Delay;
}

ServiceAdmission &Admission::service(uint64_t serviceHash) {
  // Update messages name services by hash; unknown ones don't accumulate.
  if (Services.size() >= MaxServices && !Services.contains(serviceHash))
    Services.erase(Services.begin());
  return Services[serviceHash];
}

absl::Duration spreadRetryDelay(absl::Duration clearTime,
                                absl::Duration timeLeft, absl::Duration ownTime,
                                double random) {
  const absl::Duration spread =
      std::max(clearTime, MinRetryDelay) * (1 + RetrySpread * random);
  const bool isHopeless = clearTime + ownTime >= timeLeft;
  const absl::Duration longest =
      isHopeless ? MaxRetryDelay
                 : std::min(MaxRetryDelay, timeLeft * MaxWaitOfTimeLeft);
  return std::max(std::min(spread, longest), absl::Milliseconds(1));
}

int64_t enginePriorityOf(int64_t rank, int64_t rankCount, bool isShort) {
  // Equal ranks have the priorities 3 and 5; a prompt is as far behind a short
  // one of its rank as behind a long one of a rank two steps more urgent.
  constexpr int64_t ShortOfEqualRanks = 3;
  constexpr int64_t LongAfterShort = 2;
  constexpr int64_t LastShort = 7;
  const int64_t first = std::max<int64_t>(0, ShortOfEqualRanks + 1 - rankCount);
  const int64_t ofShort =
      std::min(first + std::max<int64_t>(0, rank), LastShort);
  return isShort ? ofShort : ofShort + LongAfterShort;
}

} // namespace orioletally::core::relay

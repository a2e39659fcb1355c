#include "core/membership/failure_detector.h"

#include <absl/algorithm/container.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace orioletally::core::membership {

namespace {

/// News is passed on this many times log2 of the member count.
constexpr int NewsSpread = 3;
constexpr size_t MaxRelays = 64;
/// Periods between two tries to reach a seed while nobody is known, and
/// between two while members are known, which heals a split.
constexpr int SeedPeriods = 1;
constexpr int SeedPeriodsWhenJoined = 20;

double logOf(size_t members) {
  return std::max(1.0, std::log2(static_cast<double>(members + 1)));
}

} // namespace

FailureDetector::FailureDetector(Member own, const DetectorSettings &wanted)
    : Settings(wanted), Self(std::move(own)), Random(wanted.Seed) {}

void FailureDetector::addSeed(const std::string &address) {
  if (address != Self.PeerAddress && !absl::c_linear_search(Seeds, address))
    Seeds.push_back(address);
}

PeerMessage FailureDetector::message(PeerBody body) {
  return {Self, news(), std::move(body)};
}

bool FailureDetector::isAlive(const Entry &entry) const {
  return entry.View.Status == MemberStatus::Alive ||
         entry.View.Status == MemberStatus::Suspect;
}

size_t FailureDetector::aliveCount() const {
  return absl::c_count_if(
      Members, [this](const auto &it) { return isAlive(it.second); });
}

absl::Duration FailureDetector::suspicionTime() const {
  return Settings.Period * Settings.SuspicionPeriods * logOf(aliveCount());
}

TickFindings FailureDetector::tick(absl::Time now) {
  TickFindings findings;
  const bool isFirst = LastTick == absl::InfinitePast();
  if (!isFirst && now - LastTick > Settings.FreezeGap) {
    // What others failed to answer while this node slept says nothing.
    findings.WasFrozen = true;
    Pending.reset();
    for (auto &[name, entry] : Members)
      if (entry.View.Status == MemberStatus::Suspect)
        entry.Since = now;
    ++Self.Beat;
  }
  LastTick = now;
  FirstTick = std::min(FirstTick, now);
  checkProbe(now, findings);
  checkSuspects(now, findings);
  if (now >= NextProbe) {
    NextProbe = now + Settings.Period;
    probeNext(now, findings);
    forgetDead(now);
  }
  greetUnheard(findings);
  checkJoined(now);
  return findings;
}

std::optional<std::string> FailureDetector::nextTarget() {
  while (!ProbeOrder.empty()) {
    const std::string name = ProbeOrder.back();
    ProbeOrder.pop_back();
    const auto it = Members.find(name);
    if (it != Members.end() && isAlive(it->second))
      return name;
  }
  for (const auto &[name, entry] : Members)
    if (isAlive(entry))
      ProbeOrder.push_back(name);
  if (ProbeOrder.empty())
    return std::nullopt;
  absl::c_shuffle(ProbeOrder, Random);
  const std::string name = ProbeOrder.back();
  ProbeOrder.pop_back();
  return name;
}

void FailureDetector::probeNext(absl::Time now, TickFindings &findings) {
  probeSeed(now, findings);
  if (Pending.has_value())
    return;
  const auto target = nextTarget();
  if (!target.has_value())
    return;
  Pending = Probe{NextSequence++, *target, now, false};
  const MemberView &view = Members[*target].View;
  PeerMessage probe = message(Ping{Pending->Sequence, false});
  // A suspect can refute only what it hears.
  if (view.Status != MemberStatus::Alive)
    probe.News.push_back(view);
  findings.Outgoing.push_back({view.Self.PeerAddress, std::move(probe)});
}

void FailureDetector::probeSeed(absl::Time now, TickFindings &findings) {
  if (now < NextSeed)
    return;
  const bool isAlone = aliveCount() == 0;
  NextSeed =
      now + Settings.Period * (isAlone ? SeedPeriods : SeedPeriodsWhenJoined);
  // Dead members are tried as well: after a partition both sides believe each
  // other dead, and only a probe brings them together again.
  std::vector<std::string> addresses = Seeds;
  for (const auto &[name, entry] : Members)
    if (entry.View.Status == MemberStatus::Dead)
      addresses.push_back(entry.View.Self.PeerAddress);
  if (addresses.empty())
    return;
  const size_t n = Random() % addresses.size();
  // The whole list is large; only a node that isn't a member here may know
  // members that this one doesn't.
  const bool isMember = absl::c_any_of(Members, [&](const auto &it) {
    return isAlive(it.second) &&
           it.second.View.Self.PeerAddress == addresses[n];
  });
  findings.Outgoing.push_back(
      {addresses[n], message(Ping{NextSequence++, !isMember})});
}

void FailureDetector::greetUnheard(TickFindings &findings) {
  if (HasJoined)
    return;
  for (const auto &[name, entry] : Members)
    if (isAlive(entry) && !entry.IsHeard)
      findings.Outgoing.push_back(
          {entry.View.Self.PeerAddress, message(Ping{NextSequence++, false})});
}

void FailureDetector::checkJoined(absl::Time now) {
  if (HasJoined)
    return;
  const bool mayBeAlone =
      Seeds.empty() ||
      now - FirstTick >= Settings.Period * Settings.AlonePeriods;
  // One that the others suspect can't have its changes confirmed by them.
  const bool isUnheard = absl::c_any_of(Members, [](const auto &it) {
    return it.second.View.Status == MemberStatus::Alive && !it.second.IsHeard;
  });
  const bool isKnown = !isUnheard && (aliveCount() > 0 || mayBeAlone);
  HasJoined = isKnown || now - FirstTick >= Settings.JoinBound;
}

void FailureDetector::checkProbe(absl::Time now, TickFindings &findings) {
  if (!Pending.has_value())
    return;
  const auto it = Members.find(Pending->Target);
  if (it == Members.end()) {
    Pending.reset();
    return;
  }
  const absl::Duration waited = now - Pending->SentAt;
  if (!Pending->IndirectSent && waited >= Settings.DirectWait) {
    Pending->IndirectSent = true;
    const IndirectPing request{Pending->Sequence, Pending->Target,
                               it->second.View.Self.PeerAddress};
    for (const Member &helper :
         randomAlive(static_cast<size_t>(Settings.IndirectProbes) + 1))
      if (helper.Name != Pending->Target)
        findings.Outgoing.push_back({helper.PeerAddress, message(request)});
  }
  if (waited < Settings.Period)
    return;
  if (it->second.View.Status == MemberStatus::Alive)
    setStatus(it->second, MemberStatus::Suspect, now);
  Pending.reset();
}

void FailureDetector::checkSuspects(absl::Time now, TickFindings &findings) {
  const absl::Duration bound = suspicionTime();
  for (auto &[name, entry] : Members) {
    if (entry.View.Status != MemberStatus::Suspect || now - entry.Since < bound)
      continue;
    setStatus(entry, MemberStatus::Dead, now);
    findings.NewlyDead.push_back(name);
  }
}

void FailureDetector::forgetDead(absl::Time now) {
  std::erase_if(Members, [&](const auto &it) {
    return !isAlive(it.second) && now - it.second.Since > Settings.DeadMemory;
  });
}

void FailureDetector::setStatus(Entry &entry, MemberStatus status,
                                absl::Time now) {
  entry.View.Status = status;
  entry.Since = now;
  entry.TimesSent = 0;
}

std::vector<MemberView> FailureDetector::news() {
  const int limit =
      NewsSpread * static_cast<int>(std::ceil(logOf(aliveCount())));
  std::vector<Entry *> fresh;
  for (auto &[name, entry] : Members)
    if (entry.TimesSent < limit)
      fresh.push_back(&entry);
  absl::c_sort(fresh, [](const Entry *one, const Entry *two) {
    return one->TimesSent < two->TimesSent;
  });
  std::vector<MemberView> result;
  for (Entry *it : fresh) {
    if (result.size() >= Settings.NewsPerMessage)
      break;
    ++it->TimesSent;
    result.push_back(it->View);
  }
  return result;
}

void FailureDetector::refute(const MemberView &news) {
  const bool isAccused = news.Status != MemberStatus::Alive &&
                         news.Self.Incarnation == Self.Incarnation &&
                         news.Self.Beat >= Self.Beat;
  if (isAccused)
    Self.Beat = news.Self.Beat + 1;
}

void FailureDetector::learn(const MemberView &news, absl::Time now) {
  if (news.Self.Name == Self.Name) {
    refute(news);
    return;
  }
  const auto found = Members.find(news.Self.Name);
  if (found == Members.end()) {
    Members[news.Self.Name] = Entry{news, now};
    return;
  }
  Entry &entry = found->second;
  if (isNewer(entry.View.Self, news.Self))
    return;
  if (isNewer(news.Self, entry.View.Self)) {
    const bool isSame = entry.View.Status == news.Status;
    entry.View = news;
    entry.TimesSent = 0;
    entry.Since = isSame ? entry.Since : now;
    return;
  }
  // Of two beliefs about the same statement the graver one stands.
  if (news.Status > entry.View.Status)
    setStatus(entry, news.Status, now);
}

void FailureDetector::hear(const Member &sender, absl::Time now) {
  learn({sender, MemberStatus::Alive}, now);
  const auto it = Members.find(sender.Name);
  if (it != Members.end())
    it->second.IsHeard = true;
}

std::vector<OutgoingMessage>
FailureDetector::receive(const PeerMessage &message, absl::Time now) {
  hear(message.From, now);
  for (const MemberView &it : message.News)
    learn(it, now);
  if (const auto *ping = std::get_if<Ping>(&message.Body))
    return answer(message, *ping);
  if (const auto *ack = std::get_if<Ack>(&message.Body))
    return answer(message, *ack, now);
  if (const auto *request = std::get_if<IndirectPing>(&message.Body))
    return answer(message, *request);
  return {};
}

std::vector<OutgoingMessage> FailureDetector::answer(const PeerMessage &from,
                                                     const Ping &ping) {
  PeerMessage reply = message(Ack{ping.Sequence, Self.Name});
  if (ping.WantAll)
    reply.News = members();
  // A sender that is believed to be suspect or dead must hear it, or it could
  // never refute it.
  const auto it = Members.find(from.From.Name);
  if (it != Members.end() && it->second.View.Status != MemberStatus::Alive)
    reply.News.push_back(it->second.View);
  return {{from.From.PeerAddress, std::move(reply)}};
}

std::vector<OutgoingMessage>
FailureDetector::answer(const PeerMessage &, const Ack &ack, absl::Time now) {
  std::vector<OutgoingMessage> result;
  for (auto it = Relays.begin(); it != Relays.end(); ++it) {
    if (it->Sequence != ack.Sequence)
      continue;
    result.push_back(
        {it->ForAddress, message(Ack{it->ForSequence, ack.Member})});
    Relays.erase(it);
    break;
  }
  if (!Pending.has_value() || Pending->Sequence != ack.Sequence)
    return result;
  const auto target = Members.find(Pending->Target);
  if (target != Members.end() &&
      target->second.View.Status == MemberStatus::Suspect)
    setStatus(target->second, MemberStatus::Alive, now);
  Pending.reset();
  return result;
}

std::vector<OutgoingMessage>
FailureDetector::answer(const PeerMessage &from, const IndirectPing &request) {
  if (Relays.size() >= MaxRelays)
    Relays.erase(Relays.begin());
  const Relay relay{NextSequence++, request.Sequence, from.From.PeerAddress};
  Relays.push_back(relay);
  return {{request.TargetAddress, message(Ping{relay.Sequence, false})}};
}

std::vector<MemberView> FailureDetector::members() const {
  std::vector<MemberView> result;
  for (const auto &[name, entry] : Members)
    result.push_back(entry.View);
  return result;
}

std::optional<absl::Time>
FailureDetector::statusSince(std::string_view name) const {
  const auto it = Members.find(name);
  if (it == Members.end())
    return std::nullopt;
  return it->second.Since;
}

std::vector<Member> FailureDetector::randomAlive(size_t n) {
  std::vector<Member> alive;
  for (const auto &[name, entry] : Members)
    if (isAlive(entry))
      alive.push_back(entry.View.Self);
  absl::c_shuffle(alive, Random);
  if (alive.size() > n)
    alive.resize(n);
  return alive;
}

bool FailureDetector::isZoneLeader() const {
  return absl::c_none_of(Members, [this](const auto &it) {
    const Member &member = it.second.View.Self;
    return it.second.View.Status == MemberStatus::Alive &&
           member.Zone == Self.Zone && member.Name < Self.Name;
  });
}

} // namespace orioletally::core::membership

#include "core/membership/failure_detector.h"

#include <absl/algorithm/container.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace orioletally::core::membership {

namespace {

/// How often an update is sent, per log2 of the number of members.
constexpr int UpdateSpread = 3;
/// When more pings are relayed for other nodes, the oldest one is dropped.
constexpr size_t MaxRelays = 64;
/// Periods between two pings to a seed while no member is known, and while some
/// are, which lets the sides of a partition find each other again.
constexpr int SeedPeriods = 1;
constexpr int SeedPeriodsWhenJoined = 20;

double logOf(size_t members) {
  return std::max(1.0, std::log2(static_cast<double>(members + 1)));
}

} // namespace

FailureDetector::FailureDetector(Member selfInfo,
                                 const DetectorSettings &settings)
    : Settings(settings), Self(std::move(selfInfo)), Random(settings.Seed) {}

void FailureDetector::addSeed(const std::string &address) {
  if (address != Self.PeerAddress && !absl::c_linear_search(Seeds, address))
    Seeds.push_back(address);
}

PeerMessage FailureDetector::message(PeerBody body) {
  return {Self, nextUpdates(), std::move(body)};
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

TickResult FailureDetector::tick(absl::Time now) {
  TickResult result;
  const bool isFirst = LastTick == absl::InfinitePast();
  if (!isFirst && now - LastTick > Settings.FreezeGap) {
    // Answers that were missed while this node was frozen prove nothing.
    result.WasFrozen = true;
    PendingProbe.reset();
    for (auto &[name, entry] : Members)
      if (entry.View.Status == MemberStatus::Suspect)
        entry.StatusSince = now;
    ++Self.StateVersion;
  }
  LastTick = now;
  FirstTick = std::min(FirstTick, now);
  checkProbe(now, result);
  checkSuspects(now, result);
  if (now >= NextProbe) {
    NextProbe = now + Settings.Period;
    probeNext(now, result);
    expireDead(now);
  }
  pingUncontacted(result);
  checkJoined(now);
  return result;
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

void FailureDetector::probeNext(absl::Time now, TickResult &result) {
  probeSeed(now, result);
  if (PendingProbe.has_value())
    return;
  const auto target = nextTarget();
  if (!target.has_value())
    return;
  PendingProbe = Probe{NextSequence++, *target, now, false};
  const MemberView &view = Members[*target].View;
  PeerMessage probe = message(Ping{PendingProbe->Sequence, false});
  // A suspect can refute the suspicion only if it learns of it.
  if (view.Status != MemberStatus::Alive)
    probe.Updates.push_back(view);
  result.Outgoing.push_back({view.Info.PeerAddress, std::move(probe)});
}

void FailureDetector::probeSeed(absl::Time now, TickResult &result) {
  if (now < NextSeed)
    return;
  const bool isAlone = aliveCount() == 0;
  NextSeed =
      now + Settings.Period * (isAlone ? SeedPeriods : SeedPeriodsWhenJoined);
  // Dead members are pinged as well: after a partition both sides consider each
  // other dead, and only a ping reconnects them.
  std::vector<std::string> addresses = Seeds;
  for (const auto &[name, entry] : Members)
    if (entry.View.Status == MemberStatus::Dead)
      addresses.push_back(entry.View.Info.PeerAddress);
  if (addresses.empty())
    return;
  const size_t n = Random() % addresses.size();
  // The list of all members is large, so it is only requested from a node that
  // isn't a member here: only that one may know members that this one doesn't.
  const bool isMember = absl::c_any_of(Members, [&](const auto &it) {
    return isAlive(it.second) &&
           it.second.View.Info.PeerAddress == addresses[n];
  });
  result.Outgoing.push_back(
      {addresses[n], message(Ping{NextSequence++, !isMember})});
}

void FailureDetector::pingUncontacted(TickResult &result) {
  if (HasJoined)
    return;
  for (const auto &[name, entry] : Members)
    if (isAlive(entry) && !entry.HasContact)
      result.Outgoing.push_back(
          {entry.View.Info.PeerAddress, message(Ping{NextSequence++, false})});
}

void FailureDetector::checkJoined(absl::Time now) {
  if (HasJoined)
    return;
  const bool mayBeAlone =
      Seeds.empty() ||
      now - FirstTick >= Settings.Period * Settings.SeedWaitPeriods;
  // Suspects are skipped: a node that the others suspect can't get its changes
  // of the profiles confirmed by them.
  const bool isAnyUncontacted = absl::c_any_of(Members, [](const auto &it) {
    return it.second.View.Status == MemberStatus::Alive &&
           !it.second.HasContact;
  });
  const bool isKnownToAll =
      !isAnyUncontacted && (aliveCount() > 0 || mayBeAlone);
  HasJoined = isKnownToAll || now - FirstTick >= Settings.JoinTimeout;
}

void FailureDetector::checkProbe(absl::Time now, TickResult &result) {
  if (!PendingProbe.has_value())
    return;
  const auto it = Members.find(PendingProbe->Target);
  if (it == Members.end()) {
    PendingProbe.reset();
    return;
  }
  const absl::Duration waited = now - PendingProbe->SentAt;
  if (!PendingProbe->IndirectSent && waited >= Settings.DirectWait) {
    PendingProbe->IndirectSent = true;
    const IndirectPing request{PendingProbe->Sequence, PendingProbe->Target,
                               it->second.View.Info.PeerAddress};
    for (const Member &helper :
         randomAlive(static_cast<size_t>(Settings.IndirectProbes) + 1))
      if (helper.Name != PendingProbe->Target)
        result.Outgoing.push_back({helper.PeerAddress, message(request)});
  }
  if (waited < Settings.Period)
    return;
  if (it->second.View.Status == MemberStatus::Alive)
    setStatus(it->second, MemberStatus::Suspect, now);
  PendingProbe.reset();
}

void FailureDetector::checkSuspects(absl::Time now, TickResult &result) {
  const absl::Duration timeout = suspicionTime();
  for (auto &[name, entry] : Members) {
    if (entry.View.Status != MemberStatus::Suspect ||
        now - entry.StatusSince < timeout)
      continue;
    setStatus(entry, MemberStatus::Dead, now);
    result.NewlyDead.push_back(name);
  }
}

void FailureDetector::expireDead(absl::Time now) {
  std::erase_if(Members, [&](const auto &it) {
    return !isAlive(it.second) &&
           now - it.second.StatusSince > Settings.DeadRetention;
  });
}

void FailureDetector::setStatus(Entry &entry, MemberStatus status,
                                absl::Time now) {
  entry.View.Status = status;
  entry.StatusSince = now;
  entry.TimesSent = 0;
}

std::vector<MemberView> FailureDetector::nextUpdates() {
  const int limit =
      UpdateSpread * static_cast<int>(std::ceil(logOf(aliveCount())));
  std::vector<Entry *> unsent;
  for (auto &[name, entry] : Members)
    if (entry.TimesSent < limit)
      unsent.push_back(&entry);
  absl::c_sort(unsent, [](const Entry *one, const Entry *two) {
    return one->TimesSent < two->TimesSent;
  });
  std::vector<MemberView> result;
  for (Entry *it : unsent) {
    if (result.size() >= Settings.UpdatesPerMessage)
      break;
    ++it->TimesSent;
    result.push_back(it->View);
  }
  return result;
}

void FailureDetector::refute(const MemberView &update) {
  const bool mustRefute = update.Status != MemberStatus::Alive &&
                          update.Info.Incarnation == Self.Incarnation &&
                          update.Info.StateVersion >= Self.StateVersion;
  if (mustRefute)
    Self.StateVersion = update.Info.StateVersion + 1;
}

void FailureDetector::applyUpdate(const MemberView &update, absl::Time now) {
  if (update.Info.Name == Self.Name) {
    refute(update);
    return;
  }
  const auto found = Members.find(update.Info.Name);
  if (found == Members.end()) {
    Members[update.Info.Name] = Entry{update, now};
    return;
  }
  Entry &entry = found->second;
  if (isNewer(entry.View.Info, update.Info))
    return;
  if (isNewer(update.Info, entry.View.Info)) {
    const bool isSame = entry.View.Status == update.Status;
    entry.View = update;
    entry.TimesSent = 0;
    entry.StatusSince = isSame ? entry.StatusSince : now;
    return;
  }
  // At the same state version the more severe status wins.
  if (update.Status > entry.View.Status)
    setStatus(entry, update.Status, now);
}

void FailureDetector::recordSender(const Member &sender, absl::Time now) {
  applyUpdate({sender, MemberStatus::Alive}, now);
  const auto it = Members.find(sender.Name);
  if (it != Members.end())
    it->second.HasContact = true;
}

std::vector<OutgoingMessage>
FailureDetector::receive(const PeerMessage &message, absl::Time now) {
  recordSender(message.From, now);
  for (const MemberView &it : message.Updates)
    applyUpdate(it, now);
  if (const auto *ping = std::get_if<Ping>(&message.Body))
    return handle(message, *ping);
  if (const auto *ack = std::get_if<Ack>(&message.Body))
    return handle(message, *ack, now);
  if (const auto *request = std::get_if<IndirectPing>(&message.Body))
    return handle(message, *request);
  return {};
}

std::vector<OutgoingMessage>
FailureDetector::handle(const PeerMessage &received, const Ping &ping) {
  PeerMessage reply = message(Ack{ping.Sequence, Self.Name});
  if (ping.WantAll)
    reply.Updates = members();
  // A sender that is considered suspect or dead must learn of it, or it could
  // never refute that.
  const auto it = Members.find(received.From.Name);
  if (it != Members.end() && it->second.View.Status != MemberStatus::Alive)
    reply.Updates.push_back(it->second.View);
  return {{received.From.PeerAddress, std::move(reply)}};
}

std::vector<OutgoingMessage>
FailureDetector::handle(const PeerMessage &, const Ack &ack, absl::Time now) {
  std::vector<OutgoingMessage> result;
  for (auto it = Relays.begin(); it != Relays.end(); ++it) {
    if (it->Sequence != ack.Sequence)
      continue;
    result.push_back({it->RequesterAddress,
                      message(Ack{it->RequesterSequence, ack.Member})});
    Relays.erase(it);
    break;
  }
  if (!PendingProbe.has_value() || PendingProbe->Sequence != ack.Sequence)
    return result;
  const auto target = Members.find(PendingProbe->Target);
  if (target != Members.end() &&
      target->second.View.Status == MemberStatus::Suspect)
    setStatus(target->second, MemberStatus::Alive, now);
  PendingProbe.reset();
  return result;
}

std::vector<OutgoingMessage>
FailureDetector::handle(const PeerMessage &received,
                        const IndirectPing &request) {
  if (Relays.size() >= MaxRelays)
    Relays.erase(Relays.begin());
  const Relay relay{NextSequence++, request.Sequence,
                    received.From.PeerAddress};
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
  return it->second.StatusSince;
}

std::vector<Member> FailureDetector::randomAlive(size_t n) {
  std::vector<Member> alive;
  for (const auto &[name, entry] : Members)
    if (isAlive(entry))
      alive.push_back(entry.View.Info);
  absl::c_shuffle(alive, Random);
  if (alive.size() > n)
    alive.resize(n);
  return alive;
}

bool FailureDetector::isZoneLeader() const {
  return absl::c_none_of(Members, [this](const auto &it) {
    const Member &member = it.second.View.Info;
    return it.second.View.Status == MemberStatus::Alive &&
           member.Zone == Self.Zone && member.Name < Self.Name;
  });
}

} // namespace orioletally::core::membership

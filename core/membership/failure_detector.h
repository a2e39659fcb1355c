#ifndef ORIOLETALLY_CORE_MEMBERSHIP_FAILURE_DETECTOR_H
#define ORIOLETALLY_CORE_MEMBERSHIP_FAILURE_DETECTOR_H

#include "core/membership/acceptance.h"
#include "core/membership/member.h"
#include "core/membership/peer_message.h"

#include <absl/time/time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::membership {

/// Parameters of a FailureDetector.
struct DetectorSettings {
  /// Time between two probes by one node.
  absl::Duration Period = absl::Milliseconds(500);
  /// Wait for a direct answer before others are asked to probe.
  absl::Duration DirectWait = absl::Milliseconds(200);
  /// Nodes that are asked to probe on this one's behalf.
  int IndirectProbes = 3;
  /// Periods that a suspect has to refute, times log2 of the member count.
  double SuspicionPeriods = 4;
  /// News passed on with each message.
  size_t UpdatesPerMessage = 8;
  /// A gap between two ticks that shows this node to have been frozen.
  absl::Duration FreezeGap = absl::Seconds(2);
  /// Periods that a node waits for its seeds before it believes to be alone.
  int SeedWaitPeriods = 3;
  /// Time after which the others know this node from the platform's list, if
  /// not from itself.
  absl::Duration JoinTimeout = MaxVmListLag;
  /// How long a dead member is remembered, so that old news can't revive it.
  absl::Duration DeadRetention = absl::Minutes(10);
  uint64_t Seed = 1;
};

/// What one tick found besides messages to send.
struct TickResult {
  std::vector<OutgoingMessage> Outgoing;
  /// The node was frozen: whatever it knew may be out of date.
  bool WasFrozen = false;
  std::vector<std::string> NewlyDead;
};

/// Membership of the entry nodes by random probing, in the manner of SWIM
/// (Das, Gupta and Motivala, 2002): each period a node probes one other, asks
/// a few more to probe it when it doesn't answer, suspects it, and declares it
/// dead when it doesn't refute that. The messages of one node don't grow with
/// the number of nodes. Holds no socket and no clock.
class FailureDetector {
public:
  FailureDetector(Member selfInfo, const DetectorSettings &settings);

  /// Adds a node that is known only by its address.
  void addSeed(const std::string &address);

  /// Does what is due at \p now. Call several times a period.
  TickResult tick(absl::Time now);

  /// Takes a message; returns those to send in answer.
  std::vector<OutgoingMessage> receive(const PeerMessage &message,
                                       absl::Time now);

  /// Changes what this node says of itself and makes it news.
  template <typename Function> void updateSelf(Function change) {
    Member next = Self;
    change(next);
    if (next == Self)
      return;
    Self = next;
    ++Self.StateVersion;
  }

  const Member &self() const { return Self; }

  /// Every other member known, dead ones too, in the order of their names.
  std::vector<MemberView> members() const;

  /// Calls \p visit with each of them, without a copy.
  template <typename Function> void visitMembers(Function visit) const {
    for (const auto &[name, entry] : Members)
      visit(entry.View);
  }

  /// StatusSince when a member has had its status.
  std::optional<absl::Time> statusSince(std::string_view name) const;

  /// Whether this node has once heard from every member that isn't suspected
  /// itself, so that all of them know it. Before that another node may accept a
  /// change of the profiles without this one.
  bool hasJoined() const { return HasJoined; }

  /// Chooses up to \p n live members at random.
  std::vector<Member> randomAlive(size_t n);

  /// Whether this node is first by name of the live ones in its zone.
  bool isZoneLeader() const;

  /// Wraps \p body as a message of this node.
  PeerMessage message(PeerBody body);

private:
  struct Entry {
    MemberView View;
    absl::Time StatusSince;
    /// Whether a message of its own has come, not only news of it.
    bool HasContact = false;
    /// How often its news was passed on.
    int TimesSent = 0;
  };
  struct Probe {
    uint64_t Sequence = 0;
    std::string Target;
    absl::Time SentAt;
    bool IndirectSent = false;
  };
  struct Relay {
    uint64_t Sequence = 0;
    uint64_t RequesterSequence = 0;
    std::string RequesterAddress;
  };

  void applyUpdate(const MemberView &update, absl::Time now);
  void recordSender(const Member &sender, absl::Time now);
  void refute(const MemberView &update);
  void setStatus(Entry &entry, MemberStatus status, absl::Time now);
  void probeNext(absl::Time now, TickResult &findings);
  void probeSeed(absl::Time now, TickResult &findings);
  void pingUncontacted(TickResult &findings);
  void checkJoined(absl::Time now);
  void checkProbe(absl::Time now, TickResult &findings);
  void checkSuspects(absl::Time now, TickResult &findings);
  void expireDead(absl::Time now);
  std::vector<MemberView> nextUpdates();
  bool isAlive(const Entry &entry) const;
  size_t aliveCount() const;
  absl::Duration suspicionTime() const;
  std::optional<std::string> nextTarget();

  std::vector<OutgoingMessage> handle(const PeerMessage &from,
                                      const Ping &ping);
  std::vector<OutgoingMessage> handle(const PeerMessage &from, const Ack &ack,
                                      absl::Time now);
  std::vector<OutgoingMessage> handle(const PeerMessage &from,
                                      const IndirectPing &request);

  DetectorSettings Settings;
  Member Self;
  std::mt19937_64 Random;
  std::map<std::string, Entry, std::less<>> Members;
  std::vector<std::string> Seeds;
  std::vector<std::string> ProbeOrder;
  std::optional<Probe> PendingProbe;
  std::vector<Relay> Relays;
  uint64_t NextSequence = 1;
  absl::Time NextProbe = absl::InfinitePast();
  absl::Time LastTick = absl::InfinitePast();
  absl::Time NextSeed = absl::InfinitePast();
  absl::Time FirstTick = absl::InfiniteFuture();
  bool HasJoined = false;
};

} // namespace orioletally::core::membership

#endif

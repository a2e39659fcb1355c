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
  /// Time between two probes sent by a node.
  absl::Duration Period = absl::Milliseconds(500);
  /// Time to wait for a direct answer before other nodes are asked to probe.
  absl::Duration DirectWait = absl::Milliseconds(200);
  /// Number of nodes that are asked to probe on this node's behalf.
  int IndirectProbes = 3;
  /// Periods after which a suspect is declared dead, per log2 of the number of
  /// members.
  double SuspicionPeriods = 4;
  /// Maximum number of member updates piggybacked on a message.
  size_t UpdatesPerMessage = 8;
  /// Time between two ticks above which this node must have been frozen.
  absl::Duration FreezeGap = absl::Seconds(2);
  /// Periods that a node waits for its seeds before it assumes that it is the
  /// only node.
  int SeedWaitPeriods = 3;
  /// Time after which the node counts as joined in any case, since the others
  /// know it at least from the platform's VM list.
  absl::Duration JoinTimeout = MaxVmListLag;
  /// How long a dead member is kept, so that a stale update can't bring it
  /// back.
  absl::Duration DeadRetention = absl::Minutes(10);
  uint64_t Seed = 1;
};

/// The result of a tick.
struct TickResult {
  std::vector<OutgoingMessage> Outgoing;
  /// This node was frozen, so that everything it knows may be out of date.
  bool WasFrozen = false;
  std::vector<std::string> NewlyDead;
};

/// Membership and failure detection of the entry nodes by random probing, as in
/// SWIM (Das, Gupta and Motivala, 2002): in each period a node probes one other
/// node. If that doesn't answer, it asks a few others to probe it, then
/// suspects it, and declares it dead if it doesn't refute the suspicion. The
/// number of messages that a node sends doesn't grow with the number of nodes.
/// Uses no socket and no clock.
class FailureDetector {
public:
  FailureDetector(Member selfInfo, const DetectorSettings &settings);

  /// Adds a node that is known only by its address.
  void addSeed(const std::string &address);

  /// Does what is due at \p now. Must be called several times per period.
  TickResult tick(absl::Time now);

  /// Handles a received message; returns the messages to send in reply.
  std::vector<OutgoingMessage> receive(const PeerMessage &message,
                                       absl::Time now);

  /// Changes what this node publishes about itself. Calls \p change with a copy
  /// of the current fields.
  template <typename Function> void updateSelf(Function change) {
    Member next = Self;
    change(next);
    if (next == Self)
      return;
    Self = next;
    ++Self.StateVersion;
  }

  const Member &self() const { return Self; }

  /// Returns all other known members, including dead ones, sorted by name.
  std::vector<MemberView> members() const;

  /// Calls \p visit with each of members(), without copying them.
  template <typename Function> void visitMembers(Function visit) const {
    for (const auto &[name, entry] : Members)
      visit(entry.View);
  }

  /// Returns since when a member has had its status; empty when it is unknown.
  std::optional<absl::Time> statusSince(std::string_view name) const;

  /// Whether this node has received a message from every alive member, so that
  /// all of them know it, or JoinTimeout has passed. Until then another node
  /// may accept a change of the profiles without this one's confirmation.
  bool hasJoined() const { return HasJoined; }

  /// Returns up to \p n random members that are alive or suspect.
  std::vector<Member> randomAlive(size_t n);

  /// Whether this node is the first by name of the alive nodes in its zone.
  bool isZoneLeader() const;

  /// Returns a message from this node with \p body and pending updates.
  PeerMessage message(PeerBody body);

private:
  struct Entry {
    MemberView View;
    absl::Time StatusSince;
    /// Whether it has sent this node a message itself.
    bool HasContact = false;
    /// How often its update has been sent.
    int TimesSent = 0;
  };
  struct Probe {
    uint64_t Sequence = 0;
    std::string Target;
    absl::Time SentAt;
    bool IndirectSent = false;
  };
  /// A ping that this node sent on behalf of another, the requester, to which
  /// it forwards the Ack.
  struct Relay {
    uint64_t Sequence = 0;
    uint64_t RequesterSequence = 0;
    std::string RequesterAddress;
  };

  void applyUpdate(const MemberView &update, absl::Time now);
  void recordSender(const Member &sender, absl::Time now);
  void refute(const MemberView &update);
  void setStatus(Entry &entry, MemberStatus status, absl::Time now);
  void probeNext(absl::Time now, TickResult &result);
  void probeSeed(absl::Time now, TickResult &result);
  void pingUncontacted(TickResult &result);
  void checkJoined(absl::Time now);
  void checkProbe(absl::Time now, TickResult &result);
  void checkSuspects(absl::Time now, TickResult &result);
  void expireDead(absl::Time now);
  std::vector<MemberView> nextUpdates();
  bool isAlive(const Entry &entry) const;
  size_t aliveCount() const;
  absl::Duration suspicionTime() const;
  std::optional<std::string> nextTarget();

  std::vector<OutgoingMessage> handle(const PeerMessage &received,
                                      const Ping &ping);
  std::vector<OutgoingMessage> handle(const PeerMessage &received,
                                      const Ack &ack, absl::Time now);
  std::vector<OutgoingMessage> handle(const PeerMessage &received,
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

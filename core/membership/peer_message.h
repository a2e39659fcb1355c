#ifndef ORIOLETALLY_CORE_MEMBERSHIP_PEER_MESSAGE_H
#define ORIOLETALLY_CORE_MEMBERSHIP_PEER_MESSAGE_H

#include "core/backends/frame.h"
#include "core/membership/member.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace orioletally::core::membership {

/// Asks for an Ack with the same sequence number.
struct Ping {
  uint64_t Sequence = 0;
  /// Asks for all members in the reply; set by a node that joins.
  bool WantAll = false;
};

/// Answers a Ping, directly or through a third node.
struct Ack {
  uint64_t Sequence = 0;
  /// The node that was pinged; another one may forward its Ack.
  std::string Member;
};

/// Asks the receiver to ping a third node, which didn't answer the sender.
struct IndirectPing {
  uint64_t Sequence = 0;
  std::string TargetName;
  std::string TargetAddress;
};

/// Asks for the profiles that are newer than revision `After`.
struct ProfileRequest {
  uint64_t After = 0;
};

/// Profiles in their stored form. A receiver that has everything up to `After`
/// has everything up to `CompleteTo` once it has applied them.
struct ProfileRecords {
  uint64_t After = 0;
  uint64_t CompleteTo = 0;
  std::vector<std::string> Profiles;
  /// Address at which the node that committed the change expects confirmations;
  /// empty when none are expected.
  std::string ConfirmTo;
};

/// Confirms that the sender uses a revision of the profiles.
struct ProfileConfirm {
  uint64_t Revision = 0;
};

/// Backend servers that are leaving, as far as the sender knows.
struct LeavingBackends {
  std::vector<std::string> Ids;
};

/// The load of one engine, as it reported it to the node that watches it.
struct EngineLoad {
  std::string Id;
  backends::LoadReport Load;
};

/// Load reports, forwarded within an availability zone.
struct EngineLoads {
  std::vector<EngineLoad> Loads;
};

/// A submitted request that the engine's latest load report doesn't include. It
/// is sent for every request and therefore without the sender's Member fields.
struct Dispatch {
  std::string Id;
  int64_t PrefillTokens = 0;
  int64_t Priority = 0;
};

using PeerBody =
    std::variant<Ping, Ack, IndirectPing, ProfileRequest, ProfileRecords,
                 ProfileConfirm, LeavingBackends, EngineLoads, Dispatch>;

/// One message between two entry nodes.
struct PeerMessage {
  Member From;
  /// Updates about other members, piggybacked on every kind of message.
  std::vector<MemberView> Updates;
  PeerBody Body;
};

/// A message and the address to send it to.
struct OutgoingMessage {
  std::string Address;
  PeerMessage Message;
};

} // namespace orioletally::core::membership

#endif

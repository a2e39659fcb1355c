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
  /// Asks for every member in return; set by a node that joins.
  bool WantAll = false;
};

/// Answers a Ping, be it sent directly or through a third node.
struct Ack {
  uint64_t Sequence = 0;
  /// The node that answered, which may not be the one that sends this.
  std::string Member;
};

/// Asks the receiver to ping a third node that didn't answer the sender.
struct IndirectPing {
  uint64_t Sequence = 0;
  std::string TargetName;
  std::string TargetAddress;
};

/// Asks for the profiles that are newer than a revision.
struct ProfileRequest {
  uint64_t After = 0;
};

/// Profiles in their stored form, complete up to a revision when the receiver
/// has everything up to `After`.
struct ProfileRecords {
  uint64_t After = 0;
  uint64_t CompleteTo = 0;
  std::vector<std::string> Profiles;
  /// Where the node that committed the change waits for confirmations; empty
  /// when nobody does.
  std::string ConfirmTo;
};

/// States that the sender has a revision in force.
struct ProfileConfirm {
  uint64_t Revision = 0;
};

/// Backend servers that the sender knows to be leaving.
struct LeavingBackends {
  std::vector<std::string> Ids;
};

/// The load of one engine, as its watcher was told it.
struct EngineLoad {
  std::string Id;
  backends::LoadReport Load;
};

/// Load reports, passed on inside an availability zone.
struct EngineLoads {
  std::vector<EngineLoad> Loads;
};

/// A submit that the next load report can't count yet. It is sent for every
/// request, so it travels without the sender's statement of itself.
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
  /// News of other members, passed on with whatever is sent.
  std::vector<MemberView> Updates;
  PeerBody Body;
};

/// A message with the address that it goes to.
struct OutgoingMessage {
  std::string Address;
  PeerMessage Message;
};

} // namespace orioletally::core::membership

#endif

#ifndef ORIOLETALLY_DRIVERS_GATEWAY_PROFILE_CHANGES_H
#define ORIOLETALLY_DRIVERS_GATEWAY_PROFILE_CHANGES_H

#include "core/errors/request_error.h"
#include "core/membership/acceptance.h"
#include "core/profiles/profile_store.h"
#include "drivers/gateway/profile_sync.h"
#include "drivers/peer/peer_service.h"

#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace orioletally::drivers::gateway {

/// A committed change. It is accepted once every node has confirmed it, that
/// is, when `WaitingFor` is empty.
struct ChangeApplied {
  core::profiles::Profile After;
  /// An earlier request with the same change id had committed it already.
  bool Repeated = false;
  /// Nodes that have yet to confirm the change.
  std::vector<std::string> WaitingFor;
};

/// A change that was not applied, or whose outcome is unknown.
struct ChangeRefused {
  core::errors::RequestError Error;
  /// The change that this one conflicts with, if that is the reason.
  std::optional<core::profiles::AuditRecord> ConflictingRecord;
};

using ChangeReply = std::variant<ChangeApplied, ChangeRefused>;

/// Commits changes to profiles, and waits until every node that may be serving
/// has confirmed them.
class ProfileChanges {
public:
  ProfileChanges(core::platform::TableService &table, ProfileSync &sync,
                 peer::PeerService &peers);

  /// Commits \p change and waits for confirmations for at most \p timeout.
  ChangeReply apply(const core::profiles::ProfileChange &change,
                    absl::Duration timeout);

  /// Returns the nodes that have yet to confirm \p revision.
  std::vector<std::string> waitingFor(uint64_t revision) const;

  /// Sets the names of the entry nodes on the platform's VM list.
  void setListedEntryNodes(std::vector<std::string> names);

  core::profiles::ProfileStore &store() { return Store; }

private:
  /// Returns a refusal if a peer that may be serving can't read the change.
  std::optional<ChangeRefused>
  checkPeerVersions(const core::profiles::ProfileChange &change) const;
  ChangeReply
  waitForConfirmations(const core::profiles::ChangeCommitted &outcome,
                       absl::Duration timeout);
  static ChangeReply
  conflictReply(const core::profiles::ChangeConflict &outcome);

  core::profiles::ProfileStore Store;
  ProfileSync &Sync;
  peer::PeerService &Peers;
  mutable std::mutex Guard;
  core::membership::ListedEntryNodes ListedNodes;
};

} // namespace orioletally::drivers::gateway

#endif

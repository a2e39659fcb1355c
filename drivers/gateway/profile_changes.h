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

/// A change that took effect. It is accepted once nobody is waited for.
struct ChangeInForce {
  core::profiles::Profile After;
  bool Repeated = false;
  std::vector<std::string> WaitingFor;
};

/// A change that lost to another one.
struct ChangeRefused {
  core::errors::RequestError Error;
  std::optional<core::profiles::AuditRecord> Against;
};

using ChangeReply = std::variant<ChangeInForce, ChangeRefused>;

/// Commits changes of profiles and waits until every node that may be serving
/// has confirmed them.
class ProfileChanges {
public:
  ProfileChanges(core::platform::TableService &table, ProfileSync &sync,
                 peer::PeerService &peers);

  /// Carries out \p change and waits for confirmations for at most \p bound.
  ChangeReply apply(const core::profiles::ProfileChange &change,
                    absl::Duration bound);

  /// The nodes that have yet to confirm \p revision.
  std::vector<std::string> waitingFor(uint64_t revision) const;

  /// Takes the names of the entry VMs on the platform's list.
  void setListedEntries(std::vector<std::string> names);

  core::profiles::ProfileStore &store() { return Store; }

private:
  std::optional<ChangeRefused>
  refusedByPeers(const core::profiles::ProfileChange &change) const;
  ChangeReply committed(const core::profiles::ChangeCommitted &outcome,
                        absl::Duration bound);
  static ChangeReply lost(const core::profiles::ChangeConflict &outcome);

  core::profiles::ProfileStore Store;
  ProfileSync &Sync;
  peer::PeerService &Peers;
  mutable std::mutex Guard;
  core::membership::ListedEntries Listed;
};

} // namespace orioletally::drivers::gateway

#endif

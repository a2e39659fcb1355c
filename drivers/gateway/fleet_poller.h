#ifndef ORIOLETALLY_DRIVERS_GATEWAY_FLEET_POLLER_H
#define ORIOLETALLY_DRIVERS_GATEWAY_FLEET_POLLER_H

#include "core/platform/table_service.h"
#include "core/platform/vm_list.h"
#include "drivers/gateway/periodic_thread.h"
#include "drivers/gateway/profile_changes.h"
#include "drivers/gateway/profile_sync.h"
#include "drivers/gateway/shared_router.h"
#include "drivers/gateway/view_freshness.h"
#include "drivers/peer/peer_service.h"

#include <atomic>
#include <random>
#include <string>
#include <vector>

namespace orioletally::drivers::gateway {

/// Parameters of a FleetPoller.
struct PollerSettings {
  absl::Duration VmListPollInterval;
  /// Time between two reads of the head by the poller of a zone.
  absl::Duration ProfilePollInterval;
  /// The same by the other nodes of the zone.
  absl::Duration ProfileBackstopInterval;
  /// Time between two renewals of this node's registration.
  absl::Duration RegistrationInterval = absl::Seconds(30);
};

/// Keeps the node's view of the fleet up to date from the platform: the VM
/// list, the profiles and the other nodes' registrations. When the process was
/// frozen it refreshes all of it before the view counts as fresh again.
class FleetPoller {
public:
  FleetPoller(const PollerSettings &settings, core::platform::VmList &list,
              core::platform::TableService &table, ProfileSync &profiles,
              ProfileChanges &changes, SharedRouter &router,
              peer::PeerService &peers, ViewFreshness &freshness);
  ~FleetPoller();
  FleetPoller(const FleetPoller &) = delete;
  FleetPoller &operator=(const FleetPoller &) = delete;

  void start();
  void stop();

  /// Whether the VM list was ever read.
  bool hasVmList() const { return HasVmList; }

private:
  /// Notices freezes and keeps the view fresh. It calls nobody, so that a slow
  /// platform doesn't pass for a freeze.
  void checkForFreeze(absl::Time now);
  void pollWhatIsDue(absl::Time now);
  bool pollVmList(absl::Time now);
  bool pollProfiles(absl::Time now);
  void pollRegistrations(absl::Time now);
  /// Returns whether the table or a peer confirmed what this node knows.
  bool refreshAfterFreeze();
  void spreadNewLeaving();
  /// The next time after \p pause, spread so that nodes don't poll together,
  /// and longer after failures.
  absl::Time nextPollTime(absl::Time now, absl::Duration interval,
                          int failures);

  PollerSettings Settings;
  core::platform::VmList &List;
  core::platform::TableService &Table;
  ProfileSync &Profiles;
  ProfileChanges &Changes;
  SharedRouter &Router;
  peer::PeerService &Peers;
  ViewFreshness &Freshness;
  std::mt19937_64 Random;

  absl::Time NextVmListPoll = absl::InfinitePast();
  absl::Time NextProfilePoll = absl::InfinitePast();
  absl::Time NextRegistration = absl::InfinitePast();
  absl::Time TableDownSince = absl::InfiniteFuture();
  /// The process was frozen and its view isn't confirmed yet.
  std::atomic<bool> IsStale = false;
  int VmListFailures = 0;
  int ProfileFailures = 0;
  int RegistrationFailures = 0;
  std::vector<std::string> AnnouncedLeaving;
  std::atomic<bool> HasVmList = false;

  absl::Time LastFreezeCheck;
  PeriodicThread FreezeCheckThread;
  PeriodicThread PollThread;
};

} // namespace orioletally::drivers::gateway

#endif

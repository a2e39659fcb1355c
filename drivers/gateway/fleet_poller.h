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

struct PollerSettings {
  absl::Duration VmListPollInterval;
  /// Time between two reads of the head revision by the leader of a zone.
  absl::Duration ProfilePollInterval;
  /// The same for the other nodes of the zone, which usually learn of new
  /// profiles from peers first.
  absl::Duration ProfileBackstopInterval;
  /// Time between two renewals of this node's registration.
  absl::Duration RegistrationInterval = absl::Seconds(30);
};

/// Polls the platform to keep this node's view of the fleet up to date: the VM
/// list, the profiles and the registrations of other nodes. After the process
/// was frozen, the view counts as stale until it has been refreshed.
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

  /// Whether the VM list has been read at least once.
  bool hasVmList() const { return HasVmList; }

private:
  /// Detects freezes of the process and otherwise confirms the view as fresh.
  /// Makes no remote calls, so that a slow platform isn't mistaken for a
  /// freeze.
  void checkForFreeze(absl::Time now);
  void runDuePolls(absl::Time now);
  bool pollVmList(absl::Time now);
  bool pollProfiles(absl::Time now);
  void pollRegistrations(absl::Time now);
  /// Returns whether the view may count as fresh: the table or a peer has
  /// confirmed it, or this node has no peers.
  bool refreshAfterFreeze();
  void gossipNewLeaving();
  /// Returns the time of the next poll: after \p interval, doubled per failure
  /// up to a limit, with jitter so that nodes don't poll at the same time.
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
  /// Set from the detection of a freeze until the view is refreshed.
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

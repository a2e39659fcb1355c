#include "drivers/gateway/fleet_poller.h"

#include "drivers/clock/clock.h"
#include "drivers/log/log.h"

#include <absl/algorithm/container.h>
#include <absl/random/random.h>
#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace leaf = boost::leaf;

namespace orioletally::drivers::gateway {

namespace {

using core::membership::Member;
using core::platform::TableRow;
using core::platform::TableTransaction;
using core::platform::Vm;
using core::platform::VmRole;
using core::routing::BackendRegistry;
using nlohmann::json;

/// Pause of both threads after each run.
constexpr absl::Duration PollPause = absl::Milliseconds(200);
/// A longer gap between two freeze checks means that the process was frozen.
constexpr absl::Duration FreezeGap = absl::Seconds(1);
/// A refresh after a freeze waits for the reply of a peer until this long after
/// its start.
constexpr absl::Duration RefreshTimeout = absl::Seconds(2);
constexpr absl::Duration PeerReplyCheckPause = absl::Milliseconds(50);
/// How long the table must be unavailable before a starting node asks its peers
/// for the profiles.
constexpr absl::Duration PeerFallbackDelay = absl::Seconds(1);
constexpr int MaxBackoffDoublings = 4;
constexpr int MaxRegistrations = 500;
constexpr std::string_view NodePrefix = "nodes/";

} // namespace

FleetPoller::FleetPoller(const PollerSettings &settings,
                         core::platform::VmList &list,
                         core::platform::TableService &table,
                         ProfileSync &profiles, ProfileChanges &changes,
                         SharedRouter &router, peer::PeerService &peers,
                         ViewFreshness &freshness)
    : Settings(settings), List(list), Table(table), Profiles(profiles),
      Changes(changes), Router(router), Peers(peers), Freshness(freshness),
      Random(std::random_device{}()) {}

FleetPoller::~FleetPoller() { stop(); }

void FleetPoller::start() {
  LastFreezeCheck = clock::steadyNow();
  Freshness.confirm(LastFreezeCheck);
  FreezeCheckThread.start(PollPause,
                          [this] { checkForFreeze(clock::steadyNow()); });
  PollThread.start(PollPause, [this] {
    if (IsStale)
      IsStale = !refreshAfterFreeze();
    runDuePolls(clock::steadyNow());
  });
}

void FleetPoller::stop() {
  PollThread.stop();
  FreezeCheckThread.stop();
}

void FleetPoller::checkForFreeze(absl::Time now) {
  const bool wasFrozen = now - LastFreezeCheck > FreezeGap;
  LastFreezeCheck = now;
  if (wasFrozen) {
    IsStale = true;
    PollThread.wake();
  }
  if (!IsStale)
    Freshness.confirm(now);
}

void FleetPoller::runDuePolls(absl::Time now) {
  if (now >= NextVmListPoll) {
    VmListFailures = pollVmList(now) ? 0 : VmListFailures + 1;
    NextVmListPoll =
        nextPollTime(now, Settings.VmListPollInterval, VmListFailures);
  }
  if (now >= NextProfilePoll) {
    ProfileFailures = pollProfiles(now) ? 0 : ProfileFailures + 1;
    const absl::Duration interval = Peers.isZoneLeader()
                                        ? Settings.ProfilePollInterval
                                        : Settings.ProfileBackstopInterval;
    NextProfilePoll = nextPollTime(now, interval, ProfileFailures);
  }
  if (now >= NextRegistration)
    pollRegistrations(now);
  gossipNewLeaving();
}

absl::Time FleetPoller::nextPollTime(absl::Time now, absl::Duration interval,
                                     int failures) {
  const int doublings = std::min(failures, MaxBackoffDoublings);
  const absl::Duration backoff = interval * (1 << doublings);
  // A random factor from 0.75 to 1.25 avoids a thundering herd at the end of an
  // outage.
  const double jitter =
      std::uniform_real_distribution<double>(0.75, 1.25)(Random);
  return now + backoff * jitter;
}

bool FleetPoller::pollVmList(absl::Time now) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(vms, List.fetch());
        Router.withRegistry(
            [&](BackendRegistry &registry) { registry.replaceList(vms, now); });
        std::vector<std::string> entryNodes;
        for (const Vm &it : vms)
          if (it.Role == VmRole::Entry)
            entryNodes.push_back(it.Id);
        Changes.setListedEntryNodes(std::move(entryNodes));
        HasVmList = true;
        return true;
      },
      [](const core::platform::VmListError &ec) {
        log::write(log::Level::Warn, "vm_list_unavailable",
                   {{"detail", ec.Detail}});
        return false;
      },
      [] { return false; });
}

bool FleetPoller::pollProfiles(absl::Time now) {
  if (Profiles.refreshFromTable()) {
    TableDownSince = absl::InfiniteFuture();
    return true;
  }
  TableDownSince = std::min(TableDownSince, now);
  if (now - TableDownSince >= PeerFallbackDelay)
    Profiles.loadFromPeers();
  return false;
}

void FleetPoller::pollRegistrations(absl::Time now) {
  const Member self = Peers.self();
  const json row = {{"name", self.Name},
                    {"zone", self.Zone},
                    {"peer_address", self.PeerAddress},
                    {"incarnation", self.Incarnation}};
  TableTransaction transaction;
  transaction.Writes = {
      {fmt::format("{}{}", NodePrefix, self.Name), row.dump()}};
  const bool isDone = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(Table.commit(transaction));
        BOOST_LEAF_AUTO(rows, Table.scan(NodePrefix, "", MaxRegistrations));
        for (const TableRow &it : rows) {
          const json other = json::parse(it.Value, nullptr, false);
          if (other.is_object() && other.value("name", "") != self.Name)
            Peers.addSeed(other.value("peer_address", std::string()));
        }
        return true;
      },
      [] { return false; });
  RegistrationFailures = isDone ? 0 : RegistrationFailures + 1;
  // A node that isn't registered yet should retry soon, so failures use the
  // usually shorter interval of the VM list poll.
  const absl::Duration interval =
      isDone ? Settings.RegistrationInterval : Settings.VmListPollInterval;
  NextRegistration = nextPollTime(now, interval, RegistrationFailures);
}

bool FleetPoller::refreshAfterFreeze() {
  log::write(log::Level::Warn, "was_frozen",
             {{"action", "refreshing the view before any new dispatch"}});
  const absl::Time deadline = clock::steadyNow() + RefreshTimeout;
  const uint64_t replyCountBefore = Profiles.peerReplyCount();
  const bool hasPeers = !Peers.members().empty();
  Peers.requestProfiles(Profiles.revision());
  const bool isTableRead = Profiles.refreshFromTable();
  pollVmList(clock::steadyNow());
  // Waits for a peer even when the table has answered: which backend servers
  // are leaving may be known only to peers.
  const auto hasPeerReply = [&] {
    return Profiles.peerReplyCount() > replyCountBefore;
  };
  while (hasPeers && !hasPeerReply() && clock::steadyNow() < deadline)
    std::this_thread::sleep_for(
        absl::ToChronoMilliseconds(PeerReplyCheckPause));
  const bool isConfirmed = isTableRead || hasPeerReply();
  log::write(log::Level::Info, "view_refreshed",
             {{"confirmed", isConfirmed}, {"revision", Profiles.revision()}});
  // A node without peers has no other source to confirm its view.
  return isConfirmed || !hasPeers;
}

void FleetPoller::gossipNewLeaving() {
  std::vector<std::string> leaving = Router.withRegistry(
      [](BackendRegistry &registry) { return registry.leaving(); });
  std::vector<std::string> newlyLeaving;
  for (const std::string &it : leaving)
    if (!absl::c_linear_search(AnnouncedLeaving, it))
      newlyLeaving.push_back(it);
  AnnouncedLeaving = std::move(leaving);
  Peers.gossipLeaving(newlyLeaving);
}

} // namespace orioletally::drivers::gateway

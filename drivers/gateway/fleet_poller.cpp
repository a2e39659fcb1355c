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

constexpr absl::Duration RoundPause = absl::Milliseconds(200);
/// A longer pause between two rounds shows that the process was frozen.
constexpr absl::Duration FreezeGap = absl::Seconds(1);
constexpr absl::Duration ReconfirmBound = absl::Seconds(2);
constexpr absl::Duration ReconfirmPause = absl::Milliseconds(50);
/// With the table down for this long, a starting node asks its peers.
constexpr absl::Duration PeerLoadAfter = absl::Seconds(1);
constexpr int MaxBackoffDoublings = 4;
constexpr int MaxRegistrations = 500;
constexpr std::string_view NodePrefix = "nodes/";

} // namespace

FleetPoller::FleetPoller(const PollerSettings &wanted,
                         core::platform::VmList &list,
                         core::platform::TableService &table,
                         ProfileSync &profiles, ProfileChanges &changes,
                         SharedRouter &target, peer::PeerService &service,
                         ViewFreshness &view)
    : Settings(wanted), List(list), Table(table), Profiles(profiles),
      Changes(changes), Router(target), Peers(service), Freshness(view),
      Random(std::random_device{}()) {}

FleetPoller::~FleetPoller() { stop(); }

void FleetPoller::start() {
  LastBeat = clock::steadyNow();
  Freshness.touch(LastBeat);
  Pulse.start(RoundPause, [this] { beat(clock::steadyNow()); });
  Polls.start(RoundPause, [this] {
    if (IsStale)
      IsStale = !refreshAfterFreeze();
    round(clock::steadyNow());
  });
}

void FleetPoller::stop() {
  Polls.stop();
  Pulse.stop();
}

void FleetPoller::beat(absl::Time now) {
  const bool wasFrozen = now - LastBeat > FreezeGap;
  LastBeat = now;
  if (wasFrozen) {
    IsStale = true;
    Polls.wake();
  }
  if (!IsStale)
    Freshness.touch(now);
}

void FleetPoller::round(absl::Time now) {
  if (now >= NextVmList) {
    VmListFailures = pollVmList(now) ? 0 : VmListFailures + 1;
    NextVmList = later(now, Settings.VmListPoll, VmListFailures);
  }
  if (now >= NextProfiles) {
    ProfileFailures = pollProfiles(now) ? 0 : ProfileFailures + 1;
    const absl::Duration pause =
        Peers.isZoneLeader() ? Settings.ProfilePoll : Settings.ProfileBackstop;
    NextProfiles = later(now, pause, ProfileFailures);
  }
  if (now >= NextRegistration)
    pollRegistrations(now);
  spreadNewLeaving();
}

absl::Time FleetPoller::later(absl::Time now, absl::Duration pause,
                              int failures) {
  const int doublings = std::min(failures, MaxBackoffDoublings);
  const absl::Duration grown = pause * (1 << doublings);
  // Between three and five quarters, so that an outage's end isn't a stampede.
  const double share =
      std::uniform_real_distribution<double>(0.75, 1.25)(Random);
  return now + grown * share;
}

bool FleetPoller::pollVmList(absl::Time now) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(vms, List.fetch());
        Router.withRegistry(
            [&](BackendRegistry &registry) { registry.replaceList(vms, now); });
        std::vector<std::string> entries;
        for (const Vm &it : vms)
          if (it.Role == VmRole::Entry)
            entries.push_back(it.Id);
        Changes.setListedEntries(std::move(entries));
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
  if (now - TableDownSince >= PeerLoadAfter)
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
  // A node that isn't registered yet tries again soon.
  const absl::Duration pause =
      isDone ? Settings.Registration : Settings.VmListPoll;
  NextRegistration = later(now, pause, RegistrationFailures);
}

bool FleetPoller::refreshAfterFreeze() {
  log::write(log::Level::Warn, "was_frozen",
             {{"action", "refreshing the view before any new dispatch"}});
  const absl::Time until = clock::steadyNow() + ReconfirmBound;
  const uint64_t answers = Profiles.peerAnswers();
  const bool hasPeers = !Peers.members().empty();
  Peers.requestProfiles(Profiles.revision());
  const bool isInTable = Profiles.refreshFromTable();
  pollVmList(clock::steadyNow());
  // The peer is waited for even when the table has answered: marks of leaving
  // backend servers may be known to peers alone.
  const auto hasAnswer = [&] { return Profiles.peerAnswers() > answers; };
  while (hasPeers && !hasAnswer() && clock::steadyNow() < until)
    std::this_thread::sleep_for(absl::ToChronoMilliseconds(ReconfirmPause));
  const bool isConfirmed = isInTable || hasAnswer();
  log::write(log::Level::Info, "view_refreshed",
             {{"confirmed", isConfirmed}, {"revision", Profiles.revision()}});
  // A node that never had peers has nobody else to ask.
  return isConfirmed || !hasPeers;
}

void FleetPoller::spreadNewLeaving() {
  std::vector<std::string> leaving = Router.withRegistry(
      [](BackendRegistry &registry) { return registry.leaving(); });
  std::vector<std::string> fresh;
  for (const std::string &it : leaving)
    if (!absl::c_linear_search(KnownLeaving, it))
      fresh.push_back(it);
  KnownLeaving = std::move(leaving);
  Peers.spreadLeaving(fresh);
}

} // namespace orioletally::drivers::gateway

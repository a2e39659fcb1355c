#include "drivers/relay/fleet_view.h"

#include "drivers/clock/clock.h"
#include "drivers/log/log.h"
#include "drivers/relay/request_limit_log.h"

#include <algorithm>
#include <utility>

namespace orioletally::drivers::relay {

using core::fleet::BackendChange;
using core::fleet::BackendEntry;
using core::fleet::ChangeSource;
using core::fleet::DirectoryChange;
using core::fleet::EvacuationChange;
using core::platform::FleetTopic;

namespace {
/// A snapshot with more changes than this isn't announced: after a restore of
/// the store they may be the whole list.
constexpr size_t MaxAnnouncedChanges = 100;
/// Bounds a log line.
constexpr size_t MaxLoggedBackends = 64;
} // namespace

void FleetView::configRead(
    std::shared_ptr<const core::routes::RoutingConfig> config) {
  const auto &known = Context.Dispatcher.config();
  if (known != nullptr && config->version() <= known->version())
    return;
  log::write(log::Level::Info, "config_in_force",
             {{"version", config->version()},
              {"before", known == nullptr ? 0 : known->version()},
              {"routes", config->routes().size()}});
  Context.Metrics.setConfigVersion(config->version());
  Context.Dispatcher.setConfig(std::move(config));
  openStartGateIfReady();
  if (OnConfigChanged)
    OnConfigChanged();
}

void FleetView::evacuationsRead(std::vector<EvacuationChange> evacuations,
                                uint64_t version) {
  const auto changes =
      Context.Dispatcher.directory().evacuations().applySnapshot(
          std::move(evacuations), version);
  recordEvacuations(changes, "snapshot");
  if (!changes.empty() && OnEvacuationsChanged)
    OnEvacuationsChanged();
}

void FleetView::evacuationsChanged(std::vector<EvacuationChange> changes) {
  const auto effective =
      Context.Dispatcher.directory().evacuations().apply(std::move(changes));
  recordEvacuations(effective, "store");
  if (!effective.empty() && OnEvacuationsChanged)
    OnEvacuationsChanged();
}

void FleetView::applyPeerEvacuations(
    const std::vector<EvacuationChange> &statement, uint64_t version) {
  recordEvacuations(Context.Dispatcher.directory().evacuations().applyStatement(
                        statement, version),
                    "peer");
}

void FleetView::recordEvacuations(const std::vector<EvacuationChange> &changes,
                                  std::string_view source) {
  const core::fleet::BackendDirectory &directory =
      Context.Dispatcher.directory();
  for (const EvacuationChange &it : changes) {
    std::vector<std::string> backends = directory.idsInZone(it.Zone);
    const size_t count = backends.size();
    backends.resize(std::min(count, MaxLoggedBackends));
    log::write(log::Level::Warn,
               it.Removed ? "zone_evacuation_lifted" : "zone_evacuated",
               {{"zone", it.Zone},
                {"row_version", it.RowVersion},
                {"source", source},
                {"count", count},
                {"backends", backends}});
  }
  Context.Metrics.setEvacuatedZones(
      static_cast<int64_t>(directory.evacuations().size()));
}

void FleetView::backendsRead(std::vector<BackendEntry> entries,
                             uint64_t version) {
  uint64_t newest = 0;
  std::vector<BackendEntry> changed;
  const uint64_t before = ListVersions.appliedVersion();
  for (const BackendEntry &it : entries) {
    newest = std::max(newest, it.RowVersion);
    if (before > 0 && it.RowVersion > before)
      changed.push_back(it);
  }
  const bool isApplied = ListVersions.acceptSnapshot(version, newest);
  log::write(log::Level::Info, "backends_read_whole",
             {{"listed", entries.size()},
              {"known", Context.Dispatcher.directory().size()},
              {"version", version},
              {"before", before},
              {"taken", isApplied}});
  if (!isApplied)
    return;
  const std::vector<std::string> missing =
      Context.Dispatcher.directory().replace(std::move(entries),
                                             clock::steadyNow());
  if (!missing.empty())
    announceSnapshot(before, version, std::move(changed), missing);
  Context.Metrics.setBackends(
      static_cast<int64_t>(Context.Dispatcher.directory().size()));
  openStartGateIfReady();
}

void FleetView::announceSnapshot(uint64_t since, uint64_t version,
                                 std::vector<BackendEntry> changed,
                                 const std::vector<std::string> &missing) {
  if (!OnBackendsChanged || !IsSnapshotAnnounced || !IsSnapshotAnnounced())
    return;
  // A node that gets no announcement is behind this version, and reads the
  // list.
  ListVersions.recordApplied(version);
  if (changed.size() + missing.size() > MaxAnnouncedChanges)
    return;
  std::sort(changed.begin(), changed.end(),
            [](const BackendEntry &left, const BackendEntry &right) {
              return left.RowVersion < right.RowVersion;
            });
  std::vector<BackendChange> changes;
  for (BackendEntry &it : changed) {
    changes.emplace_back();
    changes.back().Entry = std::move(it);
  }
  for (const std::string &id : missing) {
    changes.emplace_back();
    changes.back().Entry.Id = id;
    changes.back().Entry.RowVersion = version;
    changes.back().Removed = true;
    setTimesLeft(changes.back());
  }
  OnBackendsChanged(since, changes);
}

void FleetView::setTimesLeft(BackendChange &change) const {
  const auto kept = Context.Dispatcher.directory().find(change.Entry.Id);
  if (!change.Removed && kept != nullptr &&
      change.Entry.ColdRemaining.has_value())
    change.Entry.ColdRemaining =
        std::clamp(kept->Cold.phase().statedUntil() - clock::steadyNow(),
                   absl::ZeroDuration(), *change.Entry.ColdRemaining);
  if (change.Removed && kept != nullptr)
    change.ExpiresIn = kept->ExpiresAt - clock::steadyNow();
}

void FleetView::openStartGateIfReady() {
  if (Context.Dispatcher.isInitialized())
    Context.Gate.open();
}

void FleetView::backendsChanged(std::vector<BackendChange> changes) {
  const uint64_t since =
      ListVersions.advanceStore(changes.back().Entry.RowVersion);
  applyNewChanges(changes, ChangeSource::Store);
  if (OnBackendsChanged)
    OnBackendsChanged(since, changes);
}

void FleetView::applyPeerChanges(uint64_t since,
                                 std::vector<BackendChange> changes) {
  if (ListVersions.canApplyAfter(since))
    applyNewChanges(changes, ChangeSource::Node);
}

void FleetView::applyNewChanges(std::vector<BackendChange> &changes,
                                ChangeSource source) {
  const absl::Time now = clock::steadyNow();
  const core::fleet::BackendDirectory::Batch batch(
      Context.Dispatcher.directory());
  for (BackendChange &it : changes) {
    const bool isNew = ListVersions.isNew(it.Entry.RowVersion);
    if (isNew)
      ListVersions.recordApplied(it.Entry.RowVersion);
    // A removal is applied again: another node may report an earlier expiry.
    if (isNew || it.Removed)
      apply(it, source, now);
    setTimesLeft(it);
  }
}

void FleetView::apply(const BackendChange &change, ChangeSource source,
                      absl::Time now) {
  core::fleet::BackendDirectory &directory = Context.Dispatcher.directory();
  BackendEntry entry = change.Entry;
  const auto known = directory.find(entry.Id);
  if (change.Removed && known != nullptr)
    entry = known->Entry;
  const DirectoryChange made = directory.apply(change, source, now);
  if (made == DirectoryChange::Gone)
    Context.Channels.drop(entry.Address);
  logBackendChange(entry, made);
}

void FleetView::logBackendChange(const BackendEntry &entry,
                                 DirectoryChange change) {
  if (change == DirectoryChange::None)
    return;
  log::write(log::Level::Info, "backend_changed",
             {{"backend", entry.Id},
              {"service", entry.Service},
              {"address", entry.Address},
              {"row_version", entry.RowVersion},
              {"change", core::fleet::directoryChangeName(change)}});
  Context.Metrics.setBackends(
      static_cast<int64_t>(Context.Dispatcher.directory().size()));
}

void FleetView::nodesRead(const std::vector<core::platform::NodeEntry> &nodes) {
  storeCallAnswered(FleetTopic::Nodes, clock::steadyNow());
  if (OnNodesRead)
    OnNodesRead(nodes);
}

void FleetView::quarantineRead(
    const std::vector<core::relay::QuarantinedPart> &parts) {
  storeCallAnswered(FleetTopic::Quarantine, clock::steadyNow());
  Context.Guard.quarantineRead(parts);
}

bool FleetView::peerKeyRead(const std::string &key) {
  return !OnPeerKeyRead || OnPeerKeyRead(key);
}

void FleetView::nodeUnregistered(const core::platform::NodeEntry &node,
                                 bool isRemoved) {
  log::write(log::Level::Info, "node_forgotten",
             {{"name", node.Name},
              {"row_version", node.RowVersion},
              {"removed", isRemoved}});
}

void FleetView::storeCallFailed(FleetTopic topic, const std::string &reason) {
  Context.Metrics.storeCall(core::platform::fleetTopicName(topic), false);
  const absl::Time now = clock::steadyNow();
  // The store may stay down for long, so calls no longer wait at the gate.
  if (topic == FleetTopic::Config || topic == FleetTopic::Backends)
    Context.Gate.open();
  if (topic == FleetTopic::Backends)
    Context.Dispatcher.directory().setListUnavailable(now);
  TopicState &state = TopicStates[static_cast<size_t>(topic)];
  state.Calls.FailedAt = now;
  if (std::exchange(state.IsFailing, true))
    return;
  state.FailingSince = now;
  log::write(
      log::Level::Warn, "store_lost",
      {{"topic", core::platform::fleetTopicName(topic)}, {"reason", reason}});
}

void FleetView::storeCallAnswered(FleetTopic topic, absl::Time at) {
  Context.Metrics.storeCall(core::platform::fleetTopicName(topic), true);
  const absl::Time now = clock::steadyNow();
  if (topic == FleetTopic::Backends)
    Context.Dispatcher.directory().setListAvailable(now);
  TopicState &state = TopicStates[static_cast<size_t>(topic)];
  state.Calls.AnsweredAt = std::max(state.Calls.AnsweredAt, at);
  if (OnStoreAnswered)
    OnStoreAnswered(topic);
  if (!std::exchange(state.IsFailing, false))
    return;
  log::write(
      log::Level::Info, "store_back",
      {{"topic", core::platform::fleetTopicName(topic)},
       {"lost_for_ms", absl::ToInt64Milliseconds(now - state.FailingSince)}});
}

void FleetView::recordPeerAnswer(FleetTopic topic, absl::Time at,
                                 uint64_t newestBackendChange) {
  if (topic != FleetTopic::Backends)
    return;
  // The next changes from the store begin after what the peer had.
  ListVersions.advanceStore(newestBackendChange);
  if (at > storeCalls(topic).FailedAt)
    Context.Dispatcher.directory().setListAvailable(clock::steadyNow());
}

void FleetView::rowRejected(FleetTopic topic, const std::string &key,
                            const std::string &reason) {
  log::write(log::Level::Warn, "row_rejected",
             {{"topic", core::platform::fleetTopicName(topic)},
              {"key", key},
              {"reason", reason}});
}

void FleetView::applyPeerLeaving(const std::vector<std::string> &ids) {
  for (const std::string &id : ids)
    if (Context.Dispatcher.directory().markLeaving(id))
      log::write(log::Level::Info, "backend_leaving_by_peer",
                 {{"backend", id}});
}

void FleetView::applyPeerLimits(
    const std::vector<core::fleet::BackendLimit> &limits) {
  const absl::Time now = clock::steadyNow();
  for (const core::fleet::BackendLimit &it : limits)
    if (const auto server = Context.Dispatcher.directory().applyLimit(it, now))
      logRequestLimit(*server, "peer", now);
}

} // namespace orioletally::drivers::relay

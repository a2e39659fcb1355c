#include "drivers/relay/peer_link.h"

#include "core/fleet/home_nodes.h"
#include "core/relay/call_key.h"
#include "drivers/clock/clock.h"
#include "drivers/log/log.h"
#include "drivers/loop/loop_monitor.h"

#include <algorithm>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::relay {

namespace {

using core::fleet::BackendChange;
using core::fleet::CatchUpStep;
using core::platform::FleetTopic;
using core::platform::NodeEntry;
using core::relay::LoadUpdate;
using core::relay::LoadUpdateKind;

/// Until the other nodes know of a prompt, they may send theirs to the same
/// engine. This delay is about the one-way latency to another availability
/// zone.
constexpr absl::Duration SentFlushDelay = absl::Milliseconds(3);
/// An ended prompt only frees capacity, so its update can wait to be sent
/// together with others.
constexpr absl::Duration EndedFlushDelay = absl::Milliseconds(100);
/// Well below the time that nodes wait for objections to a quarantine. Reports
/// of one crash come from many nodes within this time and need one answer.
constexpr absl::Duration SoundFlushDelay = absl::Milliseconds(50);
/// An answer of the store is normally sent together with other updates; it
/// must reach the cell well before
/// core::fleet::StoreWatchPolicy::CurrentMaxAge.
constexpr absl::Duration StoreAnswerFlushDelay = absl::Milliseconds(30);
/// Longest time between two messages to the cell.
constexpr absl::Duration HeartbeatInterval = absl::Seconds(1);
/// Nothing is sent to a node that has sent nothing for this long.
constexpr absl::Duration SilentPeerTimeout = absl::Seconds(8);
/// Time in which changes of the backend servers reach the cell; a node that
/// still lacks some has missed a message.
constexpr absl::Duration ChangesDelay = absl::Milliseconds(300);
/// How long the store may take to deliver a configuration that another node
/// already has, before that node is asked for it.
constexpr absl::Duration AskPeerDelay = absl::Milliseconds(300);

peer::TransportSettings transportSettings(const std::string &address,
                                          const std::string &key) {
  peer::TransportSettings settings;
  settings.SecretKey = key;
  const size_t colon = address.rfind(':');
  settings.Address = address.substr(0, colon);
  settings.Port = colon == std::string::npos
                      ? 0
                      : std::atoi(address.substr(colon + 1).c_str());
  return settings;
}

core::fleet::CatchUpDelays configCatchUpDelays() {
  core::fleet::CatchUpDelays delays;
  delays.ReadDelay = absl::ZeroDuration();
  delays.AskPeerDelay = AskPeerDelay;
  return delays;
}

core::fleet::CatchUpDelays backendsCatchUpDelays() {
  core::fleet::CatchUpDelays delays;
  delays.ReadDelay = ChangesDelay;
  return delays;
}

core::fleet::CatchUpDelays evacuationsCatchUpDelays() {
  core::fleet::CatchUpDelays delays;
  // Each heartbeat states the evacuations, which normally spares the read.
  delays.ReadDelay = HeartbeatInterval + ChangesDelay;
  return delays;
}

} // namespace

PeerLink::PeerLink(asio::io_context &loop, NodeEntry self,
                   PeerLinkHandlers handlers)
    : Loop(loop), Self(std::move(self)), Handlers(std::move(handlers)),
      Roster(Self.Name), WatchPolicy(Self.Name),
      ConfigCatchUp(configCatchUpDelays()),
      BackendsCatchUp(backendsCatchUpDelays()),
      EvacuationsCatchUp(evacuationsCatchUpDelays()), FlushTimer(loop),
      HeartbeatTimer(loop) {}

leaf::result<void> PeerLink::start(const std::string &key) {
  auto transport = std::make_unique<peer::PeerTransport>(
      transportSettings(Self.PeerAddress, key), [this](std::string_view bytes) {
        asio::post(Loop, [this, copy = std::string(bytes)] { receive(copy); });
      });
  BOOST_LEAF_CHECK(transport->start());
  Transport = std::move(transport);
  asio::co_spawn(Loop, sendHeartbeats(), asio::detached);
  return {};
}

void PeerLink::stop() {
  Stopping = true;
  FlushTimer.cancel();
  HeartbeatTimer.cancel();
  if (Transport != nullptr)
    Transport->stop();
}

void PeerLink::send(const std::string &address, std::string bytes) {
  if (Transport != nullptr)
    Transport->send(address, std::move(bytes));
}

void PeerLink::announceLoadUpdate(const LoadUpdate &update) {
  PendingLoadUpdates.push_back(update);
  // A refused caller may return to another node after some milliseconds.
  const bool isUrgent = update.Kind == LoadUpdateKind::Sent ||
                        update.Kind == LoadUpdateKind::Refused;
  flushWithin(isUrgent ? SentFlushDelay : EndedFlushDelay);
}

void PeerLink::announceLeaving() {
  IsLeavingPending = true;
  flushWithin(SentFlushDelay);
}

void PeerLink::announceCrash(const core::relay::CrashReport &report) {
  PendingCrashes.push_back(report);
  flushWithin(SentFlushDelay);
  const auto key = std::find_if(report.Parts.begin(), report.Parts.end(),
                                core::relay::isCallKey);
  if (key == report.Parts.end())
    return;
  NodeUpdate update = makeNodeUpdate();
  update.Crashes = {{report.Backend, report.Prompt, {*key}}};
  sendToHomeNodes(*key, std::move(update));
}

void PeerLink::announceSoundParts(const std::vector<std::string> &parts) {
  PendingSoundParts.insert(parts.begin(), parts.end());
  flushWithin(SoundFlushDelay);
  for (const std::string &it : parts) {
    if (!core::relay::isCallKey(it))
      continue;
    NodeUpdate update = makeNodeUpdate();
    update.SoundParts = {it};
    sendToHomeNodes(it, std::move(update));
  }
}

void PeerLink::sendToHomeNodes(const std::string &key, NodeUpdate update) {
  if (OtherCellAddresses.empty())
    return;
  update.IsFleetWide = true;
  const std::string bytes = encodeNodeUpdate(update, clock::steadyNow());
  for (const std::string &it : core::fleet::homeNodes(key, FleetAddresses))
    if (std::find(OtherCellAddresses.begin(), OtherCellAddresses.end(), it) !=
        OtherCellAddresses.end())
      send(it, bytes);
}

void PeerLink::announceQuarantine() {
  IsQuarantinePending = true;
  flush();
  NodeUpdate update = makeNodeUpdate();
  update.Quarantined = Handlers.QuarantinedParts();
  sendToOtherCells(std::move(update));
}

void PeerLink::announceLimits() {
  AreLimitsPending = true;
  flushWithin(SentFlushDelay);
}

void PeerLink::announceSharedLimit(const core::fleet::BackendLimit &limit) {
  announceLimits();
  NodeUpdate update = makeNodeUpdate();
  update.Limits = {limit};
  sendToOtherCells(std::move(update));
}

void PeerLink::sendPlacement(const std::string &address,
                             core::relay::PlacementMessages messages) {
  NodeUpdate update = makeNodeUpdate();
  update.IsFleetWide = true;
  update.Placement = std::move(messages);
  send(address, encodeNodeUpdate(std::move(update), clock::steadyNow()));
}

void PeerLink::sendToOtherCells(NodeUpdate update) {
  update.IsFleetWide = true;
  const std::string bytes = encodeNodeUpdate(update, clock::steadyNow());
  for (const std::string &it : OtherCellAddresses)
    send(it, bytes);
}

void PeerLink::announceConfig() {
  if (shouldWatchStore(FleetTopic::Config, clock::steadyNow()))
    flushWithin(SentFlushDelay);
}

void PeerLink::announceEvacuations() {
  AreEvacuationsPending = true;
  flush();
}

bool PeerLink::readsForCell(FleetTopic topic) const {
  return WatchPolicy.isWatchShared() &&
         (WatchPolicy.isReading(topic) ||
          shouldWatchStore(topic, clock::steadyNow()));
}

void PeerLink::announceStoreAnswer(FleetTopic topic) {
  if (readsForCell(topic))
    flushWithin(StoreAnswerFlushDelay);
}

void PeerLink::announceBackendChanges(
    uint64_t since, const std::vector<BackendChange> &changes) {
  NodeUpdate update = makeNodeUpdate();
  update.BackendsSince = since;
  update.Backends = changes;
  sendToCell(update);
}

void PeerLink::nodesRead(const std::vector<NodeEntry> &nodes,
                         const std::vector<std::string> &cell, absl::Time now) {
  std::vector<NodeEntry> cellNodes;
  std::vector<std::string> names;
  bool hasNew = false;
  OtherCellAddresses.clear();
  FleetAddresses.clear();
  for (const NodeEntry &it : nodes) {
    FleetAddresses.push_back(it.PeerAddress);
    const bool isInCell =
        cell.empty() || std::binary_search(cell.begin(), cell.end(), it.Name);
    if (!isInCell) {
      Peers.erase(it.Name);
      OtherCellAddresses.push_back(it.PeerAddress);
      continue;
    }
    cellNodes.push_back(it);
    names.push_back(it.Name);
    if (it.Name == Self.Name)
      continue;
    Peer &peer = Peers[it.Name];
    if (peer.Incarnation >= it.Incarnation)
      continue;
    peer = {it.PeerAddress, it.Incarnation, now, false, {}};
    hasNew = true;
  }
  std::erase_if(Peers, [&](const auto &it) {
    return now - it.second.LastSeenAt >= SilentPeerTimeout &&
           std::find(names.begin(), names.end(), it.first) == names.end();
  });
  Roster.update(cellNodes, now);
  WatchPolicy.setCell(names);
  if (!hasNew)
    return;
  announceLeaving();
  announceLimits();
  AreEvacuationsPending = true;
}

void PeerLink::flushWithin(absl::Duration time) {
  if (Stopping)
    return;
  const absl::Time at = clock::steadyNow() + time;
  if (at >= FlushAt)
    return;
  FlushAt = at;
  FlushTimer.expires_after(absl::ToChronoNanoseconds(time));
  FlushTimer.async_wait([this](boost::system::error_code ec) {
    if (!ec)
      flush();
  });
}

void PeerLink::flush() {
  FlushAt = absl::InfiniteFuture();
  NodeUpdate update = makeNodeUpdate();
  update.LoadUpdates = std::exchange(PendingLoadUpdates, {});
  if (std::exchange(IsLeavingPending, false))
    update.Leaving = Handlers.LeavingBackendIds();
  update.Crashes = std::exchange(PendingCrashes, {});
  update.SoundParts.assign(PendingSoundParts.begin(), PendingSoundParts.end());
  PendingSoundParts.clear();
  if (std::exchange(IsQuarantinePending, false))
    update.Quarantined = Handlers.QuarantinedParts();
  if (std::exchange(AreLimitsPending, false))
    update.Limits = Handlers.RequestLimits();
  if (std::exchange(AreEvacuationsPending, false))
    update.Evacuations = Handlers.Evacuations().statement();
  sendToCell(update);
}

void PeerLink::sendToCell(const NodeUpdate &update) {
  const absl::Time now = clock::steadyNow();
  const std::string bytes = encodeNodeUpdate(update, now);
  for (const auto &[name, peer] : Peers)
    if (now - peer.LastSeenAt < SilentPeerTimeout)
      send(peer.Address, bytes);
}

NodeUpdate PeerLink::makeNodeUpdate() const {
  NodeUpdate update;
  update.Node = Self.Name;
  update.PeerAddress = Self.PeerAddress;
  update.Incarnation = Self.Incarnation;
  update.ConfigVersion = Handlers.ConfigVersion();
  update.ConfigAnsweredAt = Handlers.StoreCalls(FleetTopic::Config).AnsweredAt;
  update.BackendsAnsweredAt =
      Handlers.StoreCalls(FleetTopic::Backends).AnsweredAt;
  update.ConfigStoreVersion = Handlers.StoreVersion(FleetTopic::Config);
  update.BackendsStoreVersion = Handlers.StoreVersion(FleetTopic::Backends);
  update.BackendsVersion = Handlers.NewestBackendChange();
  update.EvacuationsVersion = Handlers.Evacuations().newestChange();
  return update;
}

asio::awaitable<void> PeerLink::sendHeartbeats() {
  while (!Stopping) {
    HeartbeatTimer.expires_after(absl::ToChronoNanoseconds(HeartbeatInterval));
    co_await HeartbeatTimer.async_wait(loop::AsTuple);
    if (Stopping)
      co_return;
    // Repeated with each heartbeat, because any message may be lost.
    IsQuarantinePending = true;
    AreLimitsPending = true;
    AreEvacuationsPending = true;
    flush();
  }
}

void PeerLink::receive(const std::string &bytes) {
  const loop::LoopMonitor::Scope scope(Loop, core::loop::LoopWork::Peers);
  const absl::Time now = clock::steadyNow();
  std::optional<NodeUpdate> update = decodeNodeUpdate(bytes, now);
  if (Stopping || !update.has_value() || update->Node == Self.Name)
    return;
  const auto known = Peers.find(update->Node);
  if (known != Peers.end() && update->Incarnation < known->second.Incarnation)
    return;
  if (!update->Quarantined.empty())
    Handlers.OnPeerQuarantine(update->Quarantined);
  if (!update->Limits.empty())
    Handlers.OnPeerLimits(update->Limits);
  for (const core::relay::CrashReport &it : update->Crashes)
    Handlers.OnPeerCrash(it);
  if (!update->SoundParts.empty())
    Handlers.OnPeerSoundParts(update->SoundParts);
  if (!update->Placement.isEmpty() && Handlers.OnPlacement)
    Handlers.OnPlacement(*update);
  if (update->IsFleetWide && known == Peers.end())
    return;
  updatePeer(*update, now);
  correctTimes(*update, now);
  if (!update->Evacuations.empty())
    Handlers.OnPeerEvacuations(update->Evacuations, update->EvacuationsVersion);
  for (const LoadUpdate &it : update->LoadUpdates)
    Handlers.OnPeerLoadUpdate(it);
  if (!update->Backends.empty())
    Handlers.OnPeerBackendChanges(update->BackendsSince,
                                  std::move(update->Backends));
  if (!update->Leaving.empty())
    Handlers.OnPeerLeavingBackends(update->Leaving);
  recordReportedConfig(update->ConfigVersion, now);
  if (!update->Config.empty() &&
      update->ConfigVersion > Handlers.ConfigVersion())
    Handlers.OnPeerConfig(update->ConfigVersion, std::move(update->Config));
  recordStoreAnswers(*update, now);
  catchUp(*update, now);
}

void PeerLink::recordReportedConfig(uint64_t version, absl::Time now) {
  if (version < ReportedConfig &&
      now - ConfigReportedAt <= core::fleet::StoreWatchPolicy::PeerTimeout)
    return;
  ReportedConfig = version;
  ConfigReportedAt = now;
}

core::relay::ConfigCurrency PeerLink::configCurrency(absl::Time now) const {
  const absl::Time ownAt = Handlers.StoreCalls(FleetTopic::Config).AnsweredAt;
  core::relay::ConfigCurrency result;
  result.CurrentAt = WatchPolicy.currentAt(FleetTopic::Config, ownAt);
  result.IsFromPeer = result.CurrentAt > ownAt;
  // The store may give out versions again: what a node that is gone had
  // doesn't count for long.
  if (now - ConfigReportedAt <= core::fleet::StoreWatchPolicy::PeerTimeout)
    result.NewestReported = ReportedConfig;
  return result;
}

void PeerLink::recordStoreAnswers(const NodeUpdate &update, absl::Time now) {
  WatchPolicy.recordMessage(update.Node, now);
  const auto record = [&](FleetTopic topic, absl::Time at, bool hasAll) {
    if (at == absl::InfinitePast())
      return;
    WatchPolicy.recordStoreAnswer(update.Node, topic, at);
    if (!hasAll)
      return;
    WatchPolicy.recordCurrent(topic, at);
    Handlers.OnPeerStoreAnswer(topic, at, update);
  };
  record(FleetTopic::Config, update.ConfigAnsweredAt,
         Handlers.ConfigVersion() >= update.ConfigVersion &&
             Handlers.Evacuations().knownVersion() >=
                 update.EvacuationsVersion);
  record(FleetTopic::Backends, update.BackendsAnsweredAt,
         Handlers.BackendsAppliedVersion() >= update.BackendsVersion);
}

void PeerLink::correctTimes(NodeUpdate &update, absl::Time now) {
  if (!update.SentAt.has_value())
    return;
  const absl::Duration delay =
      Peers[update.Node].Delay.record(*update.SentAt, now);
  update.ConfigAnsweredAt -= delay;
  update.BackendsAnsweredAt -= delay;
}

void PeerLink::updatePeer(const NodeUpdate &update, absl::Time now) {
  Peer &peer = Peers[update.Node];
  Roster.recordMessage(update.Node, now);
  Handlers.OnPeerMessage(update.Node);
  const bool isUnlisted = peer.Address.empty();
  const bool isNew =
      !peer.HasSentMessage || update.Incarnation != peer.Incarnation;
  const core::fleet::MessageDelay delay =
      isNew ? core::fleet::MessageDelay() : peer.Delay;
  peer = {update.PeerAddress, update.Incarnation, now, true, delay};
  if (!isNew)
    return;
  log::write(log::Level::Info, "peer_found",
             {{"peer", update.Node},
              {"address", update.PeerAddress},
              {"peer_incarnation", update.Incarnation}});
  // The node registered after the list of nodes was last read.
  if (isUnlisted)
    Handlers.Refresh(FleetTopic::Nodes);
}

void PeerLink::catchUp(const NodeUpdate &update, absl::Time now) {
  const bool watchesBackends = shouldWatchStore(FleetTopic::Backends, now);
  if (BackendsCatchUp.stepFor(Handlers.BackendsAppliedVersion(),
                              update.BackendsVersion, watchesBackends,
                              now) == CatchUpStep::ReadStore)
    Handlers.Refresh(FleetTopic::Backends);
  const bool watchesConfig = shouldWatchStore(FleetTopic::Config, now);
  if (EvacuationsCatchUp.stepFor(Handlers.Evacuations().knownVersion(),
                                 update.EvacuationsVersion, watchesConfig,
                                 now) == CatchUpStep::ReadStore)
    Handlers.Refresh(FleetTopic::Config);
  const uint64_t version = Handlers.ConfigVersion();
  // What is being read is probably what the sender has.
  const CatchUpStep step =
      Handlers.IsReadingConfig()
          ? CatchUpStep::None
          : ConfigCatchUp.stepFor(version, update.ConfigVersion, watchesConfig,
                                  now);
  if (step == CatchUpStep::ReadStore)
    Handlers.Refresh(FleetTopic::Config);
  const bool isConfigRequested =
      update.WantsConfig && version > update.ConfigVersion;
  if (!isConfigRequested && step != CatchUpStep::AskPeer)
    return;
  NodeUpdate reply = makeNodeUpdate();
  if (isConfigRequested)
    reply.Config = Handlers.ConfigText();
  // A node that serves with a peer's configuration must have the evacuations.
  reply.Evacuations = Handlers.Evacuations().statement();
  reply.WantsConfig = step == CatchUpStep::AskPeer;
  send(update.PeerAddress, encodeNodeUpdate(std::move(reply), now));
}

} // namespace orioletally::drivers::relay

#include "drivers/relay/peer_link.h"

#include "drivers/clock/clock.h"
#include "drivers/log/log.h"

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

/// A prompt that another node doesn't know of yet may get company at its
/// engine; this is about the way to another availability zone.
constexpr absl::Duration SentWithin = absl::Milliseconds(3);
/// What has ended only makes room; it waits for other news.
constexpr absl::Duration EndedWithin = absl::Milliseconds(100);
/// Nodes say at least this often that they are there.
constexpr absl::Duration BeatEvery = absl::Seconds(1);
/// A node that says nothing for this long isn't told anything.
constexpr absl::Duration SilentBound = absl::Seconds(8);
/// Changes of the backend servers are passed on in this time; a node that
/// lacks some after it has missed them.
constexpr absl::Duration ChangesWithin = absl::Milliseconds(300);
/// Time that the store has to tell this node of a configuration that another
/// has, before the other is asked for it.
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

core::fleet::CatchUpDelays configTimes() {
  core::fleet::CatchUpDelays times;
  times.ReadDelay = absl::ZeroDuration();
  times.AskPeerDelay = AskPeerDelay;
  return times;
}

core::fleet::CatchUpDelays backendsTimes() {
  core::fleet::CatchUpDelays times;
  times.ReadDelay = ChangesWithin;
  return times;
}

} // namespace

PeerLink::PeerLink(asio::io_context &loop, NodeEntry self,
                   PeerLinkHandlers handlers)
    : Loop(loop), Self(std::move(self)), Handlers(std::move(handlers)),
      Roster(Self.Name), Duty(Self.Name), ConfigLag(configTimes()),
      BackendsLag(backendsTimes()), Flush(loop), Beat(loop) {}

leaf::result<void> PeerLink::start(const std::string &key) {
  auto transport = std::make_unique<peer::PeerTransport>(
      transportSettings(Self.PeerAddress, key), [this](std::string_view bytes) {
        asio::post(Loop, [this, copy = std::string(bytes)] { receive(copy); });
      });
  BOOST_LEAF_CHECK(transport->start());
  Transport = std::move(transport);
  asio::co_spawn(Loop, beat(), asio::detached);
  return {};
}

void PeerLink::stop() {
  Stopping = true;
  Flush.cancel();
  Beat.cancel();
  if (Transport != nullptr)
    Transport->stop();
}

void PeerLink::send(const std::string &address, std::string bytes) {
  if (Transport != nullptr)
    Transport->send(address, std::move(bytes));
}

void PeerLink::tell(const LoadUpdate &news) {
  Pending.push_back(news);
  flushWithin(news.Kind == LoadUpdateKind::Sent ? SentWithin : EndedWithin);
}

void PeerLink::tellFleet() {
  IsFleetPending = true;
  flushWithin(SentWithin);
}

void PeerLink::tellConfig() {
  if (shouldWatchStore(FleetTopic::Config, clock::steadyNow()))
    flushWithin(SentWithin);
}

void PeerLink::tellBackends(uint64_t since,
                            const std::vector<BackendChange> &changes) {
  NodeNews news = ownNews();
  news.BackendsSince = since;
  news.Backends = changes;
  sendToCell(news);
}

void PeerLink::nodesRead(const std::vector<NodeEntry> &nodes,
                         const std::vector<std::string> &cell, absl::Time now) {
  std::vector<NodeEntry> near;
  std::vector<std::string> names;
  bool isNew = false;
  for (const NodeEntry &it : nodes) {
    const bool isNear =
        cell.empty() || std::binary_search(cell.begin(), cell.end(), it.Name);
    if (!isNear) {
      Peers.erase(it.Name);
      continue;
    }
    near.push_back(it);
    names.push_back(it.Name);
    if (it.Name == Self.Name)
      continue;
    Peer &peer = Peers[it.Name];
    if (peer.Incarnation >= it.Incarnation)
      continue;
    peer = {it.PeerAddress, it.Incarnation, now};
    isNew = true;
  }
  std::erase_if(Peers, [&](const auto &it) {
    return now - it.second.KnownAt >= SilentBound &&
           std::find(names.begin(), names.end(), it.first) == names.end();
  });
  Roster.update(near, now);
  Duty.setCell(names);
  if (isNew)
    tellFleet();
}

void PeerLink::flushWithin(absl::Duration time) {
  if (Stopping)
    return;
  const absl::Time at = clock::steadyNow() + time;
  if (at >= FlushAt)
    return;
  FlushAt = at;
  Flush.expires_after(absl::ToChronoNanoseconds(time));
  Flush.async_wait([this](boost::system::error_code ec) {
    if (!ec)
      flush();
  });
}

void PeerLink::flush() {
  FlushAt = absl::InfiniteFuture();
  NodeNews news = ownNews();
  news.Prompts = std::exchange(Pending, {});
  if (std::exchange(IsFleetPending, false))
    news.Leaving = Handlers.Leaving();
  sendToCell(news);
}

void PeerLink::sendToCell(const NodeNews &news) {
  const absl::Time now = clock::steadyNow();
  const std::string bytes = encodeNews(news, now);
  for (const auto &[name, peer] : Peers)
    if (now - peer.KnownAt < SilentBound)
      send(peer.Address, bytes);
}

NodeNews PeerLink::ownNews() const {
  NodeNews news;
  news.Node = Self.Name;
  news.PeerAddress = Self.PeerAddress;
  news.Incarnation = Self.Incarnation;
  news.ConfigVersion = Handlers.ConfigVersion();
  news.ConfigFollowedAt = Handlers.FollowedAt(FleetTopic::Config);
  news.BackendsFollowedAt = Handlers.FollowedAt(FleetTopic::Backends);
  news.BackendsVersion = Handlers.BackendsChangedAt();
  return news;
}

asio::awaitable<void> PeerLink::beat() {
  while (!Stopping) {
    Beat.expires_after(absl::ToChronoNanoseconds(BeatEvery));
    co_await Beat.async_wait(loop::AsTuple);
    if (Stopping)
      co_return;
    flush();
  }
}

void PeerLink::receive(const std::string &bytes) {
  const absl::Time now = clock::steadyNow();
  std::optional<NodeNews> news = decodeNews(bytes, now);
  if (Stopping || !news.has_value() || news->Node == Self.Name)
    return;
  const auto known = Peers.find(news->Node);
  if (known != Peers.end() && news->Incarnation < known->second.Incarnation)
    return;
  meet(*news, now);
  Duty.recordMessage(news->Node, now);
  Duty.recordStoreAnswer(news->Node, FleetTopic::Config,
                         news->ConfigFollowedAt);
  Duty.recordStoreAnswer(news->Node, FleetTopic::Backends,
                         news->BackendsFollowedAt);
  for (const LoadUpdate &it : news->Prompts)
    Handlers.TakePrompt(it);
  if (!news->Backends.empty())
    Handlers.TakeBackends(news->BackendsSince, std::move(news->Backends));
  if (!news->Leaving.empty())
    Handlers.TakeLeaving(news->Leaving);
  if (!news->Config.empty())
    Handlers.TakeConfig(news->Config);
  catchUp(*news, now);
}

void PeerLink::meet(const NodeNews &news, absl::Time now) {
  Peer &peer = Peers[news.Node];
  Roster.recordMessage(news.Node, now);
  const bool isUnlisted = peer.Address.empty();
  const bool isNew = !peer.IsHeard || news.Incarnation != peer.Incarnation;
  peer = {news.PeerAddress, news.Incarnation, now, true};
  if (!isNew)
    return;
  log::write(log::Level::Info, "peer_found",
             {{"peer", news.Node},
              {"address", news.PeerAddress},
              {"peer_incarnation", news.Incarnation}});
  // It registered itself after the nodes were read.
  if (isUnlisted)
    Handlers.Refresh(FleetTopic::Nodes);
}

void PeerLink::catchUp(const NodeNews &news, absl::Time now) {
  const bool followsBackends = shouldWatchStore(FleetTopic::Backends, now);
  if (BackendsLag.stepFor(Handlers.BackendsKnownTo(), news.BackendsVersion,
                          followsBackends, now) == CatchUpStep::ReadStore)
    Handlers.Refresh(FleetTopic::Backends);
  const uint64_t version = Handlers.ConfigVersion();
  const CatchUpStep step =
      ConfigLag.stepFor(version, news.ConfigVersion,
                        shouldWatchStore(FleetTopic::Config, now), now);
  if (step == CatchUpStep::ReadStore)
    Handlers.Refresh(FleetTopic::Config);
  const bool isAsked = news.WantsConfig && version > news.ConfigVersion;
  if (!isAsked && step != CatchUpStep::AskPeer)
    return;
  NodeNews reply = ownNews();
  if (isAsked)
    reply.Config = Handlers.ConfigText();
  reply.WantsConfig = step == CatchUpStep::AskPeer;
  send(news.PeerAddress, encodeNews(reply, now));
}

} // namespace orioletally::drivers::relay

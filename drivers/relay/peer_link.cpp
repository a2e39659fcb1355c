#include "drivers/relay/peer_link.h"

#include "drivers/clock/clock.h"
#include "drivers/log/log.h"
#include "proto/generated/relay.pb.h"

#include <algorithm>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::relay {

namespace {

using core::fleet::BackendChange;
using core::fleet::CatchUpStep;
using core::platform::FleetTopic;
using core::platform::NodeEntry;
using core::relay::NewsKind;
using core::relay::PromptNews;

/// A prompt that another node doesn't know of yet may get company at its
/// engine; this is about the way to another availability zone.
constexpr absl::Duration SentWithin = absl::Milliseconds(3);
/// What has ended only makes room; it waits for other news.
constexpr absl::Duration EndedWithin = absl::Milliseconds(40);
/// Nodes say at least this often that they are there.
constexpr absl::Duration BeatEvery = absl::Seconds(1);
/// A node that says nothing for this long isn't told anything.
constexpr absl::Duration SilentBound = absl::Seconds(8);
/// Changes of the backend servers are passed on in this time; a node that
/// lacks some after it has missed them.
constexpr absl::Duration ChangesWithin = absl::Milliseconds(300);
/// Time that the store has to tell this node of a configuration that another
/// has, before the other is asked for it.
constexpr absl::Duration AskAfter = absl::Milliseconds(300);
/// Larger figures in messages count as these: about an hour.
constexpr uint64_t MaxGoneMs = 3'600'000;
constexpr uint64_t MaxAgeMs = 3'600'000;

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

proto::PromptNews encode(const PromptNews &news) {
  proto::PromptNews message;
  message.set_kind(static_cast<uint32_t>(news.Kind));
  message.set_engine_hash(news.EngineHash);
  message.set_load_id(news.LoadId);
  if (news.Kind == NewsKind::Sent) {
    message.set_read_tokens(news.ReadTokens);
    message.set_prompt_tokens(news.PromptTokens);
    message.set_answer_tokens(news.AnswerTokens);
    message.set_gap_ms(news.GapMs);
    message.set_held_tokens(news.HeldTokens);
  }
  return message;
}

PromptNews decode(const proto::PromptNews &message) {
  PromptNews news;
  news.Kind = static_cast<NewsKind>(std::min<uint32_t>(
      message.kind(), static_cast<uint32_t>(NewsKind::Ended)));
  news.EngineHash = message.engine_hash();
  news.LoadId = message.load_id();
  news.ReadTokens = message.read_tokens();
  news.PromptTokens = message.prompt_tokens();
  news.AnswerTokens = message.answer_tokens();
  news.GapMs = message.gap_ms();
  news.HeldTokens = message.held_tokens();
  return news;
}

proto::BackendNews encode(const BackendChange &change) {
  proto::BackendNews message;
  message.set_id(change.Entry.Id);
  message.set_row_version(change.Entry.RowVersion);
  message.set_removed(change.Removed);
  if (change.Removed) {
    message.set_gone_in_ms(
        static_cast<uint64_t>(absl::ToInt64Milliseconds(change.GoneIn)));
    return message;
  }
  message.set_service(change.Entry.Service);
  message.set_address(change.Entry.Address);
  message.set_zone(change.Entry.Zone);
  message.set_slots(change.Entry.Slots);
  message.set_leaving(change.Entry.Leaving);
  message.set_born_ms(change.Entry.BornMs);
  return message;
}

BackendChange decode(const proto::BackendNews &message) {
  BackendChange change;
  change.Entry.Id = message.id();
  change.Entry.RowVersion = message.row_version();
  change.Removed = message.removed();
  change.GoneIn =
      absl::Milliseconds(std::min<uint64_t>(message.gone_in_ms(), MaxGoneMs));
  change.Entry.Service = message.service();
  change.Entry.Address = message.address();
  change.Entry.Zone = message.zone();
  change.Entry.Slots = message.slots();
  change.Entry.Leaving = message.leaving();
  change.Entry.BornMs = message.born_ms();
  return change;
}

/// Milliseconds since \p at, plus one; 0 for never.
uint64_t encodeAge(absl::Time at, absl::Time now) {
  return at == absl::InfinitePast()
             ? 0
             : static_cast<uint64_t>(absl::ToInt64Milliseconds(now - at)) + 1;
}

absl::Time decodeAge(uint64_t age, absl::Time now) {
  return age == 0 ? absl::InfinitePast()
                  : now - absl::Milliseconds(std::min(age - 1, MaxAgeMs));
}

core::fleet::CatchUpTimes configTimes() {
  core::fleet::CatchUpTimes times;
  times.ReadAfter = absl::ZeroDuration();
  times.AskAfter = AskAfter;
  return times;
}

core::fleet::CatchUpTimes backendsTimes() {
  core::fleet::CatchUpTimes times;
  times.ReadAfter = ChangesWithin;
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

void PeerLink::tell(const PromptNews &news) {
  Pending.push_back(news);
  flushWithin(news.Kind == NewsKind::Sent ? SentWithin : EndedWithin);
}

void PeerLink::tellFleet() {
  IsFleetPending = true;
  flushWithin(SentWithin);
}

void PeerLink::tellConfig() {
  if (Duty.mustFollow(FleetTopic::Config, clock::steadyNow()))
    flushWithin(SentWithin);
}

void PeerLink::tellBackends(uint64_t since,
                            const std::vector<BackendChange> &changes) {
  proto::NodeNews message = ownNews();
  message.set_backends_since(since);
  for (const BackendChange &it : changes)
    *message.add_backends() = encode(it);
  sendToCell(message);
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
  Roster.read(near, now);
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
  proto::NodeNews message = ownNews();
  for (const PromptNews &it : Pending)
    *message.add_prompts() = encode(it);
  Pending.clear();
  if (std::exchange(IsFleetPending, false))
    for (const std::string &it : Handlers.Leaving())
      message.add_leaving(it);
  sendToCell(message);
}

void PeerLink::sendToCell(const proto::NodeNews &message) {
  const std::string bytes = message.SerializeAsString();
  const absl::Time now = clock::steadyNow();
  for (const auto &[name, peer] : Peers)
    if (now - peer.KnownAt < SilentBound)
      send(peer.Address, bytes);
}

proto::NodeNews PeerLink::ownNews() const {
  const absl::Time now = clock::steadyNow();
  proto::NodeNews message;
  message.set_node(Self.Name);
  message.set_peer_address(Self.PeerAddress);
  message.set_incarnation(Self.Incarnation);
  message.set_config_version(Handlers.ConfigVersion());
  message.set_config_followed_ago(
      encodeAge(Handlers.FollowedAt(FleetTopic::Config), now));
  message.set_backends_followed_ago(
      encodeAge(Handlers.FollowedAt(FleetTopic::Backends), now));
  message.set_backends_version(Handlers.BackendsChangedAt());
  return message;
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
  proto::NodeNews message;
  if (Stopping || !message.ParseFromString(bytes))
    return;
  if (message.node() == Self.Name)
    return;
  const absl::Time now = clock::steadyNow();
  const auto known = Peers.find(message.node());
  if (known != Peers.end() && message.incarnation() < known->second.Incarnation)
    return;
  meet(message, now);
  takeFollowing(message, now);
  for (const proto::PromptNews &it : message.prompts())
    Handlers.TakePrompt(decode(it));
  if (message.backends_size() > 0) {
    std::vector<BackendChange> changes;
    for (const proto::BackendNews &it : message.backends())
      changes.push_back(decode(it));
    Handlers.TakeBackends(message.backends_since(), std::move(changes));
  }
  if (message.leaving_size() > 0)
    Handlers.TakeLeaving({message.leaving().begin(), message.leaving().end()});
  if (!message.config().empty())
    Handlers.TakeConfig(message.config());
  catchUp(message, now);
}

void PeerLink::meet(const proto::NodeNews &message, absl::Time now) {
  Peer &peer = Peers[message.node()];
  Roster.heard(message.node(), now);
  const bool isUnlisted = peer.Address.empty();
  const bool isNew = !peer.IsHeard || message.incarnation() != peer.Incarnation;
  peer = {message.peer_address(), message.incarnation(), now, true};
  if (!isNew)
    return;
  log::write(log::Level::Info, "peer_found",
             {{"peer", message.node()},
              {"address", message.peer_address()},
              {"peer_incarnation", message.incarnation()}});
  // It registered itself after the nodes were read.
  if (isUnlisted)
    Handlers.Refresh(FleetTopic::Nodes);
}

void PeerLink::takeFollowing(const proto::NodeNews &message, absl::Time now) {
  Duty.heard(message.node(), now);
  Duty.followed(message.node(), FleetTopic::Config,
                decodeAge(message.config_followed_ago(), now));
  Duty.followed(message.node(), FleetTopic::Backends,
                decodeAge(message.backends_followed_ago(), now));
}

void PeerLink::catchUp(const proto::NodeNews &message, absl::Time now) {
  if (BackendsLag.heard(Handlers.BackendsKnownTo(), message.backends_version(),
                        Duty.mustFollow(FleetTopic::Backends, now),
                        now) == CatchUpStep::ReadStore)
    Handlers.Refresh(FleetTopic::Backends);
  const uint64_t version = Handlers.ConfigVersion();
  const CatchUpStep step =
      ConfigLag.heard(version, message.config_version(),
                      Duty.mustFollow(FleetTopic::Config, now), now);
  if (step == CatchUpStep::ReadStore)
    Handlers.Refresh(FleetTopic::Config);
  const bool isAsked =
      message.wants_config() && version > message.config_version();
  if (!isAsked && step != CatchUpStep::AskPeer)
    return;
  proto::NodeNews reply = ownNews();
  if (isAsked)
    reply.set_config(Handlers.ConfigText());
  reply.set_wants_config(step == CatchUpStep::AskPeer);
  send(message.peer_address(), reply.SerializeAsString());
}

} // namespace orioletally::drivers::relay

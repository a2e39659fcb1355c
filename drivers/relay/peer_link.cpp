#include "drivers/relay/peer_link.h"

#include "drivers/clock/clock.h"
#include "drivers/log/log.h"
#include "proto/generated/relay.pb.h"

#include <algorithm>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::relay {

namespace {

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

/// A message that says who sends it, and no news yet.
proto::NodeNews ownNews(const NodeEntry &self, uint64_t configVersion) {
  proto::NodeNews message;
  message.set_node(self.Name);
  message.set_peer_address(self.PeerAddress);
  message.set_incarnation(self.Incarnation);
  message.set_config_version(configVersion);
  return message;
}

} // namespace

PeerLink::PeerLink(asio::io_context &loop, NodeEntry self,
                   PeerLinkHandlers handlers)
    : Loop(loop), Self(std::move(self)), Handlers(std::move(handlers)),
      Roster(Self.Name), Flush(loop), Beat(loop) {}

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

void PeerLink::nodesRead(const std::vector<NodeEntry> &nodes, absl::Time now) {
  Roster.read(nodes, now);
  bool isNew = false;
  for (const NodeEntry &it : nodes) {
    if (it.Name == Self.Name)
      continue;
    Peer &peer = Peers[it.Name];
    if (peer.Incarnation >= it.Incarnation)
      continue;
    peer = {it.PeerAddress, it.Incarnation, now};
    isNew = true;
  }
  if (isNew)
    tellFleet();
  Handlers.NodesChanged(this->nodes(now));
}

size_t PeerLink::nodes(absl::Time now) const {
  const auto heard =
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &it) {
        return now - it.second.KnownAt < SilentBound;
      });
  return static_cast<size_t>(heard) + 1;
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
  proto::NodeNews message = ownNews(Self, Handlers.ConfigVersion());
  for (const PromptNews &it : Pending)
    *message.add_prompts() = encode(it);
  Pending.clear();
  if (std::exchange(IsFleetPending, false))
    for (const std::string &it : Handlers.Leaving())
      message.add_leaving(it);
  const std::string bytes = message.SerializeAsString();
  const absl::Time now = clock::steadyNow();
  for (const auto &[name, peer] : Peers)
    if (now - peer.KnownAt < SilentBound)
      send(peer.Address, bytes);
}

asio::awaitable<void> PeerLink::beat() {
  while (!Stopping) {
    Beat.expires_after(absl::ToChronoNanoseconds(BeatEvery));
    co_await Beat.async_wait(loop::AsTuple);
    if (Stopping)
      co_return;
    flush();
    Handlers.NodesChanged(nodes(clock::steadyNow()));
  }
}

void PeerLink::receive(const std::string &bytes) {
  proto::NodeNews message;
  if (Stopping || !message.ParseFromString(bytes))
    return;
  if (message.node() == Self.Name)
    return;
  const absl::Time now = clock::steadyNow();
  Peer &peer = Peers[message.node()];
  if (message.incarnation() < peer.Incarnation)
    return;
  Roster.heard(message.node(), now);
  const bool isNew = !peer.IsHeard || message.incarnation() != peer.Incarnation;
  peer = {message.peer_address(), message.incarnation(), now, true};
  if (isNew)
    log::write(log::Level::Info, "peer_found",
               {{"peer", message.node()},
                {"address", message.peer_address()},
                {"peer_incarnation", message.incarnation()}});
  for (const proto::PromptNews &it : message.prompts())
    Handlers.TakePrompt(decode(it));
  if (message.leaving_size() > 0)
    Handlers.TakeLeaving({message.leaving().begin(), message.leaving().end()});
  if (!message.config().empty())
    Handlers.TakeConfig(message.config());
  const uint64_t version = Handlers.ConfigVersion();
  proto::NodeNews reply = ownNews(Self, version);
  if (message.wants_config() && version > message.config_version())
    reply.set_config(Handlers.ConfigText());
  reply.set_wants_config(message.config_version() > version);
  if (reply.config().empty() && !reply.wants_config())
    return;
  send(message.peer_address(), reply.SerializeAsString());
}

} // namespace orioletally::drivers::relay

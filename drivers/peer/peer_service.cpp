#include "drivers/peer/peer_service.h"

#include "drivers/clock/clock.h"
#include "drivers/log/log.h"
#include "drivers/peer/peer_codec.h"

#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::peer {

namespace {

using namespace core::membership;

/// Number of random nodes that each node forwards new content to.
constexpr size_t GossipFanout = 3;
/// In a region with up to this many other nodes, all of them receive engines'
/// load; in a larger one, those of the same zone.
constexpr size_t MaxRegionPeers = 16;
/// While engines' load goes to at most this many nodes, they are also sent
/// every submitted request; while to more, only those with at least
/// LargeDispatchTokens to prefill.
constexpr size_t MaxPeersForSmallDispatches = 8;
constexpr int64_t LargeDispatchTokens = 32'000;
constexpr int TicksPerPeriod = 5;

} // namespace

PeerService::PeerService(Member self, const DetectorSettings &detector,
                         const TransportSettings &transport,
                         PeerHandlers handlers)
    : Handlers(std::move(handlers)), Detector(std::move(self), detector),
      TickInterval(detector.Period / TicksPerPeriod),
      Transport(transport, [this](std::string_view bytes) { receive(bytes); }) {
}

PeerService::~PeerService() { stop(); }

leaf::result<void> PeerService::start() {
  BOOST_LEAF_CHECK(Transport.start());
  {
    const std::lock_guard lock(Guard);
    Detector.updateSelf(
        [this](Member &it) { it.PeerAddress = Transport.address(); });
  }
  Ticker = std::thread([this] { run(); });
  return {};
}

void PeerService::stop() {
  if (!Ticker.joinable())
    return;
  {
    const std::lock_guard lock(Guard);
    Stopping = true;
  }
  Changed.notify_all();
  Ticker.join();
  sendLeave();
  Transport.stop();
}

void PeerService::sendLeave() {
  std::vector<Member> chosen;
  std::string bytes;
  {
    const std::lock_guard lock(Guard);
    chosen = Detector.randomAlive(GossipFanout);
    PeerMessage message = Detector.message(LeavingBackends{});
    message.Updates.push_back({Detector.self(), MemberStatus::Left});
    bytes = encode(message);
  }
  for (const Member &it : chosen)
    Transport.send(it.PeerAddress, bytes);
}

void PeerService::addSeed(const std::string &address) {
  const std::lock_guard lock(Guard);
  Detector.addSeed(address);
}

void PeerService::announceProfiles(uint64_t revision, uint64_t hash) {
  const std::lock_guard lock(Guard);
  Detector.updateSelf([&](Member &it) {
    it.ProfileRevision = revision;
    it.ProfileHash = hash;
  });
}

void PeerService::announceDraining() {
  const std::lock_guard lock(Guard);
  Detector.updateSelf([](Member &it) { it.Draining = true; });
}

void PeerService::announceHttpAddress(const std::string &address) {
  const std::lock_guard lock(Guard);
  Detector.updateSelf([&](Member &it) { it.HttpAddress = address; });
}

void PeerService::run() {
  std::unique_lock lock(Guard);
  while (!Stopping) {
    const TickResult result = Detector.tick(clock::steadyNow());
    lock.unlock();
    if (result.WasFrozen)
      log::write(log::Level::Warn, "probes_paused",
                 {{"reason", "this process was frozen"}});
    for (const std::string &it : result.NewlyDead)
      log::write(log::Level::Warn, "member_dead", {{"member", it}});
    send(result.Outgoing);
    lock.lock();
    Changed.wait_for(lock, absl::ToChronoMilliseconds(TickInterval),
                     [this] { return Stopping; });
  }
}

void PeerService::send(const std::vector<OutgoingMessage> &messages) {
  for (const OutgoingMessage &it : messages)
    Transport.send(it.Address, encode(it.Message));
}

void PeerService::sendBody(const std::string &address, PeerBody body) {
  std::string bytes;
  {
    const std::lock_guard lock(Guard);
    bytes = encode(Detector.message(std::move(body)));
  }
  Transport.send(address, std::move(bytes));
}

void PeerService::sendToRandom(const PeerBody &body) {
  std::vector<Member> chosen;
  {
    const std::lock_guard lock(Guard);
    chosen = Detector.randomAlive(GossipFanout);
  }
  for (const Member &it : chosen)
    sendBody(it.PeerAddress, body);
}

void PeerService::receive(std::string_view bytes) {
  const std::optional<PeerMessage> message = decode(bytes);
  if (!message.has_value())
    return;
  if (const auto *dispatch = std::get_if<Dispatch>(&message->Body)) {
    Handlers.OnPeerDispatch(*dispatch);
    return;
  }
  std::vector<OutgoingMessage> replies;
  {
    const std::lock_guard lock(Guard);
    replies = Detector.receive(*message, clock::steadyNow());
    ++UpdateCount;
  }
  Changed.notify_all();
  send(replies);
  std::visit([&](const auto &it) { handle(*message, it); }, message->Body);
  catchUp(message->From);
}

void PeerService::catchUp(const Member &from) {
  uint64_t own = 0;
  {
    const std::lock_guard lock(Guard);
    own = Detector.self().ProfileRevision;
  }
  // The records in the message itself have been applied by now; only what is
  // still missing is requested.
  if (from.ProfileRevision > own)
    sendBody(from.PeerAddress, ProfileRequest{own});
}

void PeerService::handle(const PeerMessage &message,
                         const ProfileRequest &body) {
  // The leaving backend servers are sent first, so that a node that waits for
  // the profiles knows them once these arrive.
  sendBody(message.From.PeerAddress,
           LeavingBackends{Handlers.LeavingBackendIds()});
  sendBody(message.From.PeerAddress, Handlers.ProfilesAfter(body.After));
}

void PeerService::handle(const PeerMessage &, const ProfileRecords &body) {
  const uint64_t before = self().ProfileRevision;
  Handlers.OnPeerProfiles(body);
  const uint64_t after = self().ProfileRevision;
  if (!body.ConfirmTo.empty())
    sendBody(body.ConfirmTo, ProfileConfirm{after});
  if (after > before && !body.ConfirmTo.empty())
    sendToRandom(body);
}

void PeerService::handle(const PeerMessage &, const LeavingBackends &body) {
  const std::vector<std::string> newlyLeaving =
      Handlers.OnPeerLeavingBackends(body.Ids);
  if (!newlyLeaving.empty())
    sendToRandom(LeavingBackends{newlyLeaving});
}

void PeerService::handle(const PeerMessage &, const EngineLoads &body) {
  Handlers.OnPeerEngineLoads(body);
}

std::vector<std::string> PeerService::engineLoadPeers() const {
  const std::lock_guard lock(Guard);
  const Member &own = Detector.self();
  std::vector<std::string> sameZone;
  std::vector<std::string> sameRegion;
  Detector.visitMembers([&](const MemberView &it) {
    if (it.Status != MemberStatus::Alive || it.Info.Region != own.Region)
      return;
    const bool isSameZone = it.Info.Zone == own.Zone;
    (isSameZone ? sameZone : sameRegion).push_back(it.Info.PeerAddress);
  });
  // In a small region every node knows the load of every engine; in a large
  // one, load is exchanged within the zone only.
  if (sameZone.size() + sameRegion.size() <= MaxRegionPeers)
    sameZone.insert(sameZone.end(), sameRegion.begin(), sameRegion.end());
  return sameZone;
}

void PeerService::shareLoads(const EngineLoads &loads) {
  for (const std::string &it : engineLoadPeers())
    sendBody(it, loads);
}

void PeerService::shareDispatch(const Dispatch &dispatch) {
  const std::vector<std::string> peers = engineLoadPeers();
  // With many nodes, a message for every short prompt would exceed what a node
  // may send. Long prompts affect placement most.
  const bool isSmall = dispatch.PrefillTokens < LargeDispatchTokens;
  if (isSmall && peers.size() > MaxPeersForSmallDispatches)
    return;
  PeerMessage message;
  message.From.Name = self().Name;
  message.Body = dispatch;
  const std::string bytes = encode(message);
  for (const std::string &it : peers)
    Transport.send(it, bytes);
}

void PeerService::gossipProfiles(const ProfileRecords &records) {
  sendToRandom(records);
}

void PeerService::gossipLeaving(const std::vector<std::string> &ids) {
  if (!ids.empty())
    sendToRandom(LeavingBackends{ids});
}

void PeerService::sendTo(const std::vector<std::string> &names,
                         const ProfileRecords &records) {
  for (const MemberView &it : members())
    for (const std::string &name : names)
      if (it.Info.Name == name)
        sendBody(it.Info.PeerAddress, records);
}

void PeerService::requestProfiles(uint64_t after) {
  sendToRandom(ProfileRequest{after});
}

Member PeerService::self() const {
  const std::lock_guard lock(Guard);
  return Detector.self();
}

std::vector<MemberView> PeerService::members() const {
  const std::lock_guard lock(Guard);
  return Detector.members();
}

absl::Duration PeerService::statusAge(std::string_view name,
                                      absl::Time now) const {
  const std::lock_guard lock(Guard);
  return now - Detector.statusSince(name).value_or(now);
}

bool PeerService::hasJoined() const {
  const std::lock_guard lock(Guard);
  return Detector.hasJoined();
}

bool PeerService::isZoneLeader() const {
  const std::lock_guard lock(Guard);
  return Detector.isZoneLeader();
}

void PeerService::waitForUpdates(absl::Duration timeout) {
  std::unique_lock lock(Guard);
  const uint64_t countBefore = UpdateCount;
  Changed.wait_for(lock, absl::ToChronoMilliseconds(timeout),
                   [&] { return UpdateCount != countBefore || Stopping; });
}

} // namespace orioletally::drivers::peer

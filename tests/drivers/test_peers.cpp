#include "drivers/peer/peer_codec.h"
#include "drivers/peer/peer_service.h"
#include "tests/support/fleet_fixture.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <zmq.h>

using namespace orioletally;
using namespace orioletally::core::membership;
using drivers::peer::PeerHandlers;
using drivers::peer::PeerService;
using drivers::peer::TransportSettings;
using tests::eventually;

namespace {

std::string newKey() {
  char publicKey[41];
  char secretKey[41];
  zmq_curve_keypair(publicKey, secretKey);
  return secretKey;
}

PeerHandlers idleHandlers() {
  PeerHandlers handlers;
  handlers.OnPeerProfiles = [](const auto &) {};
  handlers.ProfilesAfter = [](uint64_t) { return ProfileRecords(); };
  handlers.LeavingBackendIds = [] { return std::vector<std::string>(); };
  handlers.OnPeerLeavingBackends = [](const auto &ids) { return ids; };
  handlers.OnPeerEngineLoads = [](const auto &) {};
  handlers.OnPeerDispatch = [](const auto &) {};
  return handlers;
}

std::unique_ptr<PeerService> startNode(const std::string &name,
                                       const std::string &key) {
  Member self;
  self.Name = name;
  self.Zone = "zone-a";
  self.Incarnation = 1;
  DetectorSettings detector;
  detector.Period = absl::Milliseconds(100);
  TransportSettings transport;
  transport.SecretKey = key;
  auto node =
      std::make_unique<PeerService>(self, detector, transport, idleHandlers());
  if (!node->start())
    return nullptr;
  return node;
}

} // namespace

TEST_GROUP(Peers){};

TEST(Peers, NodesWithTheSameKeyJoinAndOthersAreRejected) {
  const std::string key = newKey();
  const auto one = startNode("one", key);
  const auto two = startNode("two", key);
  const auto nodeWithOtherKey = startNode("stranger", newKey());
  const auto nodeWithoutKey = startNode("open", "");
  for (const auto *it : {&two, &nodeWithOtherKey, &nodeWithoutKey})
    (*it)->addSeed(one->address());
  CHECK(eventually([&] { return one->members().size() == 1; }));
  CHECK(eventually([&] { return two->members().size() == 1; }));
  // Long enough for a dozen attempts of the nodes that must be rejected.
  CHECK_FALSE(eventually([&] { return one->members().size() > 1; },
                         std::chrono::milliseconds(1200)));
  LONGS_EQUAL(0, nodeWithOtherKey->members().size());
  LONGS_EQUAL(0, nodeWithoutKey->members().size());
}

TEST(Peers, StoppedNodeIsSeenAsLeft) {
  const auto one = startNode("one", "");
  auto two = startNode("two", "");
  two->addSeed(one->address());
  CHECK(eventually([&] { return one->members().size() == 1; }));
  CHECK(eventually([&] { return two->members().size() == 1; }));
  two->stop();
  CHECK(eventually(
      [&] { return one->members()[0].Status == MemberStatus::Left; }));
}

TEST(Peers, DecodeRejectsMalformedMessages) {
  CHECK_FALSE(drivers::peer::decode("").has_value());
  CHECK_FALSE(drivers::peer::decode("garbage").has_value());
  PeerMessage message;
  message.From.Name = "n";
  message.Body = LeavingBackends{{"engine-1"}};
  const std::string bytes = drivers::peer::encode(message);
  CHECK(drivers::peer::decode(bytes).has_value());
  CHECK_FALSE(
      drivers::peer::decode(bytes.substr(0, bytes.size() - 3)).has_value());
}

TEST(Peers, EveryMessageBodyRoundTrips) {
  const PeerBody bodies[] = {Ping{7, true},
                             Ack{8, "n"},
                             IndirectPing{9, "n", "1:2"},
                             ProfileRequest{10},
                             ProfileRecords{1, 2, {"{}"}, "1:2"},
                             ProfileConfirm{11},
                             LeavingBackends{},
                             LeavingBackends{{"e"}},
                             EngineLoads{},
                             Dispatch{"e", 5, 6},
                             EngineLoads{{{"e", {}}}}};
  for (const PeerBody &it : bodies) {
    PeerMessage message;
    message.From.Name = "n";
    message.Body = it;
    const auto read = drivers::peer::decode(drivers::peer::encode(message));
    CHECK(read.has_value());
    LONGS_EQUAL(it.index(), read->Body.index());
  }
}

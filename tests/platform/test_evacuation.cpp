#include "drivers/clock/clock.h"
#include "drivers/loop/event_loop.h"
#include "drivers/peer/peer_transport.h"
#include "drivers/relay/node_update.h"
#include "drivers/relay/peer_link.h"
#include "tests/support/relay_fixture.h"
#include "tests/support/reserving_engine.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <future>
#include <memory>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally;
using namespace orioletally::tests;
using core::fleet::EvacuationChange;
using core::platform::FleetTopic;

namespace {

using std::chrono::milliseconds;

/// The users' bound from the store's confirmation of the row until no request
/// reaches the zone (evac_ms).
constexpr int DeadlineMs = 5'000;
/// The node's own zone, whose servers it prefers, and another one.
constexpr const char *Near = "z";
constexpr const char *Far = "y";
constexpr const char *LongPrompt = "X-Orioletally-Token-Counts: 60000,100\r\n";

/// The lines of the log whose event is \p event and whose zone is \p zone.
std::vector<nlohmann::json> zoneLines(const RelayFixture &node,
                                      const std::string &event,
                                      const std::string &zone) {
  std::vector<nlohmann::json> result;
  std::istringstream lines(node.Process.log());
  for (std::string line; std::getline(lines, line);) {
    const auto it = nlohmann::json::parse(line, nullptr, false);
    if (it.is_object() && it.value("event", "") == event &&
        it.value("zone", "") == zone)
      result.push_back(it);
  }
  return result;
}

/// Waits for the \p n-th line of \p event about \p zone; null if there is none
/// in time.
nlohmann::json waitLine(const RelayFixture &node, const std::string &event,
                        const std::string &zone, size_t n = 1) {
  within(DeadlineMs, [&] { return zoneLines(node, event, zone).size() >= n; });
  const auto lines = zoneLines(node, event, zone);
  return lines.size() < n ? nlohmann::json() : lines[n - 1];
}

std::string sourceOf(const nlohmann::json &line) {
  return line.is_object() ? line.value("source", "") : "";
}

/// A signal from the test to the scripts of its servers.
struct Signal {
  std::promise<void> Promise;
  std::shared_future<void> Future = Promise.get_future().share();

  /// Waits at most as long as no test takes.
  void wait() const { Future.wait_for(std::chrono::seconds(10)); }
  void set() { Promise.set_value(); }
};

} // namespace

TEST_GROUP(Evacuation) {
  RelayFixture node;

  void setup() override { node.configure(1); }

  void evacuate(const std::string &zone) {
    node.Store.put("op", "evacuate/" + zone, "{}");
  }
  void lift(const std::string &zone) {
    node.Store.remove("op", "evacuate/" + zone);
  }
  void evacuateAndWait(const std::string &zone) {
    evacuate(zone);
    CHECK(waitLine(node, "zone_evacuated", zone).is_object());
  }
  void listNearAndFar(const std::string &service, const StandInBackend &near,
                      const StandInBackend &far) {
    for (int n = 0; n < 2; ++n)
      node.listBackend(fmt::format("near-{}", n), service, near.address(),
                       "ready", Near);
    node.listBackend("far", service, far.address(), "ready", Far);
  }
  /// Checks that \p count calls get status \p status.
  void callTimes(int count, int status = 200, const char *path = "/read/x") {
    for (int n = 0; n < count; ++n)
      LONGS_EQUAL(status, node.call("GET", path).Status);
  }
};

// Guards against plain calls that reach the zone, and against a zone that stays
// closed after the row is removed.
TEST(Evacuation, PlainCallsLeaveTheZoneAndComeBack) {
  StandInBackend near(scripts::answer("near"));
  StandInBackend far(scripts::answer("far"));
  listNearAndFar("plain", near, far);
  CHECK(node.start(3));
  callTimes(3);
  CHECK(near.attempts() > 0);
  evacuate(Near);
  const auto line = waitLine(node, "zone_evacuated", Near);
  STRCMP_EQUAL("store", sourceOf(line).c_str());
  CHECK(line["row_version"].get<uint64_t>() > 0);
  CHECK(line["backends"] == nlohmann::json({"near-0", "near-1"}));
  const int before = near.attempts();
  callTimes(20);
  callTimes(5, 200, "/write/x");
  LONGS_EQUAL(before, near.attempts());
  LONGS_EQUAL(25, far.attempts());
  lift(Near);
  CHECK(waitLine(node, "zone_evacuation_lifted", Near).is_object());
  callTimes(20);
  CHECK(near.attempts() > before);
}

// Guards against a running stream that is cut off, and against new streams that
// reach the zone.
TEST(Evacuation, RunningStreamGoesOnAndNewOnesLeaveTheZone) {
  Signal go;
  StandInBackend near(
      [&](const lab::RawRequest &request, const lab::RawConnection &out) {
        go.wait();
        return scripts::stream(1, 5, 20)(request, out);
      });
  StandInBackend far(scripts::stream(1, 5, 1));
  listNearAndFar("engine", near, far);
  CHECK(node.start(3));
  CallerAnswer running;
  std::jthread caller([&] {
    running = node.call("POST", "/once/x", "X-Orioletally-Attempt-Id: r\r\n");
  });
  CHECK(within(2'000, [&] { return near.attempts() == 1; }));
  evacuateAndWait(Near);
  for (int n = 0; n < 5; ++n)
    CHECK(node.call("POST", "/ask/x").Complete);
  go.set();
  caller.join();
  LONGS_EQUAL(200, running.Status);
  CHECK(running.Complete);
  LONGS_EQUAL(1, near.attempts());
  LONGS_EQUAL(5, far.attempts());
}

// Guards against a stream that breaks off in the zone and is resumed there.
TEST(Evacuation, StreamResumesInAnotherZone) {
  Signal go;
  StandInBackend near(
      [&](const lab::RawRequest &request, const lab::RawConnection &out) {
        go.wait();
        return scripts::brokenStream(2)(request, out);
      });
  StandInBackend far(scripts::stream(3, 5, 1));
  listNearAndFar("engine", near, far);
  CHECK(node.start(3));
  CallerAnswer answer;
  std::jthread caller([&] { answer = node.call("POST", "/ask/x"); });
  CHECK(within(2'000, [&] { return near.attempts() == 1; }));
  evacuateAndWait(Near);
  go.set();
  caller.join();
  CHECK(answer.Complete);
  LONGS_EQUAL(1, near.attempts());
  LONGS_EQUAL(1, far.attempts());
}

// Guards against a retry of a refused call in the zone.
TEST(Evacuation, RetryGoesToAnotherZone) {
  Signal go;
  StandInBackend near([&](const lab::RawRequest &request,
                          const lab::RawConnection &out) {
    go.wait();
    return scripts::bytes("HTTP/1.1 503 X\r\nX-Orioletally-Attempt-Id: {id}\r\n"
                          "X-Orioletally-Not-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n",
                          false)(request, out);
  });
  StandInBackend far(scripts::answer("far"));
  listNearAndFar("plain", near, far);
  CHECK(node.start(3));
  CallerAnswer answer;
  std::jthread caller([&] { answer = node.call("POST", "/write/x"); });
  CHECK(within(2'000, [&] { return near.attempts() == 1; }));
  evacuateAndWait(Near);
  go.set();
  caller.join();
  STRCMP_EQUAL("far", answer.Body.c_str());
  LONGS_EQUAL(1, near.attempts());
}

// Guards against a second attempt, beside a silent one, in the zone.
TEST(Evacuation, SecondAttemptGoesToAnotherZone) {
  StandInBackend near(scripts::silence());
  StandInBackend far(scripts::stream(1, 5, 1));
  listNearAndFar("engine", near, far);
  CHECK(node.start(3));
  CallerAnswer answer;
  std::jthread caller([&] { answer = node.call("POST", "/ask/x"); });
  CHECK(within(2'000, [&] { return near.attempts() == 1; }));
  evacuateAndWait(Near);
  caller.join();
  CHECK(answer.Complete);
  LONGS_EQUAL(1, near.attempts());
  LONGS_EQUAL(1, far.attempts());
}

// Guards against a prompt that waits for its reserved memory while the zone is
// evacuated, and is written then; and against memory that stays reserved.
TEST(Evacuation, PromptThatWaitsForMemoryIsSentToAnotherZone) {
  configureSmallEngines(node, 2, 6'000);
  std::atomic<int> orders = 0;
  std::atomic<int> releases = 0;
  std::atomic<int> prompts = 0;
  StandInBackend near([&](const lab::RawRequest &request,
                          const lab::RawConnection &out) {
    if (request.Target.find("order") == std::string::npos) {
      ++prompts;
      return scripts::stream(1, 3, 1)(request, out);
    }
    const bool isRelease = request.Body.find("release") != std::string::npos;
    ++(isRelease ? releases : orders);
    // Less than the time limit of a command.
    if (!isRelease)
      std::this_thread::sleep_for(milliseconds(250));
    out.write("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}");
    return true;
  });
  ReservingEngine far(scripts::stream(1, 3, 1));
  for (int n = 0; n < 4; ++n) {
    node.listBackend(fmt::format("near-{}", n), "engine", near.address(),
                     "ready", Near);
    node.listBackend(fmt::format("far-{}", n), "engine", far.address(), "ready",
                     Far);
  }
  CHECK(node.start(8));
  CallerAnswer answer;
  std::jthread caller([&] {
    answer = node.call(
        "POST", "/ask/x",
        fmt::format("X-Orioletally-Attempt-Id: w\r\n{}", LongPrompt), "b");
  });
  const bool hasBegun = within(2'000, [&] { return orders > 0; });
  evacuate(Near);
  caller.join();
  CHECK(hasBegun);
  LONGS_EQUAL(200, answer.Status);
  CHECK(answer.Complete);
  LONGS_EQUAL(0, prompts);
  LONGS_EQUAL(1, orders);
  CHECK(within(1'000, [&] { return releases >= 1; }));
  CHECK(within(1'000, [&] { return far.left() == 0; }));
  CHECK(far.made() > 0);
  const auto call = node.waitCallLog("w");
  STRCMP_EQUAL("evacuated",
               call["attempts"][0]["end"].get<std::string>().c_str());
}

// Guards against a running prompt that loses its memory at helpers in the zone,
// and against memory that stays reserved there after its end.
TEST(Evacuation, RunningPromptKeepsItsReservedMemoryUntilItsEnd) {
  configureSmallEngines(node, 2, 9'000);
  Signal go;
  std::atomic<int> reserves = 0;
  std::atomic<int> releases = 0;
  StandInBackend near([&](const lab::RawRequest &request,
                          const lab::RawConnection &out) {
    if (request.Target.find("order") == std::string::npos) {
      go.wait();
      return scripts::stream(1, 3, 1)(request, out);
    }
    const bool isRelease = request.Body.find("release") != std::string::npos;
    ++(isRelease ? releases : reserves);
    out.write("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}");
    return true;
  });
  for (int n = 0; n < 4; ++n)
    node.listBackend(fmt::format("near-{}", n), "engine", near.address(),
                     "ready", Near);
  CHECK(node.start(4));
  CallerAnswer answer;
  std::jthread caller(
      [&] { answer = node.call("POST", "/once/x", LongPrompt, "b"); });
  // The first renewal comes after a second.
  const bool isRenewed = within(4'000, [&] { return reserves >= 2; });
  evacuate(Near);
  const bool isInForce = waitLine(node, "zone_evacuated", Near).is_object();
  std::this_thread::sleep_for(milliseconds(100));
  const int before = reserves;
  std::this_thread::sleep_for(milliseconds(1'500));
  const int after = reserves;
  const int releasedBefore = releases;
  go.set();
  caller.join();
  CHECK(isRenewed && isInForce);
  CHECK(after > before);
  LONGS_EQUAL(0, releasedBefore);
  CHECK(answer.Complete);
  CHECK(within(1'000, [&] { return releases >= 1; }));
}

// Guards against a node that serves calls before it knows the evacuations.
TEST(Evacuation, NodeThatStartsMeanwhileSendsNothingToTheZone) {
  StandInBackend near(scripts::answer("near"));
  StandInBackend far(scripts::answer("far"));
  listNearAndFar("plain", near, far);
  evacuate(Near);
  // Calls arrive while the node reads its configuration.
  node.Process.start({"entry", "--settings", node.writeSettings("")});
  CHECK(within(15'000,
               [&] { return node.call("GET", "/read/x").Status == 200; }));
  callTimes(10);
  LONGS_EQUAL(0, near.attempts());
  STRCMP_EQUAL("snapshot",
               sourceOf(waitLine(node, "zone_evacuated", Near)).c_str());
}

// Guards against a frozen node that goes on without the rows that it missed.
TEST(Evacuation, FrozenNodeFollowsInTime) {
  StandInBackend near(scripts::answer("near"));
  StandInBackend far(scripts::answer("far"));
  listNearAndFar("plain", near, far);
  CHECK(node.start(3));
  CHECK(node.Process.freeze());
  evacuate(Near);
  std::this_thread::sleep_for(milliseconds(2'500));
  node.Process.signal(SIGCONT);
  CHECK(waitLine(node, "zone_evacuated", Near).is_object());
  const int before = near.attempts();
  callTimes(10);
  LONGS_EQUAL(before, near.attempts());
}

// Guards against calls that wait, or that are refused without a reason, while
// no zone is left.
TEST(Evacuation, CallsAreRefusedAtOnceWhileAllZonesAreEvacuated) {
  StandInBackend near(scripts::answer("near"));
  StandInBackend far(scripts::answer("far"));
  listNearAndFar("plain", near, far);
  CHECK(node.start(3));
  evacuateAndWait(Near);
  evacuateAndWait(Far);
  const auto start = std::chrono::steady_clock::now();
  const CallerAnswer answer =
      node.call("GET", "/read/x", "X-Orioletally-Attempt-Id: all\r\n");
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(500));
  LONGS_EQUAL(503, answer.Status);
  CHECK(std::atof(answer.header("retry-after").c_str()) >= 2);
  const auto call = node.waitCallLog("all");
  STRCMP_EQUAL("evacuation", call["rule"].get<std::string>().c_str());
  STRCMP_EQUAL("no_backend", call["code"].get<std::string>().c_str());
  LONGS_EQUAL(0, near.attempts() + far.attempts());
  lift(Far);
  CHECK(within(DeadlineMs,
               [&] { return node.call("GET", "/read/x").Status == 200; }));
  LONGS_EQUAL(0, near.attempts());
}

// Guards against rows that hinder the node, and against a configuration that
// resets the evacuations or the reverse.
TEST(Evacuation, RowsAndConfigurationsAreIndependent) {
  StandInBackend near(scripts::answer("near"));
  StandInBackend far(scripts::answer("far"));
  listNearAndFar("plain", near, far);
  CHECK(node.start(3));
  node.Store.put("op", "evacuate/nowhere", "\xff\xfe{not JSON");
  CHECK(waitLine(node, "zone_evacuated", "nowhere").is_object());
  callTimes(3);
  CHECK(near.attempts() > 0);
  evacuateAndWait(Near);
  const int before = near.attempts();
  for (int version = 2; version <= 6; ++version) {
    node.configure(version, fmt::format("/new-{}/", version));
    const std::string path = fmt::format("/new-{}/x", version);
    CHECK(within(DeadlineMs,
                 [&] { return node.call("GET", path).Status == 200; }));
    callTimes(3);
  }
  LONGS_EQUAL(before, near.attempts());
  LONGS_EQUAL(0, zoneLines(node, "zone_evacuation_lifted", Near).size());
}

// Guards against an evacuation that outlives its row, or comes back without a
// log line, when the store comes back from a copy.
TEST(Evacuation, CopyOfTheStoreReplacesTheEvacuations) {
  StandInBackend near(scripts::answer("near"));
  StandInBackend far(scripts::answer("far"));
  listNearAndFar("plain", near, far);
  CHECK(node.start(3));
  node.Store.save();
  evacuateAndWait(Near);
  node.Store.restore();
  STRCMP_EQUAL(
      "snapshot",
      sourceOf(waitLine(node, "zone_evacuation_lifted", Near)).c_str());
  callTimes(20);
  CHECK(near.attempts() > 0);

  evacuate(Near);
  CHECK(waitLine(node, "zone_evacuated", Near, 2).is_object());
  node.Store.save();
  lift(Near);
  CHECK(waitLine(node, "zone_evacuation_lifted", Near, 2).is_object());
  node.Store.restore();
  STRCMP_EQUAL("snapshot",
               sourceOf(waitLine(node, "zone_evacuated", Near, 3)).c_str());
  const int before = near.attempts();
  callTimes(10);
  LONGS_EQUAL(before, near.attempts());
}

// Guards against a node that follows the store only: the second node's store
// never has the row. Its snapshots are older than what its peer announces and
// must not lift the evacuation.
TEST(Evacuation, NodeThatHearsItFromItsPeerOnlyFollows) {
  StandInBackend near(scripts::answer("near"));
  StandInBackend far(scripts::answer("far"));
  RelayFixture second;
  second.Name = "n2";
  second.configure(1);
  for (RelayFixture *it : {&node, &second}) {
    it->listBackend("near", "plain", near.address(), "ready", Near);
    it->listBackend("far", "plain", far.address(), "ready", Far);
  }
  CHECK(node.start(2));
  CHECK(within(DeadlineMs,
               [&] { return !node.Store.value("entry-nodes", "n1").empty(); }));
  for (const auto &[table, key] :
       {std::pair("entry-keys", "current"), std::pair("entry-nodes", "n1")})
    second.Store.put(table, key, node.Store.value(table, key));
  CHECK(second.start(2));
  CHECK(second.Process.waitEvent("peer_found", std::chrono::seconds(15))
            .has_value());
  for (int n = 0; n < 200; ++n)
    node.Store.put("unwatched", "k", "v");
  evacuateAndWait(Near);
  STRCMP_EQUAL("peer",
               sourceOf(waitLine(second, "zone_evacuated", Near)).c_str());
  const int before = near.attempts();
  second.Store.compact();
  for (int n = 0; n < 20; ++n) {
    LONGS_EQUAL(200, second.call("GET", "/read/x").Status);
    std::this_thread::sleep_for(milliseconds(60));
  }
  LONGS_EQUAL(before, near.attempts());
  LONGS_EQUAL(0, zoneLines(second, "zone_evacuation_lifted", Near).size());
  lift(Near);
  STRCMP_EQUAL(
      "peer",
      sourceOf(waitLine(second, "zone_evacuation_lifted", Near)).c_str());
  for (int n = 0; n < 5; ++n)
    LONGS_EQUAL(200, second.call("GET", "/read/x").Status);
  CHECK(near.attempts() > before);
}

namespace {

/// A PeerLink of a large cell, on a loop of the test, and one of its peers.
class LinkedNode {
public:
  /// The addresses are free.
  LinkedNode(std::string address, std::string peerAddress)
      : Address(std::move(address)), PeerAddress(std::move(peerAddress)),
        Link(Loop, entryOf("n0", Address), handlers()),
        Peer(peerSettings(), [](std::string_view) {}) {
    std::vector<core::platform::NodeEntry> nodes;
    for (int n = 0; n < CellNodes; ++n)
      nodes.push_back(
          entryOf(fmt::format("n{}", n), n == 0 ? Address : PeerAddress));
    Link.nodesRead(nodes, {}, drivers::clock::steadyNow());
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_CHECK(Peer.start());
          BOOST_LEAF_CHECK(Link.start(Key));
          IsStarted = true;
          return {};
        },
        [] {});
  }
  ~LinkedNode() {
    Link.stop();
    Peer.stop();
    Loop.end();
  }
  LinkedNode(const LinkedNode &) = delete;
  LinkedNode &operator=(const LinkedNode &) = delete;

  /// Sends \p update, which says that the store has just answered the peer,
  /// every 50 ms for \p time.
  /// Each message is received \p delay after it was sent.
  void hear(drivers::relay::NodeUpdate update, milliseconds time,
            absl::Duration delay = absl::ZeroDuration()) {
    update.Node = "n1";
    update.PeerAddress = PeerAddress;
    update.Incarnation = 1;
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      const absl::Time sentAt = drivers::clock::steadyNow() - delay;
      update.ConfigAnsweredAt = sentAt;
      update.BackendsAnsweredAt = sentAt;
      Peer.send(Address, drivers::relay::encodeNodeUpdate(update, sentAt));
      Loop.run_for(milliseconds(50));
    }
  }

  /// For how long the node's configuration may have been outdated.
  absl::Duration configAge() const {
    const absl::Time now = drivers::clock::steadyNow();
    return now - Link.configCurrency(now).CurrentAt;
  }

  bool IsStarted = false;
  int ConfigReads = 0;
  int ConfigAnswers = 0;
  int BackendsAnswers = 0;
  core::fleet::ZoneEvacuations Evacuations;

private:
  static constexpr int CellNodes = 12;

  static core::platform::NodeEntry entryOf(const std::string &name,
                                           const std::string &address) {
    core::platform::NodeEntry result;
    result.Name = name;
    result.PeerAddress = address;
    result.Incarnation = 1;
    return result;
  }

  drivers::peer::TransportSettings peerSettings() const {
    drivers::peer::TransportSettings settings;
    settings.Port =
        std::atoi(PeerAddress.substr(PeerAddress.rfind(':') + 1).c_str());
    settings.SecretKey = Key;
    return settings;
  }

  drivers::relay::PeerLinkHandlers handlers() {
    drivers::relay::PeerLinkHandlers result;
    result.OnPeerMessage = [](const std::string &) {};
    result.OnPeerLoadUpdate = [](const auto &) {};
    result.OnPeerLeavingBackends = [](const auto &) {};
    result.OnPeerConfig = [](uint64_t, std::string) {};
    result.OnPeerBackendChanges = [](uint64_t, auto) {};
    result.Refresh = [this](FleetTopic topic) {
      ConfigReads += topic == FleetTopic::Config ? 1 : 0;
    };
    result.StoreCalls = [](FleetTopic) {
      return core::fleet::StoreCallTimes();
    };
    result.StoreVersion = [](FleetTopic) { return uint64_t{0}; };
    result.OnPeerStoreAnswer = [this](FleetTopic topic, absl::Time,
                                      const drivers::relay::NodeUpdate &) {
      ++(topic == FleetTopic::Config ? ConfigAnswers : BackendsAnswers);
    };
    result.BackendsAppliedVersion = [] { return uint64_t{0}; };
    result.NewestBackendChange = [] { return uint64_t{0}; };
    result.ConfigVersion = [] { return uint64_t{0}; };
    result.IsReadingConfig = [] { return false; };
    result.ConfigText = [] { return std::string(); };
    result.LeavingBackendIds = [] { return std::vector<std::string>(); };
    result.OnPeerCrash = [](const auto &) {};
    result.OnPeerSoundParts = [](const auto &) {};
    result.OnPeerQuarantine = [](const auto &) {};
    result.QuarantinedParts = [] {
      return std::vector<core::relay::QuarantinedPart>();
    };
    result.OnPeerLimits = [](const auto &) {};
    result.RequestLimits = [] {
      return std::vector<core::fleet::BackendLimit>();
    };
    result.OnPeerEvacuations =
        [this](const std::vector<EvacuationChange> &statement,
               uint64_t version) {
          Evacuations.applyStatement(statement, version);
        };
    result.Evacuations = [this]() -> const core::fleet::ZoneEvacuations & {
      return Evacuations;
    };
    return result;
  }

  std::string Address;
  std::string PeerAddress;
  std::string Key = drivers::peer::makeSecretKey();
  drivers::loop::EventLoop Loop;
  drivers::relay::PeerLink Link;
  drivers::peer::PeerTransport Peer;
};

} // namespace

// Guards against a node that counts as current, and so doesn't read the store,
// although it lacks an evacuation that its peer has.
TEST(Evacuation, NodeThatLacksAnEvacuationIsNotCurrent) {
  const RelayFixture other;
  LinkedNode linked(node.PeersAddress, other.PeersAddress);
  CHECK(linked.IsStarted);
  drivers::relay::NodeUpdate update;
  update.EvacuationsVersion = 7;
  linked.hear(update, milliseconds(1'000));
  CHECK(linked.BackendsAnswers > 0);
  LONGS_EQUAL(0, linked.ConfigAnswers);
  linked.hear(update, milliseconds(1'500));
  CHECK(linked.ConfigReads > 0);
  LONGS_EQUAL(0, linked.ConfigAnswers);
  update.Evacuations = {{"a", 7, false}};
  linked.hear(update, milliseconds(300));
  CHECK(linked.Evacuations.contains("a"));
  CHECK(linked.ConfigAnswers > 0);
}

// Guards against reads of the store where no operator uses evacuations.
TEST(Evacuation, WithoutRowsNothingIsReadForThem) {
  const RelayFixture other;
  LinkedNode linked(node.PeersAddress, other.PeersAddress);
  CHECK(linked.IsStarted);
  linked.hear({}, milliseconds(2'500));
  CHECK(linked.ConfigAnswers > 0);
  LONGS_EQUAL(0, linked.ConfigReads);
}

// Guards against a node that takes for news what its peers said before it was
// frozen or fell behind with reading.
TEST(Evacuation, DelayedStatementsDoNotMakeANodeCurrent) {
  const RelayFixture other;
  LinkedNode linked(node.PeersAddress, other.PeersAddress);
  CHECK(linked.IsStarted);
  linked.hear({}, milliseconds(500));
  CHECK(linked.configAge() < absl::Milliseconds(200));
  linked.hear({}, milliseconds(1'000), absl::Seconds(3));
  CHECK(linked.configAge() >= absl::Milliseconds(900));
  linked.hear({}, milliseconds(200));
  CHECK(linked.configAge() < absl::Milliseconds(200));
}

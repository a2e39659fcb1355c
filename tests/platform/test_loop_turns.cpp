#include "drivers/clock/clock.h"
#include "drivers/loop/event_loop.h"
#include "drivers/relay/node_update.h"
#include "platform/store_fleet_source.h"
#include "platform/wire_names.h"
#include "tests/lab/store_server.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fmt/format.h>
#include <functional>
#include <set>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally;
using core::platform::FleetTopic;
namespace wire = platform::wire;

namespace {

/// 25 ms on a VM that has 0.12 of a core.
constexpr absl::Duration MaxTurn = absl::Milliseconds(3);
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int SanitizerFactor = 20;
#else
constexpr int SanitizerFactor = 1;
#endif
constexpr absl::Duration MaxWait = absl::Seconds(60);
/// A change is made this often; interrupts of the machine lengthen one of them.
constexpr int Repetitions = 3;
constexpr int Servers = 300;

std::string configText(uint64_t version, int routes, int timeoutMs,
                       int otherTimeoutMs) {
  std::string text = fmt::format(R"({{"version":{},"routes":[)", version);
  for (int n = 0; n < routes; ++n)
    text += fmt::format(
        R"({}{{"name":"route-{}","host":"h{}.example","prefix":"/p{}/",)"
        R"("kind":"streaming","timeout_ms":{},"target_latency_ms":300,)"
        R"("gap_aim_ms":200,"priority":1,"max_attempts":2,"resumable":true,)"
        R"("traffic_split":[{{"service":"x","weight":90}},)"
        R"({{"service":"y","weight":10}}]}})",
        n == 0 ? "" : ",", n, n % 100, n, n == 0 ? timeoutMs : otherTimeoutMs);
  return text + R"(],"services":[{"name":"x"},{"name":"y"}]})";
}

std::string backendText(int n, int born) {
  return fmt::format(
      R"({{"service":"x","address":"10.0.{}.{}:80","zone":"z","slots":16,)"
      R"("state":"ready","born":{},"cold_remaining_ms":0}})",
      n / 200, n % 200 + 1, 1'764'800'000'000 + born);
}

/// Takes over what a store source reads, as a node does.
class Taker : public core::platform::FleetListener {
public:
  void
  configRead(std::shared_ptr<const core::routes::RoutingConfig> read) override {
    if (Config != nullptr && read->version() <= Config->version())
      return;
    Config = std::move(read);
    ConfigReadAt = drivers::clock::steadyNow();
    IsConfigNew = true;
    Versions.push_back(Config->version());
  }
  void evacuationsRead(std::vector<core::fleet::EvacuationChange> evacuations,
                       uint64_t) override {
    Evacuations = std::move(evacuations);
    ++EvacuationSnapshots;
  }
  void evacuationsChanged(
      std::vector<core::fleet::EvacuationChange> changes) override {
    for (core::fleet::EvacuationChange &it : changes)
      EvacuationChanges.push_back(std::move(it));
  }
  void backendsRead(std::vector<core::fleet::BackendEntry> entries,
                    uint64_t) override {
    Backends = std::move(entries);
    ++Snapshots;
  }
  void backendsChanged(std::vector<core::fleet::BackendChange>) override {}
  void nodesRead(const std::vector<core::platform::NodeEntry> &nodes) override {
    Nodes = nodes.size();
  }
  void quarantineRead(
      const std::vector<core::relay::QuarantinedPart> &parts) override {
    QuarantinedParts = parts.size();
  }
  bool peerKeyRead(const std::string &) override { return true; }
  void nodeUnregistered(const core::platform::NodeEntry &, bool) override {}
  void storeCallFailed(FleetTopic, const std::string &) override {
    ++FailedCalls;
  }
  void storeCallAnswered(FleetTopic topic, absl::Time at) override {
    if (topic == FleetTopic::Config && std::exchange(IsConfigNew, false))
      ConfigAnsweredAt = at;
  }
  void rowRejected(FleetTopic, const std::string &key,
                   const std::string &) override {
    Rejected.insert(key);
  }

  uint64_t version() const { return Config ? Config->version() : 0; }

  std::shared_ptr<const core::routes::RoutingConfig> Config;
  std::vector<uint64_t> Versions;
  std::vector<core::fleet::BackendEntry> Backends;
  std::vector<core::fleet::EvacuationChange> Evacuations;
  std::vector<core::fleet::EvacuationChange> EvacuationChanges;
  int EvacuationSnapshots = 0;
  std::set<std::string> Rejected;
  size_t QuarantinedParts = 0;
  size_t Nodes = 0;
  int Snapshots = 0;
  int FailedCalls = 0;
  /// When the newest configuration was read, and when the store's answer with
  /// it arrived; IsConfigNew is set until that is known.
  absl::Time ConfigReadAt;
  absl::Time ConfigAnsweredAt;
  bool IsConfigNew = false;
};

platform::StoreSourceSettings settingsFor(const std::string &address) {
  platform::StoreSourceSettings settings;
  settings.Address = address;
  settings.Self.Name = "n";
  settings.Self.PeerAddress = "127.0.0.1:9";
  settings.MakePeerKey = [] { return std::string("k"); };
  settings.Timeout = absl::Seconds(30);
  return settings;
}

/// Runs a store source and measures the processor time of each turn.
struct SourceRun {
  SourceRun() : Source(Loop, settingsFor(Store.address())) {}
  ~SourceRun() {
    Source.stop();
    Loop.end();
  }

  /// Runs the loop until \p condition is true; returns the longest turn.
  absl::Duration runUntil(const std::function<bool()> &condition) {
    absl::Duration longest = absl::ZeroDuration();
    const absl::Time end = drivers::clock::steadyNow() + MaxWait;
    while (!condition() && drivers::clock::steadyNow() < end) {
      const absl::Duration before = drivers::clock::threadProcessorTime();
      Loop.run_one_for(std::chrono::seconds(1));
      longest =
          std::max(longest, drivers::clock::threadProcessorTime() - before);
    }
    CHECK(condition());
    return longest;
  }

  absl::Duration takeOver(const std::string &text, uint64_t version) {
    Store.put(std::string(wire::ConfigTable), std::string(wire::ConfigKey),
              text);
    return runUntil([&] { return Listener.version() == version; });
  }

  drivers::loop::EventLoop Loop;
  lab::StoreServer Store;
  Taker Listener;
  platform::StoreFleetSource Source;
};

struct MeasuredTurn {
  std::string What;
  absl::Duration Longest;
};

void checkTurns(const std::vector<MeasuredTurn> &turns) {
  for (const MeasuredTurn &it : turns)
    std::printf("%s: %.2f ms\n", it.What.c_str(),
                absl::ToDoubleMilliseconds(it.Longest));
  for (const MeasuredTurn &it : turns)
    CHECK_TEXT(it.Longest <= SanitizerFactor * MaxTurn, it.What.c_str());
}

void checkConfigChanges(int routes) {
  SourceRun run;
  run.Store.put(std::string(wire::ConfigTable), std::string(wire::ConfigKey),
                configText(1, routes, 1, 1));
  run.Source.start(run.Listener);
  const absl::Duration first =
      run.runUntil([&] { return run.Listener.version() == 1; });
  absl::Duration one = absl::InfiniteDuration();
  absl::Duration all = absl::InfiniteDuration();
  uint64_t version = 1;
  for (int n = 0; n < Repetitions; ++n) {
    ++version;
    one = std::min(
        one, run.takeOver(configText(version, routes, 10 + n, 1), version));
  }
  for (int n = 0; n < Repetitions; ++n) {
    ++version;
    all = std::min(
        all, run.takeOver(configText(version, routes, 5, 10 + n), version));
  }
  LONGS_EQUAL(routes, run.Listener.Config->routes().size());
  checkTurns({{fmt::format("{} routes, start", routes), first},
              {fmt::format("{} routes, change of one", routes), one},
              {fmt::format("{} routes, change of all", routes), all}});
}

} // namespace

TEST_GROUP(LoopTurns){};

TEST(LoopTurns, ConfigurationWithoutRoutes) { checkConfigChanges(0); }

TEST(LoopTurns, ConfigurationOf1000Routes) { checkConfigChanges(1'000); }

TEST(LoopTurns, ConfigurationOf3000Routes) { checkConfigChanges(3'000); }

TEST(LoopTurns, ConfigurationOf10000Routes) { checkConfigChanges(10'000); }

TEST(LoopTurns, ListOf300ServersAfterACutOfTheWatch) {
  SourceRun run;
  for (int n = 0; n < Servers; ++n)
    run.Store.put(std::string(wire::BackendsTable), fmt::format("i-{}", n),
                  backendText(n, 0));
  run.Source.start(run.Listener);
  run.runUntil([&] { return run.Listener.Snapshots == 1; });
  absl::Duration least = absl::InfiniteDuration();
  for (int n = 0; n < Repetitions; ++n) {
    const int snapshots = run.Listener.Snapshots;
    run.Source.refresh(FleetTopic::Backends);
    least = std::min(least, run.runUntil([&] {
      return run.Listener.Snapshots > snapshots;
    }));
  }
  LONGS_EQUAL(Servers, run.Listener.Backends.size());
  checkTurns({{"list of 300 servers", least}});
}

TEST(LoopTurns, ConfigurationForAnotherNode) {
  const absl::Time now = drivers::clock::steadyNow();
  const std::string text = configText(1, 10'000, 1, 1);
  absl::Duration sent = absl::InfiniteDuration();
  absl::Duration received = absl::InfiniteDuration();
  for (int n = 0; n < Repetitions; ++n) {
    absl::Duration before = drivers::clock::threadProcessorTime();
    drivers::relay::NodeUpdate update;
    update.Node = "n";
    update.Config = text;
    const std::string bytes =
        drivers::relay::encodeNodeUpdate(std::move(update), now);
    sent = std::min(sent, drivers::clock::threadProcessorTime() - before);
    before = drivers::clock::threadProcessorTime();
    const auto decoded = drivers::relay::decodeNodeUpdate(bytes, now);
    received =
        std::min(received, drivers::clock::threadProcessorTime() - before);
    CHECK(decoded->Config == text);
  }
  checkTurns({{"10000 routes, sent to a node", sent},
              {"10000 routes, received from a node", received}});
}

TEST(LoopTurns, QuarantineOf3000Parts) {
  SourceRun run;
  for (int n = 0; n < 3'000; ++n)
    run.Store.put(std::string(wire::QuarantineTable), fmt::format("p-{}", n),
                  R"({"until_ms":99999999999})");
  run.Source.start(run.Listener);
  const absl::Duration longest =
      run.runUntil([&] { return run.Listener.QuarantinedParts > 0; });
  LONGS_EQUAL(3'000, run.Listener.QuarantinedParts);
  checkTurns({{"quarantine of 3000 parts", longest}});
}

TEST(LoopTurns, ListOf500Nodes) {
  SourceRun run;
  for (int n = 0; n < 500; ++n)
    run.Store.put(std::string(wire::NodesTable), fmt::format("node-{}", n),
                  fmt::format(R"({{"peer_address":"10.1.0.{}:7000","zone":"z",)"
                              R"("region":"r","incarnation":5}})",
                              n % 250 + 1));
  run.Source.start(run.Listener);
  const absl::Duration longest =
      run.runUntil([&] { return run.Listener.Nodes >= 500; });
  checkTurns({{"list of 500 nodes", longest}});
}

TEST(LoopTurns, InvalidConfigurationIsReportedAndDoesNotHideALaterOne) {
  SourceRun run;
  run.Source.start(run.Listener);
  run.takeOver(configText(1, 1'000, 1, 1), 1);
  const std::string text = configText(2, 1'000, 1, 1);
  run.Store.put(std::string(wire::ConfigTable), std::string(wire::ConfigKey),
                text.substr(0, text.size() - 1));
  run.runUntil([&] { return !run.Listener.Rejected.empty(); });
  run.takeOver(configText(3, 1'000, 1, 1), 3);
  LONGS_EQUAL(2, run.Listener.Versions.size());
}

TEST(LoopTurns, OnlyTheNewestOfThePeersConfigurationsIsRead) {
  SourceRun run;
  run.Source.start(run.Listener);
  for (uint64_t n = 1; n <= 20; ++n)
    run.Source.readConfig(n, configText(n, 1'000, static_cast<int>(n), 1));
  run.Source.readConfig(7, configText(7, 1'000, 7, 1));
  CHECK(run.Source.isReadingConfig() || run.Listener.version() == 0);
  run.runUntil([&] { return run.Listener.version() == 20; });
  CHECK(run.Listener.Versions.size() <= 2);
  CHECK_FALSE(run.Source.isReadingConfig());
}

TEST(LoopTurns, RefreshWhileAnAnswerIsDecodedIsNoFailureOfTheStore) {
  SourceRun run;
  run.Source.start(run.Listener);
  run.takeOver(configText(1, 10, 1, 1), 1);
  run.Store.put(std::string(wire::ConfigTable), std::string(wire::ConfigKey),
                configText(2, 10'000, 1, 1));
  run.runUntil([&] { return run.Source.isReadingConfig(); });
  run.Source.refresh(FleetTopic::Config);
  run.takeOver(configText(3, 10, 1, 1), 3);
  LONGS_EQUAL(0, run.Listener.FailedCalls);
}

TEST(LoopTurns, StopDoesNotWaitForAConfigurationToBeRead) {
  const std::string text = configText(1, 10'000, 1, 1);
  auto run = std::make_unique<SourceRun>();
  run->Source.start(run->Listener);
  run->Source.readConfig(1, text);
  run->runUntil([&] { return run->Source.isReadingConfig(); });
  const absl::Time since = drivers::clock::steadyNow();
  run.reset();
  CHECK(drivers::clock::steadyNow() - since < absl::Seconds(2));
}

// Guards against rows of evacuations that are missed, parsed, or need calls of
// their own.
TEST(LoopTurns, EvacuationsAreReadWithTheConfiguration) {
  const std::string table(wire::ConfigTable);
  SourceRun run;
  run.Store.put(table, std::string(wire::ConfigKey), configText(1, 10, 1, 1));
  run.Store.put(table, "evacuate/a", "\xff not JSON");
  run.Store.put(table, "evacuate/", "{}");
  run.Store.put(table, "evacuated/b", "{}");
  run.Source.start(run.Listener);
  run.runUntil([&] { return run.Listener.version() == 1; });
  LONGS_EQUAL(1, run.Listener.EvacuationSnapshots);
  LONGS_EQUAL(1, run.Listener.Evacuations.size());
  STRCMP_EQUAL("a", run.Listener.Evacuations[0].Zone.c_str());
  const uint64_t first = run.Listener.Evacuations[0].RowVersion;
  CHECK(first > 0);

  std::vector<core::fleet::EvacuationChange> &changes =
      run.Listener.EvacuationChanges;
  run.Store.put(table, "evacuate/c/d", "");
  run.runUntil([&] { return changes.size() == 1; });
  STRCMP_EQUAL("c/d", changes[0].Zone.c_str());
  CHECK(!changes[0].Removed && changes[0].RowVersion > first);
  run.Store.remove(table, "evacuate/a");
  run.runUntil([&] { return changes.size() == 2; });
  STRCMP_EQUAL("a", changes[1].Zone.c_str());
  CHECK(changes[1].Removed && changes[1].RowVersion > changes[0].RowVersion);
  LONGS_EQUAL(0, run.Listener.Rejected.size());
}

// Guards against evacuations that outlive their rows after the store forgot its
// history or came back from a copy, which gives out versions again.
TEST(LoopTurns, EvacuationsAreReadWholeAfterALossOfHistory) {
  const std::string table(wire::ConfigTable);
  SourceRun run;
  run.Store.put(table, std::string(wire::ConfigKey), configText(1, 10, 1, 1));
  run.Store.save();
  run.Store.put(table, "evacuate/a", "{}");
  run.Source.start(run.Listener);
  run.runUntil([&] { return run.Listener.EvacuationSnapshots == 1; });
  const uint64_t first = run.Listener.Evacuations[0].RowVersion;
  run.Store.compact();
  run.runUntil([&] { return run.Listener.EvacuationSnapshots >= 2; });
  LONGS_EQUAL(1, run.Listener.Evacuations.size());
  run.Store.restore();
  run.runUntil([&] { return run.Listener.Evacuations.empty(); });
  run.Store.put(table, "evacuate/b", "{}");
  run.runUntil([&] { return run.Listener.EvacuationChanges.size() == 1; });
  CHECK(run.Listener.EvacuationChanges[0].RowVersion > first);
  LONGS_EQUAL(1, platform::eraOf(run.Listener.EvacuationChanges[0].RowVersion));
}

TEST(LoopTurns, VersionsNeverGoBack) {
  SourceRun run;
  run.Source.start(run.Listener);
  for (uint64_t n = 1; n <= 30; ++n)
    run.Store.put(std::string(wire::ConfigTable), std::string(wire::ConfigKey),
                  configText(n, 500, static_cast<int>(n), 1));
  run.runUntil([&] { return run.Listener.version() == 30; });
  CHECK(std::is_sorted(run.Listener.Versions.begin(),
                       run.Listener.Versions.end()));
}

// Guards against a configuration that counts as current until the end of its
// decoding, while the store has a newer one.
TEST(LoopTurns, AnswerCountsFromItsArrival) {
  SourceRun run;
  run.Source.start(run.Listener);
  for (uint64_t version = 1; version <= 3; ++version) {
    run.takeOver(configText(version, 3'000, 1, 1), version);
    run.runUntil([&] { return !run.Listener.IsConfigNew; });
    CHECK(run.Listener.ConfigAnsweredAt < run.Listener.ConfigReadAt);
  }
}

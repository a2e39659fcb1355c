#include "main/entry_node.h"

#include "core/relay/drain_plan.h"
#include "drivers/clock/clock.h"
#include "drivers/http/http_server.h"
#include "drivers/log/log.h"
#include "drivers/loop/endpoint.h"
#include "drivers/loop/event_loop.h"
#include "drivers/loop/loop_monitor.h"
#include "drivers/relay/cell_placer.h"
#include "drivers/relay/cold_log.h"
#include "drivers/relay/fleet_view.h"
#include "drivers/relay/peer_link.h"
#include "drivers/relay/relay_server.h"
#include "main/settings.h"
#include "platform/header_codec.h"
#include "platform/store_fleet_source.h"
#include "platform/wire_names.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <random>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::main {

namespace {

using core::charts::StateChart;
using core::fields::FieldValues;
using core::platform::FleetTopic;
using drivers::loop::AsTuple;

/// Draining ends this long before the expected SIGKILL, so that the process
/// exits by itself.
constexpr absl::Duration ExitMargin = absl::Milliseconds(300);
/// Part of ExitMargin in which aborted calls write their errors.
constexpr auto AbortTime = std::chrono::milliseconds(150);
constexpr auto AbortInterval = std::chrono::milliseconds(30);
constexpr auto IdlePollInterval = std::chrono::milliseconds(50);
constexpr auto MaintenanceInterval = std::chrono::seconds(1);
constexpr auto WatchPolicyInterval = std::chrono::milliseconds(100);
/// File descriptors not used for calls: logs, timers, the event loop, peers.
constexpr int64_t ReservedFiles = 256;
/// Sessions of callers that are accepted however few file descriptors there
/// are.
constexpr int64_t MinSessions = 16;
/// Fraction of the retry budget that is used. A node's share depends on the
/// number of nodes, which it knows with a delay when nodes start or stop.
constexpr double RetryBudgetFraction = 0.7;
/// Concurrent connections to a status page: load balancer, metrics collector,
/// people.
constexpr size_t MaxStatusConnections = 32;
/// Requests for status pages need no body.
constexpr size_t MaxStatusBodyBytes = 16 << 10;
/// Estimates of costs in one log line.
constexpr size_t MaxCostsLogged = 24;
constexpr absl::Duration CostLogInterval = absl::Minutes(1);
constexpr size_t BytesPerMb = 1 << 20;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

absl::Duration seconds(const FieldValues &settings, std::string_view key) {
  return absl::Seconds(settings.real(key));
}

/// Sessions of callers that the file descriptors suffice for; each needs one
/// for the caller and one for a backend server.
size_t maxSessions(const FieldValues &settings) {
  return static_cast<size_t>(std::max(
      MinSessions, (settings.integer("node.max_files") - ReservedFiles) / 2));
}

core::platform::NodeEntry selfEntry(const FieldValues &settings,
                                    uint64_t incarnation) {
  core::platform::NodeEntry self;
  self.Name = settings.text("node.name");
  self.PeerAddress = settings.text("peers.address");
  self.Zone = settings.text("node.zone");
  self.Region = settings.text("node.region");
  self.Incarnation = incarnation;
  return self;
}

core::limits::WindowBudgetSettings retrySettings(const FieldValues &settings) {
  core::limits::WindowBudgetSettings result;
  result.Share = RetryBudgetFraction * settings.real("retries.share");
  result.Slack = RetryBudgetFraction * settings.real("retries.slack");
  result.Window = seconds(settings, "retries.window_s");
  return result;
}

core::relay::DispatcherSettings dispatcherSettings(const FieldValues &settings,
                                                   uint64_t incarnation) {
  core::relay::DispatcherSettings result;
  result.Zone = settings.text("node.zone");
  result.Seed = std::random_device{}();
  result.Incarnation = incarnation ^ result.Seed << 20;
  result.Retries = retrySettings(settings);
  result.AdmitByPriority = settings.flag("admission.by_priority");
  result.UsesLearnedCost = settings.flag("placement.learned_cost");
  return result;
}

size_t memoryFor(const FieldValues &settings) {
  return core::limits::memoryBudget(
      static_cast<size_t>(settings.integer("node.memory_mb")) * BytesPerMb);
}

drivers::relay::AnswerLimits answerLimits(const FieldValues &settings) {
  drivers::relay::AnswerLimits result;
  result.MaxAnswerBytes =
      static_cast<size_t>(settings.integer("calls.max_answer_bytes"));
  result.MaxEventBytes =
      static_cast<size_t>(settings.integer("calls.max_event_bytes"));
  return result;
}

drivers::http::HttpServerSettings
statusSettings(const std::string &address,
               core::limits::ReadOverruns &overruns) {
  drivers::http::HttpServerSettings result;
  result.Address = address;
  if (const auto endpoint = drivers::loop::parseEndpoint(address)) {
    result.Address = endpoint->address().to_string();
    result.Port = endpoint->port();
  }
  result.MaxConnections = MaxStatusConnections;
  result.MaxBodyBytes = MaxStatusBodyBytes;
  result.Overruns = &overruns;
  return result;
}

drivers::http::HttpServerSettings
readySettings(const FieldValues &settings,
              core::limits::ReadOverruns &overruns) {
  return statusSettings(settings.text("ready.address"), overruns);
}

/// Metrics are served at the IP address of calls.address, on their own port.
drivers::http::HttpServerSettings
metricsSettings(const FieldValues &settings,
                core::limits::ReadOverruns &overruns) {
  const std::string &calls = settings.text("calls.address");
  return statusSettings(fmt::format("{}:{}", calls.substr(0, calls.rfind(':')),
                                    settings.integer("metrics.port")),
                        overruns);
}

/// Whether a setting can change while the node runs; addresses, for example,
/// can't.
bool canReload(std::string_view key) {
  return key == "node.grace_s" || key.starts_with("retries.") ||
         key == "store.wait_ms" || key == "store.bound_ms" ||
         key == "store.config_max_age_ms" || key == "placement.across_cells";
}

platform::StoreSourceSettings
storeSettings(const FieldValues &settings,
              const core::platform::NodeEntry &self,
              core::limits::MemoryAccount &memory) {
  platform::StoreSourceSettings result;
  result.Memory = &memory;
  result.Address = settings.text("store.address");
  result.Self = self;
  result.MakePeerKey = drivers::peer::makeSecretKey;
  result.LongPollTime = milliseconds(settings, "store.wait_ms");
  result.Timeout = milliseconds(settings, "store.bound_ms");
  return result;
}

} // namespace

/// The components of a node, in order of construction: each outlives those
/// declared after it.
struct EntryNode::Parts {
  Parts(const FieldValues &values, uint64_t incarnation, RelayCharts charts,
        SettingsFile &file)
      : Settings(values), File(file), CallChart(std::move(charts.Call)),
        AttemptChart(std::move(charts.Attempt)),
        Calls(dispatcherSettings(values, incarnation)),
        Start(Loop, drivers::clock::steadyNow()), Guard(Loop, Metrics),
        Memory(memoryFor(values)), Context{Loop,
                                           Calls,
                                           Codec,
                                           Metrics,
                                           CallChart,
                                           AttemptChart,
                                           Start,
                                           Guard,
                                           Memory,
                                           {},
                                           absl::InfiniteFuture(),
                                           0,
                                           answerLimits(values),
                                           [this] { Peers.announceLeaving(); },
                                           [this](const auto &server) {
                                             announceLimit(server);
                                           }},
        OtherCells(Context, std::random_device{}()), View(Context),
        Self(selfEntry(values, incarnation)),
        Source(Loop, storeSettings(values, Self, Memory)),
        Peers(Loop, Self, peerHandlers()), Server(Context),
        ReadyServer(Loop, readySettings(values, Context.Overruns)),
        MetricsServer(Loop, metricsSettings(values, Context.Overruns)),
        Signals(Loop, SIGTERM, SIGINT), Reload(Loop, SIGHUP) {
    Calls.setLoadUpdateHandler([this](const core::relay::LoadUpdate &it) {
      Peers.announceLoadUpdate(it);
    });
    OtherCells.setSendHandler([this](const std::string &address,
                                     core::relay::PlacementMessages messages) {
      Peers.sendPlacement(address, std::move(messages));
    });
    OtherCells.setEnabled(Settings.flag("placement.across_cells"));
    Context.OtherCells = &OtherCells;
    Guard.setHandlers(guardHandlers());
    Memory.setRefusalHandler([](const core::limits::MemoryRefusal &it) {
      drivers::log::write(drivers::log::Level::Warn, "memory_refused",
                          {{"use", core::limits::memoryUseName(it.Use)},
                           {"held", it.Held},
                           {"wanted", it.Wanted},
                           {"in_use", it.InUse},
                           {"budget", it.Budget},
                           {"refused", it.Refused}});
    });
    Context.Overruns.setHandler([](core::limits::ReadSource source,
                                   core::limits::ReadOverrun overrun,
                                   uint64_t sum) {
      drivers::log::write(drivers::log::Level::Warn, "message_over_bound",
                          {{"source", core::limits::readSourceName(source)},
                           {"bound", core::limits::readOverrunName(overrun)},
                           {"messages", sum}});
    });
    Context.ConfigCurrency = [this](absl::Time now) {
      return Peers.configCurrency(now);
    };
    View.setConfigChangedHandler([this] { Peers.announceConfig(); });
    View.setEvacuationsChangedHandler([this] { Peers.announceEvacuations(); });
    View.setStoreAnsweredHandler([this](FleetTopic topic) {
      if (topic == FleetTopic::Config || topic == FleetTopic::Backends)
        Peers.announceStoreAnswer(topic);
    });
    View.setBackendsChangedHandler([this](uint64_t since, const auto &changes) {
      Peers.announceBackendChanges(since, changes);
    });
    View.setSnapshotAnnounced(
        [this] { return Peers.readsForCell(FleetTopic::Backends); });
    View.setPeerKeyHandler(
        [this](const std::string &key) { return joinPeers(key); });
    View.setNodesReadHandler([this](const auto &nodes) { nodesRead(nodes); });
  }

  ~Parts() {
    Source.stop();
    Peers.stop();
    Loop.end();
  }
  Parts(const Parts &) = delete;
  Parts &operator=(const Parts &) = delete;

  /// Starts exchanging messages with the nodes that have the same \p key;
  /// returns false when the key is invalid. If peers.address can't be bound,
  /// the process exits in order to be restarted.
  bool joinPeers(const std::string &key) {
    if (!drivers::peer::isSecretKey(key))
      return false;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_CHECK(Peers.start(key));
          drivers::log::write(drivers::log::Level::Info, "peers_joined",
                              {{"address", Self.PeerAddress}});
          return {};
        },
        [&](const drivers::peer::TransportError &ec) {
          stopWithPeerError(ec.Reason);
        },
        [&] { stopWithPeerError("unexpected failure"); });
    return true;
  }

  void stopWithPeerError(const std::string &reason) {
    drivers::log::write(drivers::log::Level::Error, "peers_not_joined",
                        {{"address", Self.PeerAddress}, {"reason", reason}});
    IsCleanExit = false;
    Loop.stop();
  }

  void nodesRead(const std::vector<core::platform::NodeEntry> &nodes) {
    const absl::Time now = drivers::clock::steadyNow();
    std::vector<core::fleet::NodePlace> places;
    places.reserve(nodes.size());
    for (const core::platform::NodeEntry &it : nodes)
      places.push_back({it.Name, it.Zone, it.Region});
    Calls.directory().setNodes(Self.Name, std::move(places));
    Calls.setNodeCount(std::max<size_t>(1, nodes.size()));
    Metrics.setNodes(static_cast<int64_t>(nodes.size()));
    const core::fleet::CellPlan &cell = Calls.directory().cell();
    Peers.nodesRead(nodes, cell.members(), now);
    OtherCells.setNodes(nodes);
    drivers::log::write(drivers::log::Level::Info, "nodes_read",
                        {{"nodes", cell.nodeCount()},
                         {"cells", cell.cellCount()},
                         {"in_cell", cell.members().size()}});
    std::vector<core::platform::NodeEntry> expired = Peers.expiredNodes(now);
    if (!expired.empty())
      Source.unregisterNodes(std::move(expired));
  }

  /// Watches those topics at the store for which StoreWatchPolicy chooses this
  /// node.
  asio::awaitable<void> applyWatchPolicy() {
    asio::steady_timer timer(Loop);
    for (;;) {
      const absl::Time dueAt =
          drivers::clock::steadyNow() + absl::FromChrono(WatchPolicyInterval);
      timer.expires_after(WatchPolicyInterval);
      co_await timer.async_wait(AsTuple);
      drivers::loop::LoopMonitor::of(Loop).timerFired(dueAt);
      const absl::Time now = drivers::clock::steadyNow();
      applyStoreSettings();
      for (const FleetTopic topic :
           {FleetTopic::Config, FleetTopic::Backends}) {
        setWatching(topic, Peers.shouldWatchStore(topic, now));
        if (Peers.takeRead(topic, now))
          readStoreOnce(topic);
      }
    }
  }

  void readStoreOnce(FleetTopic topic) {
    drivers::log::write(drivers::log::Level::Info, "store_read_alone",
                        {{"topic", core::platform::fleetTopicName(topic)}});
    Source.readChangesOnce(topic);
  }

  /// Applies the settings of the store. The watchers of a cell poll more often
  /// than nodes that each watch for themselves.
  void applyStoreSettings() {
    absl::Duration poll = milliseconds(Settings, "store.wait_ms");
    if (Peers.isWatchShared())
      poll = std::min(poll, core::fleet::StoreWatchPolicy::SharedPollTime);
    Source.setTimeouts(poll, milliseconds(Settings, "store.bound_ms"));
    Context.ConfigMaxAge =
        absl::Milliseconds(Settings.real("store.config_max_age_ms"));
  }

  void setWatching(FleetTopic topic, bool shouldWatch) {
    if (!Source.setWatching(topic, shouldWatch))
      return;
    drivers::log::write(drivers::log::Level::Info, "follow_duty",
                        {{"topic", core::platform::fleetTopicName(topic)},
                         {"follows", shouldWatch}});
  }

  drivers::relay::PeerLinkHandlers peerHandlers() {
    drivers::relay::PeerLinkHandlers handlers;
    handlers.OnPeerLoadUpdate = [this](const core::relay::LoadUpdate &it) {
      Calls.applyLoadUpdate(it, drivers::clock::steadyNow());
    };
    handlers.OnPeerMessage = [this](const std::string &name) {
      Calls.directory().recordPeerMessage(name, drivers::clock::steadyNow());
    };
    handlers.OnPeerLeavingBackends =
        [this](const std::vector<std::string> &ids) {
          View.applyPeerLeaving(ids);
        };
    handlers.OnPeerConfig = [this](uint64_t version, std::string text) {
      Source.readConfig(version, std::move(text));
    };
    handlers.OnPeerBackendChanges = [this](uint64_t since, auto changes) {
      View.applyPeerChanges(since, std::move(changes));
    };
    handlers.Refresh = [this](FleetTopic topic) { Source.refresh(topic); };
    handlers.StoreCalls = [this](FleetTopic topic) {
      return View.storeCalls(topic);
    };
    handlers.StoreVersion = [this](FleetTopic topic) {
      return Source.knownVersion(topic);
    };
    handlers.OnPeerStoreAnswer = [this](FleetTopic topic, absl::Time at,
                                        const auto &update) {
      peerAnswered(topic, at, update);
    };
    handlers.BackendsAppliedVersion = [this] {
      return View.backendsAppliedVersion();
    };
    handlers.NewestBackendChange = [this] {
      return View.newestBackendChange();
    };
    handlers.ConfigVersion = [this] {
      return Calls.config() == nullptr ? 0 : Calls.config()->version();
    };
    handlers.IsReadingConfig = [this] { return Source.isReadingConfig(); };
    handlers.ConfigText = [this] {
      return Calls.config() == nullptr ? std::string()
                                       : Calls.config()->source();
    };
    handlers.LeavingBackendIds = [this] { return Calls.directory().leaving(); };
    handlers.OnPeerCrash = [this](const core::relay::CrashReport &it) {
      Guard.applyReport(it);
    };
    handlers.OnPeerSoundParts = [this](const std::vector<std::string> &parts) {
      Guard.applySound(parts);
    };
    handlers.OnPeerQuarantine =
        [this](const std::vector<core::relay::QuarantinedPart> &parts) {
          Guard.applyQuarantine(parts);
        };
    handlers.QuarantinedParts = [this] { return Guard.quarantined(); };
    handlers.OnPeerLimits =
        [this](const std::vector<core::fleet::BackendLimit> &limits) {
          View.applyPeerLimits(limits);
        };
    handlers.OnPeerEvacuations =
        [this](const std::vector<core::fleet::EvacuationChange> &statement,
               uint64_t version) {
          View.applyPeerEvacuations(statement, version);
        };
    handlers.Evacuations = [this]() -> const core::fleet::ZoneEvacuations & {
      return Calls.directory().evacuations();
    };
    handlers.RequestLimits = [this] {
      return Calls.directory().limits(drivers::clock::steadyNow());
    };
    handlers.OnPlacement = [this](const drivers::relay::NodeUpdate &update) {
      OtherCells.receive(update);
    };
    return handlers;
  }

  void peerAnswered(FleetTopic topic, absl::Time at,
                    const drivers::relay::NodeUpdate &update) {
    View.recordPeerAnswer(topic, at, update.BackendsVersion);
    Source.skipTo(topic, topic == FleetTopic::Config
                             ? update.ConfigStoreVersion
                             : update.BackendsStoreVersion);
  }

  drivers::relay::PromptGuardHandlers guardHandlers() {
    drivers::relay::PromptGuardHandlers handlers;
    handlers.AnnounceCrash = [this](const core::relay::CrashReport &it) {
      Peers.announceCrash(it);
    };
    handlers.AnnounceSound = [this](const std::vector<std::string> &parts) {
      Peers.announceSoundParts(parts);
    };
    handlers.AnnounceQuarantine = [this] { Peers.announceQuarantine(); };
    handlers.Store = [this](std::vector<core::relay::QuarantinedPart> parts) {
      Source.storeQuarantine(std::move(parts));
    };
    return handlers;
  }

  void announceLimit(const core::fleet::BackendServer &server) {
    if (server.IsSharedByCells)
      Peers.announceSharedLimit(core::fleet::BackendDirectory::limitOf(server));
    else
      Peers.announceLimits();
  }

  void showReadiness(drivers::http::HttpResponse &response) const {
    const bool isReady = Calls.isInitialized() && !Context.isDraining();
    response.Status = isReady ? StatusOk : StatusUnavailable;
    response.setContent(isReady ? "ready\n" : "not ready\n", "text/plain");
  }

  void showMetrics(drivers::http::HttpResponse &response) {
    Metrics.setLogLinesDropped(drivers::log::droppedLines());
    Metrics.setMemory(Memory);
    Metrics.setOverruns(Context.Overruns);
    if (const core::cost::CostEstimates *costs = Calls.costs())
      Metrics.setCostEstimates(*costs);
    Metrics.setTurns(drivers::loop::LoopMonitor::of(Loop).turns());
    response.setContent(Metrics.text(), "text/plain; version=0.0.4");
  }

  /// Starts the servers for the readiness check and the metrics.
  leaf::result<void> startStatusServers() {
    ReadyServer.routes().addSync(
        "GET", std::string(platform::wire::ReadyPath),
        [this](const auto &, auto &response) { showReadiness(response); });
    BOOST_LEAF_CHECK(ReadyServer.start());
    if (Settings.integer("metrics.port") <= 0)
      return {};
    MetricsServer.routes().addSync(
        "GET", "/metrics",
        [this](const auto &, auto &response) { showMetrics(response); });
    return MetricsServer.start();
  }

  asio::awaitable<void> runMaintenance() {
    asio::steady_timer timer(Loop);
    for (;;) {
      timer.expires_after(MaintenanceInterval);
      co_await timer.async_wait(AsTuple);
      Context.Channels.closeIdle(drivers::clock::steadyNow());
      if (const std::optional<FieldValues> settings = File.readIfChanged())
        applySettings(*settings);
      reportRefusedConnections();
      const absl::Time now = drivers::clock::steadyNow();
      reportCold(now);
      if (now >= NextCostLogAt) {
        NextCostLogAt = now + CostLogInterval;
        logCostEstimates(now);
      }
    }
  }

  void reportCold(absl::Time now) {
    const auto cold = Calls.directory().cold(now);
    ColdServers.update(cold, now);
    Metrics.setCold(static_cast<int64_t>(cold.size()), Calls.coldRefusals());
  }

  /// Writes one log line with the estimates of costs that count, if any.
  void logCostEstimates(absl::Time now) const {
    const core::cost::CostEstimates *costs = Calls.costs();
    if (costs == nullptr || costs->keyCount() == 0)
      return;
    nlohmann::json estimates = nlohmann::json::array();
    for (const auto &[key, it] : costs->list(MaxCostsLogged, now))
      estimates.push_back({{"kind", core::cost::estimateKindName(key.Kind)},
                           {"of", key.Name},
                           {"class", static_cast<int>(key.Class)},
                           {"value", it.Value},
                           {"spread", it.Spread},
                           {"weight", it.Weight}});
    drivers::log::write(drivers::log::Level::Info, "cost_estimates",
                        {{"keys", costs->keyCount()},
                         {"bounded", costs->boundedRatios()},
                         {"estimates", estimates}});
  }

  /// Writes at most one log line per call, however many connections were
  /// refused.
  void reportRefusedConnections() {
    const uint64_t n = Peers.refusedConnections();
    if (n == RefusedConnectionsReported)
      return;
    Metrics.setRefusedConnections(static_cast<int64_t>(n));
    drivers::log::write(
        drivers::log::Level::Warn, "strangers_refused",
        {{"new", n - RefusedConnectionsReported}, {"total", n}});
    RefusedConnectionsReported = n;
  }

  asio::awaitable<void> reloadOnSignal() {
    for (;;) {
      const auto [ec, n] = co_await Reload.async_wait(AsTuple);
      if (ec)
        co_return;
      if (const std::optional<FieldValues> settings = File.read())
        applySettings(*settings);
    }
  }

  /// Applies the settings that can change while the node runs.
  void applySettings(const FieldValues &values) {
    nlohmann::json changed = nlohmann::json::array();
    nlohmann::json needRestart = nlohmann::json::array();
    for (const std::string &it : values.changedFrom(Settings))
      (canReload(it) ? changed : needRestart).push_back(it);
    Settings = values;
    Calls.setRetryBudget(retrySettings(Settings));
    OtherCells.setEnabled(Settings.flag("placement.across_cells"));
    applyStoreSettings();
    drivers::log::write(drivers::log::Level::Info, "reload",
                        {{"changed", changed}, {"need_restart", needRestart}});
  }

  /// Ends the calls that are in progress or are being read when draining ends
  /// and gives them time to write their errors.
  asio::awaitable<void> endCalls(asio::steady_timer &timer) {
    const size_t unanswered = Server.unansweredRequests();
    if (Context.InProgress == 0 && unanswered == 0)
      co_return;
    drivers::log::write(
        drivers::log::Level::Warn, "calls_aborted",
        {{"in_progress", Context.InProgress}, {"unanswered", unanswered}});
    const auto end = std::chrono::steady_clock::now() + AbortTime;
    // Calls that begin to be read meanwhile are ended as well.
    while (std::chrono::steady_clock::now() < end) {
      Server.abortCalls();
      timer.expires_after(AbortInterval);
      co_await timer.async_wait(AsTuple);
    }
  }

  nlohmann::json closedConnections() {
    const drivers::relay::CloseCounts &counts = Server.recordProcessEnd();
    nlohmann::json result = nlohmann::json::object();
    for (size_t n = 0; n < counts.size(); ++n)
      result[std::string(core::relay::closeReasonName(
          static_cast<core::relay::CloseReason>(n)))] = counts[n];
    return result;
  }

  asio::awaitable<void> drainOnSignal() {
    co_await Signals.async_wait(AsTuple);
    const absl::Time since = drivers::clock::steadyNow();
    Context.DrainingSince = since;
    Start.open();
    Source.unregisterSelf();
    drivers::log::write(drivers::log::Level::Info, "draining",
                        {{"in_progress", Context.InProgress}});
    const core::relay::DrainPlan plan(
        since, drivers::relay::BalancerDrainTime,
        since + seconds(Settings, "node.grace_s") - ExitMargin);
    asio::steady_timer timer(Loop);
    for (;;) {
      const absl::Time now = drivers::clock::steadyNow();
      if (plan.stopsAccepting(now, Context.InProgress,
                              Server.unansweredRequests()))
        Server.stopAccepting();
      if (plan.closesIdle(now))
        Server.closeIdle();
      if (plan.isOver(now, Context.InProgress, Server.unfinished(now)))
        break;
      timer.expires_after(IdlePollInterval);
      co_await timer.async_wait(AsTuple);
    }
    IsCleanExit = Context.InProgress == 0;
    Server.stopAccepting();
    co_await endCalls(timer);
    drivers::log::write(drivers::log::Level::Info, "connections_closed",
                        {{"unanswered", Server.unansweredRequests()},
                         {"closed", closedConnections()}});
    logCostEstimates(drivers::clock::steadyNow());
    Guard.stop();
    Source.stop();
    Peers.stop();
    Loop.stop();
  }

  FieldValues Settings;
  SettingsFile &File;
  StateChart CallChart;
  StateChart AttemptChart;
  drivers::loop::EventLoop Loop;
  core::relay::Dispatcher Calls;
  platform::HeaderCodec Codec;
  drivers::metrics::RelayMetrics Metrics;
  drivers::relay::StartGate Start;
  drivers::relay::PromptGuard Guard;
  core::limits::MemoryAccount Memory;
  drivers::relay::RelayContext Context;
  drivers::relay::CellPlacer OtherCells;
  drivers::relay::FleetView View;
  core::platform::NodeEntry Self;
  platform::StoreFleetSource Source;
  drivers::relay::PeerLink Peers;
  drivers::relay::RelayServer Server;
  drivers::http::HttpServer ReadyServer;
  drivers::http::HttpServer MetricsServer;
  asio::signal_set Signals;
  asio::signal_set Reload;
  uint64_t RefusedConnectionsReported = 0;
  drivers::relay::ColdLog ColdServers;
  absl::Time NextCostLogAt = absl::InfinitePast();
  bool IsCleanExit = true;
};

EntryNode::EntryNode(const FieldValues &settings, uint64_t incarnation,
                     RelayCharts charts, SettingsFile &file)
    : All(std::make_unique<Parts>(settings, incarnation, std::move(charts),
                                  file)) {}

EntryNode::~EntryNode() = default;

leaf::result<void> EntryNode::start() {
  const std::string &calls = All->Settings.text("calls.address");
  BOOST_LEAF_CHECK(
      All->Server.listenForCalls(calls, maxSessions(All->Settings)));
  BOOST_LEAF_CHECK(All->startStatusServers());
  All->Source.start(All->View);
  asio::co_spawn(All->Loop, All->runMaintenance(), asio::detached);
  asio::co_spawn(All->Loop, All->applyWatchPolicy(), asio::detached);
  asio::co_spawn(All->Loop, All->reloadOnSignal(), asio::detached);
  asio::co_spawn(All->Loop, All->drainOnSignal(), asio::detached);
  drivers::log::write(drivers::log::Level::Info, "serving",
                      {{"calls", calls},
                       {"peers", All->Settings.text("peers.address")},
                       {"zone", All->Settings.text("node.zone")}});
  return {};
}

bool EntryNode::run() {
  All->Loop.run();
  return All->IsCleanExit;
}

} // namespace orioletally::main

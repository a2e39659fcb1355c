#include "main/node.h"

#include "charts/embedded_charts.h"
#include "core/charts/state_chart.h"
#include "core/holdings/holding_sweep.h"
#include "drivers/backend/http_engine_client.h"
#include "drivers/backend/http_service_client.h"
#include "drivers/clock/clock.h"
#include "drivers/gateway/caller_api.h"
#include "drivers/gateway/engine_watch.h"
#include "drivers/gateway/fleet_poller.h"
#include "drivers/gateway/http_reply.h"
#include "drivers/gateway/operator_api.h"
#include "drivers/gateway/status_api.h"
#include "drivers/http/http_server.h"
#include "drivers/log/log.h"
#include "drivers/loop/loop_runner.h"
#include "drivers/platform/http_table_service.h"
#include "drivers/platform/http_vm_list.h"
#include "main/settings.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>
#include <cstdlib>
#include <fmt/format.h>
#include <random>
#include <thread>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::main {

namespace {

using core::charts::StateChart;
using core::fields::FieldValues;
using drivers::gateway::CallerTokens;

constexpr size_t JournalCapacity = 4096;
constexpr size_t BackgroundThreads = 8;
/// Threads for blocking calls to services; further calls are queued.
constexpr size_t ServiceThreadCount = 64;
/// Threads for operators' blocking calls. They are separate, so that slow
/// services can't delay operators.
constexpr size_t OperatorThreadCount = 4;
/// Time for the last answers to be sent before connections are closed.
constexpr absl::Duration CloseTimeout = absl::Seconds(5);
constexpr auto ClosePollInterval = std::chrono::milliseconds(5);
constexpr size_t BackgroundCapacity = 4096;
/// Maximum time since a freeze check last confirmed the view of the fleet;
/// after that the view is stale.
constexpr absl::Duration ViewMaxAge = absl::Seconds(1);
constexpr absl::Duration DrainPollInterval = absl::Milliseconds(100);
/// Time for aborted requests to report the error to their callers.
constexpr absl::Duration AbortTimeout = absl::Seconds(5);
constexpr double Percent = 0.01;

drivers::http::HttpServerSettings serverSettings(const FieldValues &settings) {
  drivers::http::HttpServerSettings result;
  result.Address = settings.text("http.address");
  result.Port = static_cast<int>(settings.integer("http.port"));
  result.MaxConnections =
      static_cast<size_t>(settings.integer("http.max_streams") +
                          settings.integer("http.operator_reserve"));
  result.MaxBodyBytes =
      static_cast<size_t>(settings.integer("http.max_body_bytes"));
  result.RequestReadTimeout = milliseconds(settings, "http.request_ms");
  result.WriteTimeout = milliseconds(settings, "http.write_ms");
  result.IdleTimeout = milliseconds(settings, "http.idle_ms");
  return result;
}

core::routing::RouterSettings routerSettings(const FieldValues &settings) {
  core::routing::RouterSettings result;
  result.MaxReportLag = milliseconds(settings, "routing.report_lag_ms");
  result.RetryShare =
      Percent *
      static_cast<double>(settings.integer("routing.retry_share_percent"));
  result.RetryReserve =
      static_cast<double>(settings.integer("routing.retry_reserve"));
  result.Seed = std::random_device{}();
  return result;
}

core::membership::Member selfFrom(const FieldValues &settings,
                                  uint64_t incarnation) {
  core::membership::Member self;
  self.Name = settings.text("node.name");
  self.Zone = settings.text("node.zone");
  self.Region = settings.text("node.region");
  self.Incarnation = incarnation;
  self.FieldsHash = core::profiles::profileFields().hash();
  return self;
}

core::membership::DetectorSettings
detectorSettings(const FieldValues &settings) {
  core::membership::DetectorSettings result;
  result.Period = milliseconds(settings, "peer.period_ms");
  result.Seed = std::random_device{}();
  return result;
}

drivers::peer::TransportSettings transportSettings(const FieldValues &settings,
                                                   std::string key) {
  drivers::peer::TransportSettings result;
  result.Address = settings.text("peer.address");
  result.Port = static_cast<int>(settings.integer("peer.port"));
  result.SecretKey = std::move(key);
  return result;
}

drivers::gateway::PollerSettings pollerSettings(const FieldValues &settings) {
  drivers::gateway::PollerSettings result;
  result.VmListPollInterval =
      milliseconds(settings, "platform.vm_list_poll_ms");
  result.ProfilePollInterval = milliseconds(settings, "profiles.poll_ms");
  result.ProfileBackstopInterval =
      milliseconds(settings, "profiles.backstop_ms");
  return result;
}

leaf::result<std::string> tokensText(const FieldValues &settings) {
  const std::string &variable = settings.text("auth.tokens_env");
  if (!variable.empty()) {
    const char *text = std::getenv(variable.c_str());
    if (text == nullptr)
      return leaf::new_error(NodeError{
          fmt::format("environment variable {} isn't set", variable)});
    return std::string(text);
  }
  const std::string &file = settings.text("auth.tokens_file");
  if (file.empty())
    return leaf::new_error(
        NodeError{"expected auth.tokens_file or auth.tokens_env"});
  return readFile(file);
}

leaf::result<CallerTokens> readTokens(const FieldValues &settings) {
  BOOST_LEAF_AUTO(text, tokensText(settings));
  return CallerTokens::parse(text);
}

leaf::result<std::string> readPeerKey(const FieldValues &settings) {
  const std::string &file = settings.text("peer.key_file");
  if (file.empty())
    return std::string();
  BOOST_LEAF_AUTO(text, readFile(file));
  return std::string(absl::StripAsciiWhitespace(text));
}

} // namespace

/// The components of a node, in order of construction: each outlives those
/// declared after it.
struct Node::Parts {
  Parts(FieldValues values, uint64_t incarnation, CallerTokens tokens,
        std::string peerKey, StateChart chart)
      : Settings(std::move(values)), Tokens(std::move(tokens)),
        RequestChart(std::move(chart)),
        Owner(core::holdings::formatOwner(
            {Settings.text("node.name"), incarnation})),
        Table(Settings.text("platform.address"),
              milliseconds(Settings, "platform.timeout_ms")),
        VmList(Settings.text("platform.address"),
               milliseconds(Settings, "platform.timeout_ms")),
        Engines(Loop.loop()), Freshness(ViewMaxAge),
        Router(routerSettings(Settings), Freshness),
        Gate(Settings.integer("http.max_streams")), Journal(JournalCapacity),
        Sync(Table, Profiles, Metrics),
        Peers(selfFrom(Settings, incarnation), detectorSettings(Settings),
              transportSettings(Settings, std::move(peerKey)), peerHandlers()),
        Changes(Table, Sync, Peers),
        Poller(pollerSettings(Settings), VmList, Table, Sync, Changes, Router,
               Peers, Freshness),
        Background(BackgroundThreads, BackgroundCapacity),
        Watch(Engines, Router, Peers, Background, Metrics,
              milliseconds(Settings, "routing.watch_ms")),
        Runner{Loop.loop(), Engines, Router,  RequestChart,
               Background,  Gate,    Metrics, Owner},
        Service{Services,
                Table,
                Router,
                Owner,
                milliseconds(Settings, "claims.send_ms"),
                drivers::clock::steadyNow},
        CallerApiContext{Tokens,
                         Profiles,
                         Journal,
                         Runner,
                         Service,
                         Settings.integer("prompts.bytes_per_token"),
                         Settings.text("node.name"),
                         incarnation,
                         [this] { return isReady(); }},
        OperatorApiContext{Tokens,
                           Profiles,
                           Changes,
                           Journal,
                           Gate,
                           Router,
                           Peers,
                           Metrics,
                           Table.counts(),
                           milliseconds(Settings, "profiles.accept_wait_ms"),
                           [this] { return isReady(); }},
        Callers(CallerApiContext), Operators(OperatorApiContext),
        Status(OperatorApiContext), ServiceThreads(ServiceThreadCount),
        OperatorThreads(OperatorThreadCount),
        Server(Loop.loop(), serverSettings(Settings)) {
    Sync.setPeers(&Peers);
    Router.setDispatchHandler([this](const core::membership::Dispatch &it) {
      Peers.shareDispatch(it);
    });
  }

  bool isReady() const {
    return Profiles.isLoaded() && Poller.hasVmList() && Peers.hasJoined() &&
           Freshness.isFresh(drivers::clock::steadyNow());
  }

  drivers::peer::PeerHandlers peerHandlers() {
    drivers::peer::PeerHandlers handlers;
    handlers.OnPeerProfiles = [this](const auto &records) {
      Sync.applyRecords(records);
    };
    handlers.ProfilesAfter = [this](uint64_t after) {
      return Sync.recordsAfter(after);
    };
    handlers.LeavingBackendIds = [this] {
      return Router.withRegistry([](core::routing::BackendRegistry &registry) {
        return registry.leaving();
      });
    };
    handlers.OnPeerLeavingBackends =
        [this](const std::vector<std::string> &ids) {
          return Router.markLeaving(ids, drivers::clock::steadyNow());
        };
    handlers.OnPeerEngineLoads =
        [this](const core::membership::EngineLoads &loads) {
          Router.withRegistry([&](core::routing::BackendRegistry &registry) {
            for (const core::membership::EngineLoad &it : loads.Loads)
              registry.report(it.Id, it.Load, drivers::clock::steadyNow());
          });
        };
    handlers.OnPeerDispatch = [this](const core::membership::Dispatch &it) {
      Router.withRegistry([&](core::routing::BackendRegistry &registry) {
        registry.dispatchedElsewhere(it.Id, {drivers::clock::steadyNow(),
                                             it.PrefillTokens, it.Priority});
      });
    };
    return handlers;
  }

  /// Ends all requests on the event loop while the components that they use
  /// still exist.
  void closeServer() {
    Loop.run([this] { Server.close(); });
    const absl::Time until = drivers::clock::steadyNow() + CloseTimeout;
    size_t open = 1;
    while (open > 0 && drivers::clock::steadyNow() < until) {
      std::this_thread::sleep_for(ClosePollInterval);
      Loop.run([&] { open = Server.connections(); });
    }
    ServiceThreads.join();
    OperatorThreads.join();
  }

  FieldValues Settings;
  CallerTokens Tokens;
  StateChart RequestChart;
  std::string Owner;
  drivers::loop::LoopRunner Loop;
  drivers::metrics::NodeMetrics Metrics;
  drivers::platform::HttpTableService Table;
  drivers::platform::HttpVmList VmList;
  drivers::backend::HttpEngineClient Engines;
  drivers::backend::HttpServiceClient Services;
  drivers::gateway::ViewFreshness Freshness;
  drivers::gateway::SharedRouter Router;
  drivers::gateway::AdmissionGate Gate;
  drivers::gateway::RequestJournal Journal;
  drivers::gateway::ProfileView Profiles;
  drivers::gateway::ProfileSync Sync;
  drivers::peer::PeerService Peers;
  drivers::gateway::ProfileChanges Changes;
  drivers::gateway::FleetPoller Poller;
  drivers::gateway::BackgroundCalls Background;
  drivers::gateway::EngineWatch Watch;
  drivers::gateway::RunnerContext Runner;
  drivers::gateway::ServiceContext Service;
  drivers::gateway::CallerContext CallerApiContext;
  drivers::gateway::OperatorContext OperatorApiContext;
  drivers::gateway::CallerApi Callers;
  drivers::gateway::OperatorApi Operators;
  drivers::gateway::StatusApi Status;
  drivers::loop::WorkerThreads ServiceThreads;
  drivers::loop::WorkerThreads OperatorThreads;
  drivers::http::HttpServer Server;
};

Node::Node(std::unique_ptr<Parts> built) : All(std::move(built)) {}

Node::~Node() {
  All->closeServer();
  All->Watch.stop();
  All->Poller.stop();
  All->Peers.stop();
  All->Loop.end();
}

leaf::result<void> Node::start() {
  BOOST_LEAF_CHECK(All->Peers.start());
  for (const std::string &it : All->Settings.list("peer.seeds"))
    All->Peers.addSeed(it);
  drivers::http::HttpRoutes &routes = All->Server.routes();
  All->Callers.registerRoutes(routes, All->ServiceThreads);
  All->Operators.registerRoutes(routes, All->OperatorThreads);
  All->Status.registerRoutes(routes);
  routes.setFaultHandler(drivers::gateway::jsonFaultResponse);
  BOOST_LEAF_CHECK(All->Server.start());
  All->Peers.announceHttpAddress(httpAddress());
  All->Poller.start();
  All->Watch.start();
  drivers::log::write(drivers::log::Level::Info, "serving",
                      {{"http", httpAddress()},
                       {"peer", All->Peers.address()},
                       {"zone", All->Settings.text("node.zone")}});
  return {};
}

std::string Node::httpAddress() const {
  return fmt::format("{}:{}", All->Settings.text("http.address"),
                     All->Server.port());
}

bool Node::drain(const std::function<bool()> &isUrgent) {
  All->Gate.beginDrain();
  All->Peers.announceDraining();
  drivers::log::write(drivers::log::Level::Info, "draining",
                      {{"in_progress", All->Gate.inProgress()}});
  const absl::Time until = drivers::clock::steadyNow() +
                           milliseconds(All->Settings, "node.drain_ms");
  while (!All->Gate.waitIdle(DrainPollInterval)) {
    if (drivers::clock::steadyNow() < until && !isUrgent())
      continue;
    All->Gate.abortRequests();
    All->Gate.waitIdle(AbortTimeout);
    return false;
  }
  return true;
}

NodeBuilder &NodeBuilder::settings(FieldValues values) {
  Settings = std::move(values);
  return *this;
}

NodeBuilder &NodeBuilder::incarnation(uint64_t n) {
  Incarnation = n;
  return *this;
}

leaf::result<std::unique_ptr<Node>> NodeBuilder::build() const {
  BOOST_LEAF_AUTO(chart, charts::requestChart());
  BOOST_LEAF_AUTO(tokens, readTokens(Settings));
  BOOST_LEAF_AUTO(peerKey, readPeerKey(Settings));
  return std::unique_ptr<Node>(new Node(
      std::make_unique<Node::Parts>(Settings, Incarnation, std::move(tokens),
                                    std::move(peerKey), std::move(chart))));
}

} // namespace orioletally::main

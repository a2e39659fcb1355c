#include "drivers/gateway/engine_watch.h"

#include "core/holdings/holding_sweep.h"
#include "drivers/clock/clock.h"
#include "drivers/log/log.h"

#include <optional>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::gateway {

namespace {

using core::backends::EngineReport;
using core::backends::StreamId;
using core::membership::EngineLoad;
using core::membership::EngineLoads;
using core::membership::Member;
using core::membership::MemberStatus;
using core::membership::MemberView;
using core::routing::BackendRegistry;
using core::routing::BackendState;

constexpr absl::Duration ReportTimeout = absl::Seconds(3);
constexpr absl::Duration ReleaseTimeout = absl::Seconds(1);

/// Returns the names of the live nodes that may watch the engines of \p zone:
/// those in the zone, or all of them if the zone has none.
std::vector<std::string> watchersFor(const std::string &zone,
                                     const Member &self,
                                     const std::vector<MemberView> &members) {
  std::vector<std::string> inZone;
  std::vector<std::string> all = {self.Name};
  if (self.Zone == zone)
    inZone.push_back(self.Name);
  for (const MemberView &it : members) {
    if (it.Status != MemberStatus::Alive)
      continue;
    all.push_back(it.Info.Name);
    if (it.Info.Zone == zone)
      inZone.push_back(it.Info.Name);
  }
  return inZone.empty() ? all : inZone;
}

} // namespace

EngineWatch::EngineWatch(core::backends::EngineClient &engines,
                         SharedRouter &router, peer::PeerService &peers,
                         BackgroundCalls &background,
                         metrics::NodeMetrics &nodeMetrics,
                         absl::Duration period)
    : Engines(engines), Router(router), Peers(peers), Background(background),
      Metrics(nodeMetrics), Period(period) {}

EngineWatch::~EngineWatch() { stop(); }

void EngineWatch::start() {
  PollThread.start(Period, [this] { pollEngines(); });
}

void EngineWatch::stop() { PollThread.stop(); }

void EngineWatch::pollEngines() {
  shareLoads();
  for (const AssignedEngine &it : assignedEngines())
    Background.submit([this, it] { pollEngine(it); });
}

void EngineWatch::shareLoads() {
  EngineLoads loads;
  {
    const std::lock_guard lock(Guard);
    std::swap(loads, UnsharedLoads);
  }
  if (!loads.Loads.empty())
    Peers.shareLoads(loads);
}

std::vector<EngineWatch::AssignedEngine> EngineWatch::assignedEngines() {
  const Member self = Peers.self();
  const std::vector<MemberView> members = Peers.members();
  return Router.withRegistry([&](BackendRegistry &registry) {
    std::vector<AssignedEngine> result;
    for (const BackendState *it :
         registry.listed(core::platform::VmRole::Engine)) {
      const auto watchers = watchersFor(it->Vm.Zone, self, members);
      if (core::holdings::watcherOf(it->Vm.Id, watchers) == self.Name)
        result.push_back({it->Vm.Id, it->Vm.Address});
    }
    return result;
  });
}

void EngineWatch::pollEngine(const AssignedEngine &engine) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(report, Engines.report(engine.Address,
                                               core::holdings::DetachedTimeout,
                                               ReportTimeout));
        applyReport(engine, report);
        return {};
      },
      [] {
        // Ignored: requests that fail on the engine show that it can't be
        // reached, and the next poll is due in one period.
      });
}

void EngineWatch::applyReport(const AssignedEngine &engine,
                              const EngineReport &report) {
  const absl::Time now = clock::steadyNow();
  Router.withRegistry([&](BackendRegistry &registry) {
    registry.report(engine.Id, report.Load, now);
  });
  if (report.Draining)
    Peers.gossipLeaving(Router.markLeaving({engine.Id}, now));
  {
    const std::lock_guard lock(Guard);
    UnsharedLoads.Loads.push_back(EngineLoad{engine.Id, report.Load});
  }
  const std::vector<StreamId> streams = core::holdings::streamsToRelease(
      report.StaleStreams, Peers.self(), Peers.members());
  for (const StreamId &it : streams) {
    const bool isReleased = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(Engines.cancel(engine.Address, it, ReleaseTimeout));
          return true;
        },
        [] { return false; });
    if (!isReleased)
      continue;
    Metrics.holdingsReleased(1);
    log::write(log::Level::Warn, "holding_released",
               {{"backend", engine.Id},
                {"request_id", it.RequestId},
                {"attempt", it.Attempt}});
  }
}

} // namespace orioletally::drivers::gateway

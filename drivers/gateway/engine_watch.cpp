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

constexpr absl::Duration ReportBound = absl::Seconds(3);
constexpr absl::Duration ReleaseBound = absl::Seconds(1);

/// The nodes that share the engines of \p zone: those in it, or all when there
/// are none.
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
    all.push_back(it.Self.Name);
    if (it.Self.Zone == zone)
      inZone.push_back(it.Self.Name);
  }
  return inZone.empty() ? all : inZone;
}

} // namespace

EngineWatch::EngineWatch(core::backends::EngineClient &client,
                         SharedRouter &target, peer::PeerService &service,
                         BackgroundCalls &calls, metrics::NodeMetrics &figures,
                         absl::Duration period)
    : Engines(client), Router(target), Peers(service), Background(calls),
      Metrics(figures), Period(period) {}

EngineWatch::~EngineWatch() { stop(); }

void EngineWatch::start() {
  Loop.start(Period, [this] { round(); });
}

void EngineWatch::stop() { Loop.stop(); }

void EngineWatch::round() {
  shareLoads();
  for (const Target &it : ownTargets())
    Background.submit([this, it] { visit(it); });
}

void EngineWatch::shareLoads() {
  EngineLoads loads;
  {
    const std::lock_guard lock(Guard);
    std::swap(loads, Fresh);
  }
  if (!loads.Loads.empty())
    Peers.shareLoads(loads);
}

std::vector<EngineWatch::Target> EngineWatch::ownTargets() {
  const Member self = Peers.self();
  const std::vector<MemberView> members = Peers.members();
  return Router.withRegistry([&](BackendRegistry &registry) {
    std::vector<Target> result;
    for (const BackendState *it :
         registry.listed(core::platform::VmRole::Engine)) {
      const auto watchers = watchersFor(it->Vm.Zone, self, members);
      if (core::holdings::watcherOf(it->Vm.Id, watchers) == self.Name)
        result.push_back({it->Vm.Id, it->Vm.Address});
    }
    return result;
  });
}

void EngineWatch::visit(const Target &target) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(report, Engines.report(target.Address,
                                               core::holdings::DetachedBound,
                                               ReportBound));
        take(target, report);
        return {};
      },
      [] {
        // An engine that can't be reached is found out by the requests that
        // it fails; a sweep is due again in a moment.
      });
}

void EngineWatch::take(const Target &target, const EngineReport &report) {
  const absl::Time now = clock::steadyNow();
  Router.withRegistry([&](BackendRegistry &registry) {
    registry.report(target.Id, report.Load, now);
  });
  if (report.Draining)
    Peers.spreadLeaving(Router.markLeaving({target.Id}, now));
  {
    const std::lock_guard lock(Guard);
    Fresh.Loads.push_back(EngineLoad{target.Id, report.Load});
  }
  const std::vector<StreamId> lost = core::holdings::releasable(
      report.StaleStreams, Peers.self(), Peers.members());
  for (const StreamId &it : lost) {
    const bool isReleased = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(Engines.cancel(target.Address, it, ReleaseBound));
          return true;
        },
        [] { return false; });
    if (!isReleased)
      continue;
    Metrics.holdingReleased(1);
    log::write(log::Level::Warn, "holding_released",
               {{"backend", target.Id},
                {"request_id", it.RequestId},
                {"attempt", it.Attempt}});
  }
}

} // namespace orioletally::drivers::gateway

#ifndef ORIOLETALLY_DRIVERS_GATEWAY_ENGINE_WATCH_H
#define ORIOLETALLY_DRIVERS_GATEWAY_ENGINE_WATCH_H

#include "core/backends/engine_client.h"
#include "core/membership/member.h"
#include "drivers/gateway/background_calls.h"
#include "drivers/gateway/periodic_thread.h"
#include "drivers/gateway/shared_router.h"
#include "drivers/metrics/node_metrics.h"
#include "drivers/peer/peer_service.h"

#include <mutex>
#include <string>
#include <vector>

namespace orioletally::drivers::gateway {

/// Polls the engines that rendezvous hashing assigns to this node: applies
/// their load reports and drain signals, shares the reports with the other
/// nodes of the zone, and releases streams that are past their deadline or
/// whose owner is gone. It is harmless when two nodes, or for a while none,
/// watch an engine.
class EngineWatch {
public:
  EngineWatch(core::backends::EngineClient &engines, SharedRouter &router,
              peer::PeerService &peers, BackgroundCalls &background,
              metrics::NodeMetrics &nodeMetrics, absl::Duration period);
  ~EngineWatch();
  EngineWatch(const EngineWatch &) = delete;
  EngineWatch &operator=(const EngineWatch &) = delete;

  void start();
  void stop();

private:
  struct AssignedEngine {
    std::string Id;
    std::string Address;
  };

  void pollEngines();
  std::vector<AssignedEngine> assignedEngines();
  void pollEngine(const AssignedEngine &engine);
  void applyReport(const AssignedEngine &engine,
                   const core::backends::EngineReport &report);
  /// Sends the load reports received since the last poll to the other nodes, in
  /// one message per node.
  void shareLoads();

  core::backends::EngineClient &Engines;
  SharedRouter &Router;
  peer::PeerService &Peers;
  BackgroundCalls &Background;
  metrics::NodeMetrics &Metrics;
  absl::Duration Period;

  std::mutex Guard;
  core::membership::EngineLoads UnsharedLoads;
  PeriodicThread PollThread;
};

} // namespace orioletally::drivers::gateway

#endif

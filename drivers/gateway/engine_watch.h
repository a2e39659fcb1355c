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

/// Watches the engines that fall to this node by rendezvous hash: takes their
/// load reports and drain signals, hands the reports to the other nodes of its
/// zone, and releases memory that has lost its owner or its deadline. When two
/// nodes, or none for a while, watch an engine, nothing goes wrong.
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
  /// Passes on what was reported since the last round, in one message a node.
  void shareLoads();

  core::backends::EngineClient &Engines;
  SharedRouter &Router;
  peer::PeerService &Peers;
  BackgroundCalls &Background;
  metrics::NodeMetrics &Metrics;
  absl::Duration Period;

  std::mutex Guard;
  core::membership::EngineLoads UnsharedLoads;
  PeriodicThread Loop;
};

} // namespace orioletally::drivers::gateway

#endif

#ifndef ORIOLETALLY_DRIVERS_GATEWAY_ENGINE_WATCH_H
#define ORIOLETALLY_DRIVERS_GATEWAY_ENGINE_WATCH_H

#include "core/backends/engine_client.h"
#include "core/membership/member.h"
#include "drivers/gateway/background_calls.h"
#include "drivers/gateway/loop_thread.h"
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
  EngineWatch(core::backends::EngineClient &client, SharedRouter &target,
              peer::PeerService &service, BackgroundCalls &calls,
              metrics::NodeMetrics &figures, absl::Duration period);
  ~EngineWatch();
  EngineWatch(const EngineWatch &) = delete;
  EngineWatch &operator=(const EngineWatch &) = delete;

  void start();
  void stop();

private:
  struct Target {
    std::string Id;
    std::string Address;
  };

  void round();
  std::vector<Target> ownTargets();
  void visit(const Target &target);
  void take(const Target &target, const core::backends::EngineReport &report);
  /// Passes on what was reported since the last round, in one message a node.
  void shareLoads();

  core::backends::EngineClient &Engines;
  SharedRouter &Router;
  peer::PeerService &Peers;
  BackgroundCalls &Background;
  metrics::NodeMetrics &Metrics;
  absl::Duration Period;

  std::mutex Guard;
  core::membership::EngineLoads Fresh;
  LoopThread Loop;
};

} // namespace orioletally::drivers::gateway

#endif

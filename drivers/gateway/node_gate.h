#ifndef ORIOLETALLY_DRIVERS_GATEWAY_NODE_GATE_H
#define ORIOLETALLY_DRIVERS_GATEWAY_NODE_GATE_H

#include "core/errors/request_error.h"
#include "core/limits/stream_limiter.h"

#include <absl/time/time.h>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

namespace orioletally::drivers::gateway {

class NodeGate;

/// The right of one request to be in progress; given back when destroyed.
class GateTicket {
public:
  GateTicket(NodeGate &owner, std::string holder);
  ~GateTicket();
  GateTicket(const GateTicket &) = delete;
  GateTicket &operator=(const GateTicket &) = delete;

private:
  NodeGate &Gate;
  std::string Workspace;
};

using GateResult =
    std::variant<std::shared_ptr<GateTicket>, core::errors::RequestError>;

/// Lets requests in, up to the node's limits and until it begins to drain.
class NodeGate {
public:
  explicit NodeGate(int64_t maxStreams);

  GateResult tryEnter(const std::string &workspace);

  /// Refuses every further request.
  void beginDrain();
  bool isDraining() const { return Draining; }

  /// Tells the requests in progress to end with an error.
  void cutOff() { CutOff = true; }
  bool isCutOff() const { return CutOff; }

  /// Waits until nothing is in progress, for at most \p bound.
  bool waitIdle(absl::Duration bound);

  int64_t inProgress() const;

private:
  friend class GateTicket;
  void leave(const std::string &workspace);

  mutable std::mutex Guard;
  std::condition_variable Changed;
  core::limits::StreamLimiter Limiter;
  std::atomic<bool> Draining = false;
  std::atomic<bool> CutOff = false;
};

} // namespace orioletally::drivers::gateway

#endif

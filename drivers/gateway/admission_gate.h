#ifndef ORIOLETALLY_DRIVERS_GATEWAY_ADMISSION_GATE_H
#define ORIOLETALLY_DRIVERS_GATEWAY_ADMISSION_GATE_H

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

class AdmissionGate;

/// The right of one request to be in progress; given back when destroyed.
class AdmissionPermit {
public:
  AdmissionPermit(AdmissionGate &gate, std::string workspace);
  ~AdmissionPermit();
  AdmissionPermit(const AdmissionPermit &) = delete;
  AdmissionPermit &operator=(const AdmissionPermit &) = delete;

private:
  AdmissionGate &Gate;
  std::string Workspace;
};

using AdmissionResult =
    std::variant<std::shared_ptr<AdmissionPermit>, core::errors::RequestError>;

/// Lets requests in, up to the node's limits and until it begins to drain.
class AdmissionGate {
public:
  explicit AdmissionGate(int64_t maxStreams);

  AdmissionResult tryAdmit(const std::string &workspace);

  /// Refuses every further request.
  void beginDrain();
  bool isDraining() const { return Draining; }

  /// Tells the requests in progress to end with an error.
  void abortRequests() { Aborting = true; }
  bool isAborting() const { return Aborting; }

  /// Waits until nothing is in progress, for at most \p bound.
  bool waitIdle(absl::Duration timeout);

  int64_t inProgress() const;

private:
  friend class AdmissionPermit;
  void release(const std::string &workspace);

  mutable std::mutex Guard;
  std::condition_variable Changed;
  core::limits::StreamLimiter Limiter;
  std::atomic<bool> Draining = false;
  std::atomic<bool> Aborting = false;
};

} // namespace orioletally::drivers::gateway

#endif

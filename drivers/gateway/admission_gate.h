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

/// Permission for one request to be in progress; released on destruction.
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

/// Admits requests up to the node's limits, until the node begins to drain.
class AdmissionGate {
public:
  explicit AdmissionGate(int64_t maxStreams);

  /// Returns a permit, or the error that says why the request isn't admitted.
  AdmissionResult tryAdmit(const std::string &workspace);

  /// From now on, refuses every new request.
  void beginDrain();
  bool isDraining() const { return Draining; }

  /// Makes the completions in progress end with an error; they poll
  /// isAborting().
  void abortRequests() { Aborting = true; }
  bool isAborting() const { return Aborting; }

  /// Waits until no request is in progress; returns false if that takes longer
  /// than \p timeout.
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

#include "drivers/gateway/admission_gate.h"

#include <utility>

namespace orioletally::drivers::gateway {

namespace {

using core::errors::ErrorCode;
using core::errors::RequestError;
using core::errors::RequestErrorBuilder;
using core::limits::StreamVerdict;

constexpr int64_t RetryAfterMs = 1000;

RequestError retryLaterError(ErrorCode code, std::string message,
                             std::string rule) {
  return RequestErrorBuilder(code, std::move(message))
      .rule(std::move(rule))
      .retryAfterMs(RetryAfterMs)
      .build();
}

} // namespace

AdmissionPermit::AdmissionPermit(AdmissionGate &gate, std::string workspace)
    : Gate(gate), Workspace(std::move(workspace)) {}

AdmissionPermit::~AdmissionPermit() { Gate.release(Workspace); }

AdmissionGate::AdmissionGate(int64_t maxStreams) : Limiter(maxStreams) {}

AdmissionResult AdmissionGate::tryAdmit(const std::string &workspace) {
  const std::lock_guard lock(Guard);
  if (Draining)
    return retryLaterError(ErrorCode::Draining,
                           "the entry node is shutting down", "node.drain");
  switch (Limiter.tryEnter(workspace)) {
  case StreamVerdict::Admitted:
    return std::make_shared<AdmissionPermit>(*this, workspace);
  case StreamVerdict::NodeFull:
    return retryLaterError(
        ErrorCode::Overloaded,
        "the entry node has reached its limit of requests in progress",
        "setting http.max_streams");
  case StreamVerdict::WorkspaceFull:
    return retryLaterError(ErrorCode::RateLimited,
                           "the workspace has reached its share of the "
                           "requests in progress on a busy entry node",
                           "setting http.max_streams shared by workspaces");
  }
  return retryLaterError(ErrorCode::Internal,
                         "unexpected result of admission control",
                         "admission control");
}

void AdmissionGate::beginDrain() {
  const std::lock_guard lock(Guard);
  Draining = true;
}

bool AdmissionGate::waitIdle(absl::Duration timeout) {
  std::unique_lock lock(Guard);
  return Changed.wait_for(lock, absl::ToChronoMilliseconds(timeout),
                          [this] { return Limiter.inProgress() == 0; });
}

int64_t AdmissionGate::inProgress() const {
  const std::lock_guard lock(Guard);
  return Limiter.inProgress();
}

void AdmissionGate::release(const std::string &workspace) {
  const std::lock_guard lock(Guard);
  Limiter.leave(workspace);
  Changed.notify_all();
}

} // namespace orioletally::drivers::gateway

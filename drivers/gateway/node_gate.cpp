#include "drivers/gateway/node_gate.h"

#include <utility>

namespace orioletally::drivers::gateway {

namespace {

using core::errors::ErrorCode;
using core::errors::RequestError;
using core::errors::RequestErrorBuilder;
using core::limits::StreamVerdict;

constexpr int64_t RetryAfterMs = 1000;

RequestError notNow(ErrorCode code, std::string message, std::string rule) {
  return RequestErrorBuilder(code, std::move(message))
      .rule(std::move(rule))
      .retryAfterMs(RetryAfterMs)
      .build();
}

} // namespace

GateTicket::GateTicket(NodeGate &owner, std::string holder)
    : Gate(owner), Workspace(std::move(holder)) {}

GateTicket::~GateTicket() { Gate.leave(Workspace); }

NodeGate::NodeGate(int64_t maxStreams) : Limiter(maxStreams) {}

GateResult NodeGate::tryEnter(const std::string &workspace) {
  const std::lock_guard lock(Guard);
  if (Draining)
    return notNow(ErrorCode::Draining, "the entry node is shutting down",
                  "node.drain");
  switch (Limiter.tryEnter(workspace)) {
  case StreamVerdict::Admitted:
    return std::make_shared<GateTicket>(*this, workspace);
  case StreamVerdict::NodeFull:
    return notNow(ErrorCode::Overloaded, "the entry node is full",
                  "setting http.max_streams");
  case StreamVerdict::WorkspaceFull:
    return notNow(ErrorCode::RateLimited,
                  "the workspace holds its share of a busy entry node",
                  "setting http.max_streams shared by workspaces");
  }
  return notNow(ErrorCode::Internal, "no verdict", "node gate");
}

void NodeGate::beginDrain() {
  const std::lock_guard lock(Guard);
  Draining = true;
}

bool NodeGate::waitIdle(absl::Duration bound) {
  std::unique_lock lock(Guard);
  return Changed.wait_for(lock, absl::ToChronoMilliseconds(bound),
                          [this] { return Limiter.inProgress() == 0; });
}

int64_t NodeGate::inProgress() const {
  const std::lock_guard lock(Guard);
  return Limiter.inProgress();
}

void NodeGate::leave(const std::string &workspace) {
  const std::lock_guard lock(Guard);
  Limiter.leave(workspace);
  Changed.notify_all();
}

} // namespace orioletally::drivers::gateway

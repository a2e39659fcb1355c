#include "core/relay/connection_state.h"

#include <array>

namespace orioletally::core::relay {

namespace {

constexpr std::array<std::string_view, CloseReasonCount> CloseReasonNames = {
    "idle_timeout", "shutdown", "too_many", "process_end"};

} // namespace

std::string_view closeReasonName(CloseReason reason) {
  return CloseReasonNames[static_cast<size_t>(reason)];
}

void ConnectionState::startWaiting(absl::Time now) {
  if (Phase == ConnectionPhase::Closing)
    return;
  Phase = ConnectionPhase::Waiting;
  WaitsSince = now;
}

void ConnectionState::startReading() {
  if (Phase != ConnectionPhase::Closing)
    Phase = ConnectionPhase::Reading;
}

void ConnectionState::startAnswering() {
  if (Phase != ConnectionPhase::Closing)
    Phase = ConnectionPhase::Answering;
  ++Calls;
}

bool ConnectionState::keepsNode(absl::Time now, size_t untaken) const {
  switch (Phase) {
  case ConnectionPhase::Waiting:
    return !closesForShutdown(now, untaken);
  case ConnectionPhase::Reading:
  case ConnectionPhase::Answering:
    return true;
  case ConnectionPhase::Closing:
    return EndsAnswer;
  }
  return false;
}

absl::Duration ConnectionState::idleTime(absl::Time now) const {
  return Phase == ConnectionPhase::Waiting ? now - WaitsSince
                                           : absl::ZeroDuration();
}

} // namespace orioletally::core::relay

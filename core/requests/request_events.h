#ifndef ORIOLETALLY_CORE_REQUESTS_REQUEST_EVENTS_H
#define ORIOLETALLY_CORE_REQUESTS_REQUEST_EVENTS_H

#include "core/backends/engine_client.h"
#include "core/errors/request_error.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace orioletally::core::requests {

/// Numbers the connections that one request opens, from 1.
using ConnectionNumber = uint32_t;

struct FrameArrived {
  ConnectionNumber Connection;
  backends::Frame Frame;
};
struct SubmitRefused {
  ConnectionNumber Connection;
  backends::EngineRefusal Refusal;
};
struct StreamNotFound {
  ConnectionNumber Connection;
};
struct ConnectionClosed {
  ConnectionNumber Connection;
  backends::BackendError Error;
};
struct CancelAnswered {
  uint32_t Attempt;
  /// Empty when the cancel itself got no answer.
  std::optional<backends::CancelAnswer> Answer;
};
struct CallerLeft {};
struct DrainTimeoutExpired {};
/// Time passed; the machine looks at its bounds.
struct TimerFired {};

/// What can happen to a request.
using RequestEvent =
    std::variant<FrameArrived, SubmitRefused, StreamNotFound, ConnectionClosed,
                 CancelAnswered, CallerLeft, DrainTimeoutExpired, TimerFired>;

/// Open a connection and submit the attempt there.
struct OpenSubmit {
  ConnectionNumber Connection;
  uint32_t Attempt;
  std::string BackendId;
  std::string Address;
};
/// Open a connection and go on with the attempt from a token offset.
struct OpenResume {
  ConnectionNumber Connection;
  uint32_t Attempt;
  uint64_t Offset;
  std::string Address;
};
/// Close a connection whose frames no longer count.
struct DropConnection {
  ConnectionNumber Connection;
};
/// Cancel an attempt; `Awaited` asks for a CancelAnswered event.
struct SendCancel {
  uint32_t Attempt;
  std::string Address;
  bool Awaited;
};
struct DeliverToken {
  std::string Text;
};
/// Forget the tokens of an answer that hasn't reached the caller.
struct RestartAnswer {};
struct CompleteAnswer {
  uint64_t Tokens;
  std::string FinishReason;
};
struct FailAnswer {
  errors::RequestError Error;
};

/// What the machine asks its driver to do, in order.
using RequestAction =
    std::variant<OpenSubmit, OpenResume, DropConnection, SendCancel,
                 DeliverToken, RestartAnswer, CompleteAnswer, FailAnswer>;
using RequestActions = std::vector<RequestAction>;

} // namespace orioletally::core::requests

#endif

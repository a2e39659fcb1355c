#ifndef ORIOLETALLY_CORE_REQUESTS_REQUEST_EVENTS_H
#define ORIOLETALLY_CORE_REQUESTS_REQUEST_EVENTS_H

#include "core/backends/engine_client.h"
#include "core/errors/request_error.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace orioletally::core::requests {

/// Number of a connection within its request, from 1.
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
  /// Empty if the cancel got no answer.
  std::optional<backends::CancelAnswer> Answer;
};
struct CallerDisconnected {};
struct DrainTimeoutExpired {};
/// The time returned by RequestMachine::nextWake() has been reached; the
/// machine checks its deadlines.
struct TimerFired {};

/// An event that the driver passes to the machine.
using RequestEvent =
    std::variant<FrameArrived, SubmitRefused, StreamNotFound, ConnectionClosed,
                 CancelAnswered, CallerDisconnected, DrainTimeoutExpired,
                 TimerFired>;

/// Opens a connection and submits the attempt on it.
struct OpenSubmit {
  ConnectionNumber Connection;
  uint32_t Attempt;
  std::string BackendId;
  std::string Address;
};
/// Opens a connection and resumes the attempt at a token offset.
struct OpenResume {
  ConnectionNumber Connection;
  uint32_t Attempt;
  uint64_t Offset;
  std::string Address;
};
/// Closes a connection whose further frames are ignored.
struct DropConnection {
  ConnectionNumber Connection;
};
/// Cancels an attempt. If `Awaited` is set, the driver reports the answer as a
/// CancelAnswered event.
struct SendCancel {
  uint32_t Attempt;
  std::string Address;
  bool Awaited;
};
struct DeliverToken {
  std::string Text;
};
/// Discards the buffered tokens of an answer, none of which reached the caller.
struct RestartAnswer {};
struct CompleteAnswer {
  uint64_t Tokens;
  std::string FinishReason;
};
struct FailAnswer {
  errors::RequestError Error;
};

/// An action that the driver carries out, in the order of RequestActions.
using RequestAction =
    std::variant<OpenSubmit, OpenResume, DropConnection, SendCancel,
                 DeliverToken, RestartAnswer, CompleteAnswer, FailAnswer>;
using RequestActions = std::vector<RequestAction>;

} // namespace orioletally::core::requests

#endif

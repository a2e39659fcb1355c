#ifndef ORIOLETALLY_CORE_BACKENDS_ENGINE_CLIENT_H
#define ORIOLETALLY_CORE_BACKENDS_ENGINE_CLIENT_H

#include "core/backends/frame.h"

#include <absl/time/time.h>
#include <boost/leaf.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace orioletally::core::backends {

/// Identifies one stream on one engine.
struct StreamId {
  std::string RequestId;
  uint32_t Attempt = 0;

  bool operator==(const StreamId &) const = default;
};

/// How an engine answers a cancel. With `NeverStarted` it guarantees that it
/// refuses a submit of the same stream that arrives later.
enum class CancelState { NeverStarted, Stopped, Finished };

/// An engine's answer to a cancel. A restarted engine has lost its record of
/// earlier streams, so `NeverStarted` proves nothing about a submit from before
/// the restart.
struct CancelAnswer {
  CancelState State = CancelState::Finished;
  /// Time since the engine started.
  absl::Duration Uptime;
};

/// Returns the wire name of \p state, such as "never_started".
std::string_view cancelStateName(CancelState state);

/// Returns the state with the wire name \p name, or nothing if there is none.
std::optional<CancelState> cancelStateFromName(std::string_view name);

/// The submit of one attempt.
struct EngineSubmit {
  StreamId Stream;
  /// Node and incarnation that own the stream. The engine reports them back, so
  /// that the memory of a dead owner can be released.
  std::string Owner;
  /// Time left until the deadline of the whole request.
  absl::Duration TimeLeft;
  int64_t Priority = 0;
  int64_t MaxTokens = 0;
  std::string Model;
  /// Separates the prefix caches of workspaces.
  std::string CacheSalt;
  std::string Prompt;
};

/// An engine's explicit refusal of a submit, before any of it ran.
struct EngineRefusal {
  std::string Code;
  std::string Message;
  int64_t RetryAfterMs = 0;
  bool Draining = false;
};

/// A failed call to a backend server. If `Written` is false, no byte of the
/// request left this process, so the request didn't run.
struct BackendError {
  std::string Message;
  bool Written = true;
};

/// Receives the events of one connection to an engine, on a thread or the event
/// loop of the client. `closed` or `refused` is the last call.
class StreamObserver {
public:
  virtual ~StreamObserver() = default;

  virtual void frame(Frame frame) = 0;
  virtual void refused(EngineRefusal refusal) = 0;
  /// The engine has no such stream; answers only a resume.
  virtual void unknownStream() = 0;
  /// The connection ended. The answer is complete only if a Final frame came
  /// before.
  virtual void closed(BackendError error) = 0;
};

/// One open connection that carries a stream. The destructor closes the
/// connection and waits until the observer is no longer called.
class EngineConnection {
public:
  virtual ~EngineConnection() = default;

  /// Closes the connection. May be called from any thread and repeatedly.
  virtual void stop() = 0;
};

/// Memory that an engine has allocated to one stream.
struct StreamHolding {
  StreamId Stream;
  std::string Owner;
  int64_t Tokens = 0;
  /// Time left until the stream's deadline, by the engine's clock.
  absl::Duration TimeLeft;
  bool Finished = false;
  /// Time for which no connection has read the stream; zero while one does.
  absl::Duration DetachedFor;
};

/// An engine's answer to a status request.
struct EngineReport {
  LoadReport Load;
  bool Draining = false;
  /// Streams past their deadline, and streams that no connection has read for
  /// the requested time.
  std::vector<StreamHolding> StaleStreams;
};

/// Client of the published protocol of a model engine. Implementations must
/// pass the contract tests in tests/contract.
class EngineClient {
public:
  virtual ~EngineClient() = default;

  /// Opens a new connection and submits. Never blocks on the network.
  virtual std::unique_ptr<EngineConnection>
  submit(const std::string &address, EngineSubmit submit,
         absl::Duration connectTimeout,
         std::shared_ptr<StreamObserver> observer) = 0;

  /// Opens a new connection and resumes a stream at token \p offset.
  virtual std::unique_ptr<EngineConnection>
  resume(const std::string &address, StreamId stream, uint64_t offset,
         absl::Duration connectTimeout,
         std::shared_ptr<StreamObserver> observer) = 0;

  /// Cancels a stream. The engine keeps a tombstone and refuses a submit of it
  /// that arrives later.
  virtual boost::leaf::result<CancelAnswer> cancel(const std::string &address,
                                                   const StreamId &stream,
                                                   absl::Duration timeout) = 0;

  /// Requests the load, and the streams that no connection has read for
  /// \p detachedFor or whose deadline has passed.
  virtual boost::leaf::result<EngineReport> report(const std::string &address,
                                                   absl::Duration detachedFor,
                                                   absl::Duration timeout) = 0;
};

} // namespace orioletally::core::backends

#endif

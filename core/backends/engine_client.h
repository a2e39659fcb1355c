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

/// Names one stream on one engine.
struct StreamId {
  std::string RequestId;
  uint32_t Attempt = 0;

  bool operator==(const StreamId &) const = default;
};

/// What an engine answers to a cancel. `NeverStarted` promises that a submit
/// of the same stream that arrives later is refused.
enum class CancelState { NeverStarted, Stopped, Finished };

/// An engine's answer to a cancel, with the time since it started: an engine
/// that restarted has forgotten what it ran, and its `NeverStarted` is worth
/// nothing about submits from before.
struct CancelAnswer {
  CancelState State = CancelState::Finished;
  absl::Duration Uptime;
};

/// Returns the wire name of \p state, such as "never_started".
std::string_view cancelStateName(CancelState state);

/// Returns the state that \p name stands for on the wire.
std::optional<CancelState> cancelStateFromName(std::string_view name);

/// The submit of one attempt.
struct EngineSubmit {
  StreamId Stream;
  /// Node and incarnation that own the stream, for the release of memory.
  std::string Owner;
  /// Time left for the whole request.
  absl::Duration TimeLeft;
  int64_t Priority = 0;
  int64_t MaxTokens = 0;
  std::string Model;
  /// Keeps the prefix caches of workspaces apart.
  std::string CacheSalt;
  std::string Prompt;
};

/// An engine's explicit refusal, given before anything ran.
struct EngineRefusal {
  std::string Code;
  std::string Message;
  int64_t RetryAfterMs = 0;
  bool Draining = false;
};

/// A call to a backend server that failed. When `Written` is false, no byte of
/// the request left this process, so it was surely not run.
struct BackendError {
  std::string Message;
  bool Written = true;
};

/// Receives what happens on one connection to an engine, on a thread of the
/// client's or its event loop. After `closed` or `refused` nothing more is
/// called.
class StreamObserver {
public:
  virtual ~StreamObserver() = default;

  virtual void frame(Frame frame) = 0;
  virtual void refused(EngineRefusal refusal) = 0;
  /// The engine knows no such stream; only a resume is answered so.
  virtual void unknownStream() = 0;
  /// The connection ended. Whether the answer is whole shows only from a final
  /// frame before.
  virtual void closed(BackendError error) = 0;
};

/// One open connection that carries a stream. Destroying it closes the
/// connection and waits until the observer is no longer called.
class EngineConnection {
public:
  virtual ~EngineConnection() = default;

  /// Closes the connection; may be called from any thread, more than once.
  virtual void stop() = 0;
};

/// Memory that an engine holds for one stream.
struct StreamHolding {
  StreamId Stream;
  std::string Owner;
  int64_t Tokens = 0;
  /// Time left until the stream's deadline, as the engine counts it.
  absl::Duration TimeLeft;
  bool Finished = false;
  /// How long nobody has been reading the stream; zero while someone does.
  absl::Duration DetachedFor;
};

/// What an engine says of itself when it is asked.
struct EngineReport {
  LoadReport Load;
  bool Draining = false;
  /// Streams past their deadline, and those that nobody has been reading for
  /// the time that was asked about.
  std::vector<StreamHolding> StaleStreams;
};

/// The published protocol of a model engine. Implementations must pass
/// tests/contract/engine_client_contract.
class EngineClient {
public:
  virtual ~EngineClient() = default;

  /// Opens a new connection and submits. Never blocks on the network.
  virtual std::unique_ptr<EngineConnection>
  submit(const std::string &address, EngineSubmit submit,
         absl::Duration connectTimeout,
         std::shared_ptr<StreamObserver> observer) = 0;

  /// Opens a new connection and goes on with a stream from token \p offset.
  virtual std::unique_ptr<EngineConnection>
  resume(const std::string &address, StreamId stream, uint64_t offset,
         absl::Duration connectTimeout,
         std::shared_ptr<StreamObserver> observer) = 0;

  /// Cancels a stream and leaves a tombstone against a late submit.
  virtual boost::leaf::result<CancelAnswer> cancel(const std::string &address,
                                                   const StreamId &stream,
                                                   absl::Duration timeout) = 0;

  /// Asks for the load and for the streams that nobody has been reading for
  /// \p detachedFor or whose deadline has passed.
  virtual boost::leaf::result<EngineReport> report(const std::string &address,
                                                   absl::Duration detachedFor,
                                                   absl::Duration timeout) = 0;
};

} // namespace orioletally::core::backends

#endif

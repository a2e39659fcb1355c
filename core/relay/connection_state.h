#ifndef ORIOLETALLY_CORE_RELAY_CONNECTION_STATE_H
#define ORIOLETALLY_CORE_RELAY_CONNECTION_STATE_H

#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace orioletally::core::relay {

/// What happens on a caller's connection: the node waits for a call, reads it,
/// answers it, or has said that it closes the connection.
enum class ConnectionPhase { Waiting, Reading, Answering, Closing };

/// Why a node closes a caller's connection that isn't in use.
enum class CloseReason { IdleTimeout, Shutdown, TooMany, ProcessEnd };

constexpr size_t CloseReasonCount = 4;

/// Returns the name of \p reason in log lines.
std::string_view closeReasonName(CloseReason reason);

/// Decides whether a caller's connection may be closed. Bytes that have arrived
/// and weren't taken belong to a call: a connection that has some isn't idle.
class ConnectionState {
public:
  /// Time in which the call of a new connection, or the next one after an
  /// answer, may arrive although the node is stopping.
  static constexpr absl::Duration ArrivalTime = absl::Seconds(1);

  /// A connection that was accepted at \p now.
  explicit ConnectionState(absl::Time now) : WaitsSince(now) {}

  /// Starts the wait for the next call, unless the connection is closing.
  void startWaiting(absl::Time now);
  /// Records that the first bytes of a call were taken.
  void startReading();
  /// Records that the answer to a call begins.
  void startAnswering();
  /// Records that the node has announced the close: in an answer that it has
  /// written if \p isAnswered, else by the end of its side of the connection.
  void startClosing(bool isAnswered) {
    Phase = ConnectionPhase::Closing;
    EndsAnswer = isAnswered;
  }

  /// Whether no call is in progress or has begun to arrive; \p untaken is the
  /// number of bytes that have arrived and weren't taken.
  bool isIdle(size_t untaken) const {
    return Phase == ConnectionPhase::Waiting && untaken == 0;
  }

  /// Whether a stopping node may close the connection at \p now.
  bool closesForShutdown(absl::Time now, size_t untaken) const {
    return isIdle(untaken) && now - WaitsSince >= ArrivalTime;
  }

  /// Whether a call is arriving: some of its bytes are there, and it isn't
  /// being answered yet.
  bool isArriving(size_t untaken) const {
    return Phase == ConnectionPhase::Reading ||
           (Phase == ConnectionPhase::Waiting && untaken > 0);
  }

  /// Whether the process may not end at \p now because of this connection.
  bool keepsNode(absl::Time now, size_t untaken) const;

  ConnectionPhase phase() const { return Phase; }
  /// How long the connection has waited for a call at \p now.
  absl::Duration idleTime(absl::Time now) const;
  /// The number of calls that were answered.
  int64_t calls() const { return Calls; }

private:
  ConnectionPhase Phase = ConnectionPhase::Waiting;
  absl::Time WaitsSince;
  /// Whether an answer was written that the caller may not have read yet.
  bool EndsAnswer = false;
  int64_t Calls = 0;
};

} // namespace orioletally::core::relay

#endif

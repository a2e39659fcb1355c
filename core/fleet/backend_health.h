#ifndef ORIOLETALLY_CORE_FLEET_BACKEND_HEALTH_H
#define ORIOLETALLY_CORE_FLEET_BACKEND_HEALTH_H

#include <absl/time/time.h>

namespace orioletally::core::fleet {

/// The result of one exchange, as evidence of a backend server's health.
enum class HealthSignal {
  /// A complete answer.
  Good,
  /// An invalid answer, or one that reports a failure of the backend server.
  Failed,
  /// It rejected the call because it is at capacity.
  Full,
  /// The connection failed or broke, or no answer came in time.
  Lost,
};

/// The health of one backend server, estimated only from calls sent to it:
/// health probes aren't free, and their results can be wrong either way.
///
/// Engines that hang, slow down or fail some of their requests look idle and
/// would otherwise attract all new work. Backend servers can be so overloaded
/// that even rejecting calls costs them more than they can spare.
class BackendHealth {
public:
  /// Records the result of an exchange; after a loss the backoff starts.
  void observe(HealthSignal signal, absl::Time now);

  /// Records that the first token or the answer took \p actual where
  /// \p predicted was expected.
  void observeLatency(absl::Duration actual, absl::Duration predicted);

  /// Sends nothing for \p time, as the backend server asked. Very long
  /// pauses are shortened.
  void pause(absl::Duration time, absl::Time now);

  /// Whether nothing may be sent, not even a trial call.
  bool isPaused(absl::Time now) const { return now < PausedUntil; }

  /// End of the pause that the backend server asked for.
  absl::Time pausedUntil() const { return PausedUntil; }

  /// Whether new work may be sent. It may not during the backoff after a loss
  /// or during a pause; after that one trial call at a time may be sent until
  /// one succeeds.
  bool acceptsCalls(absl::Time now) const;

  /// Records that a call is about to be sent. After a loss or a pause it is the
  /// trial call, and others are held back while it runs.
  void recordSend(absl::Time now);

  /// Moving average of the share of calls that failed, 0 to 1.
  double failureShare() const { return FailureShare; }

  /// Moving average of the ratio of actual to predicted time; 1 or more, since
  /// lower ratios count as 1.
  double slowdownRatio() const { return Slowdown; }

  /// End of the backoff, when a trial call may be sent.
  absl::Time backoffUntil() const { return BackoffUntil; }

private:
  double FailureShare = 0;
  double Slowdown = 1;
  int ConsecutiveLosses = 0;
  /// Set from the start of a pause until a call is executed after its end.
  bool IsRecovering = false;
  absl::Time PausedUntil = absl::InfinitePast();
  absl::Time BackoffUntil = absl::InfinitePast();
};

} // namespace orioletally::core::fleet

#endif

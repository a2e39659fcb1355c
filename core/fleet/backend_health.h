#ifndef ORIOLETALLY_CORE_FLEET_BACKEND_HEALTH_H
#define ORIOLETALLY_CORE_FLEET_BACKEND_HEALTH_H

#include <absl/time/time.h>

namespace orioletally::core::fleet {

/// What one exchange says of a backend server's health.
enum class HealthSignal {
  /// A whole answer.
  Good,
  /// It answered with a failure of its own.
  Failed,
  /// It said that it is full.
  Full,
  /// No connection, a broken one, or silence.
  Lost,
};

/// The health of one backend server, judged from the calls sent to it alone:
/// answers to health probes can be wrong either way and aren't free.
///
/// Load answered: engines that stop, turn slow or fail a share of their
/// requests while they look idle, and so would attract all new work; and
/// backend servers that are so full that turning calls away costs them more
/// than they can spare.
class BackendHealth {
public:
  void observe(HealthSignal sign, absl::Time now);

  /// First token or answer came after \p actual where \p predicted was
  /// expected.
  void observeLatency(absl::Duration actual, absl::Duration predicted);

  /// The backend server wants nothing more from this node for \p time.
  void pause(absl::Duration time, absl::Time now);

  /// Whether nothing at all may be sent, not even a trial.
  bool isPaused(absl::Time now) const { return now < PausedUntil; }

  /// When the pause that was asked for ends.
  absl::Time pausedUntil() const { return PausedUntil; }

  /// Whether new work may be sent: always, but for the time after a loss and
  /// for a pause. After that time one call at a time is let through until one
  /// succeeds.
  bool acceptsCalls(absl::Time now) const;

  /// A call is about to be sent; after a loss it is the trial.
  void recordSend(absl::Time now);

  /// Share of recent calls that failed, 0 to 1.
  double failureShare() const { return FailureShare; }

  /// Seen time over predicted time, 1 or more.
  double slowdownRatio() const { return Slowdown; }

  /// When a closed backend server is tried again.
  absl::Time backoffUntil() const { return BackoffUntil; }

private:
  double FailureShare = 0;
  double Slowdown = 1;
  int ConsecutiveLosses = 0;
  /// A pause was asked for and nothing has been executed since its end.
  bool IsRecovering = false;
  absl::Time PausedUntil = absl::InfinitePast();
  absl::Time BackoffUntil = absl::InfinitePast();
};

} // namespace orioletally::core::fleet

#endif

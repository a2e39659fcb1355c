#ifndef ORIOLETALLY_CORE_LIMITS_RETRY_BUDGET_H
#define ORIOLETALLY_CORE_LIMITS_RETRY_BUDGET_H

#include <absl/time/time.h>
#include <cstdint>
#include <deque>
#include <utility>

namespace orioletally::core::limits {

/// Limits retries to a share of the successful requests, so that retries don't
/// overload a failing fleet further.
///
/// Extra retries are for the case that a backend server goes silent when a node
/// with little traffic has more requests in flight there than retries left.
class RetryBudget {
public:
  /// \p share is the number of retries that one success earns. \p reserve is
  /// the initial balance and its maximum.
  RetryBudget(double share, double reserve);

  /// Records a request that ended with a complete answer.
  void succeeded();

  /// How long extra retries remain valid: the longest stall timeout of a
  /// profile. Requests in flight at a silent backend server have been retried
  /// or have failed by then.
  static constexpr absl::Duration ExtraRetryLifetime = absl::Seconds(60);

  /// Allows \p n extra retries for ExtraRetryLifetime. They are for requests
  /// in flight at a silent backend server while most others work.
  void grantExtraRetries(int64_t n, absl::Time now);

  /// Takes one retry; returns false when neither the balance nor the extra
  /// retries cover it.
  bool tryTake(absl::Time now);

private:
  /// Drops extra retries that were used or have expired.
  void dropExpired(absl::Time now);

  double Share;
  double Reserve;
  double Balance;
  /// Remaining extra retries with their expiry times, earliest first.
  std::deque<std::pair<absl::Time, int64_t>> ExtraRetries;
};

} // namespace orioletally::core::limits

#endif

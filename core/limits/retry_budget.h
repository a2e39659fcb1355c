#ifndef ORIOLETALLY_CORE_LIMITS_RETRY_BUDGET_H
#define ORIOLETALLY_CORE_LIMITS_RETRY_BUDGET_H

#include <absl/time/time.h>
#include <cstdint>
#include <deque>
#include <utility>

namespace orioletally::core::limits {

/// Bounds retries to a share of the requests that succeed, so that a failing
/// fleet isn't loaded further by the retries against it.
///
/// Load answered: one backend server falls silent on a node with little
/// traffic, which has saved up fewer retries than that server holds requests.
class RetryBudget {
public:
  /// \p share is the retries earned by one success; \p reserve is what a node
  /// may spend before its first success and the most that it can save.
  RetryBudget(double share, double reserve);

  /// Earns for one request that ended with a whole answer.
  void succeeded();

  /// The longest stall bound of a profile: a request that is held longer has
  /// been given up.
  static constexpr absl::Duration ExtraRetryLifetime = absl::Seconds(60);

  /// Allows \p n retries more, for ExtraRetryLifetime: requests that one
  /// backend server holds while most others work.
  void grantExtraRetries(int64_t n, absl::Time now);

  /// Takes one retry from the budget; false when it is spent.
  bool tryTake(absl::Time now);

private:
  /// Drops moves that were made or have lapsed.
  void dropExpired(absl::Time now);

  double Share;
  double Reserve;
  double Balance;
  /// Moves that are left, by the time until which they may be made.
  std::deque<std::pair<absl::Time, int64_t>> ExtraRetries;
};

} // namespace orioletally::core::limits

#endif

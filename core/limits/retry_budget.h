#ifndef ORIOLETALLY_CORE_LIMITS_RETRY_BUDGET_H
#define ORIOLETALLY_CORE_LIMITS_RETRY_BUDGET_H

#include <cstdint>

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

  /// Allows \p n retries more: requests that one backend server holds while
  /// most others work.
  void allowMoves(int64_t n) { Moves += n; }

  /// Takes one retry from the budget; false when it is spent.
  bool tryTake();

private:
  double Share;
  double Reserve;
  double Balance;
  int64_t Moves = 0;
};

} // namespace orioletally::core::limits

#endif

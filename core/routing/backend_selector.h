#ifndef ORIOLETALLY_CORE_ROUTING_BACKEND_SELECTOR_H
#define ORIOLETALLY_CORE_ROUTING_BACKEND_SELECTOR_H

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace orioletally::core::routing {

/// A hash of the first `Tokens` tokens of a prompt, salted by workspace, that
/// tells which engine is believed to have them cached.
struct PrefixHash {
  int64_t Tokens = 0;
  uint64_t Key = 0;
};

/// What has to be routed.
struct RouteQuery {
  std::string Model;
  std::string Policy;
  int64_t PromptTokens = 0;
  int64_t MaxTokens = 0;
  /// Shortest first.
  std::vector<PrefixHash> Prefix;
  int64_t Priority = 0;
  /// Weight of the wait that this request's prefill adds to longer prompts,
  /// against its own wait; 0 to 1.
  double DelayWeight = 0.3;
  /// Backend servers that already failed this request.
  std::vector<std::string> Exclude;
  /// Submits made so far; a retry draws on the retry budget.
  int64_t AttemptsMade = 0;
};

/// The backend server that was chosen, and why.
struct RouteChoice {
  std::string BackendId;
  std::string Address;
  absl::Duration PredictedFirstToken;
  /// Prompt tokens that aren't believed to be cached there.
  int64_t PrefillTokens = 0;
  std::string Reason;
};

/// Why no backend server could be chosen, and when one may be.
enum class RouteRefusal {
  /// No backend server of that model is in use at all.
  NoneKnown,
  /// The prompt is larger than any backend server can hold.
  TooLarge,
  /// Those that could take it are busy, refusing or already tried.
  AllBusy,
  /// The retry budget is spent.
  BudgetSpent,
};

/// Returns the name of \p refusal for rules and logs.
std::string_view routeRefusalName(RouteRefusal refusal);

struct RouteDenied {
  RouteRefusal Reason = RouteRefusal::NoneKnown;
  int64_t RetryAfterMs = 0;
};

using RouteResult = std::variant<RouteChoice, RouteDenied>;

/// Chooses backend servers and learns from what became of the choices.
class BackendSelector {
public:
  virtual ~BackendSelector() = default;

  /// Chooses a backend server and counts the request as in flight on it.
  virtual RouteResult select(const RouteQuery &query, absl::Time now) = 0;

  /// The backend server said before it began that it won't take the request.
  virtual void refused(const std::string &backend, int64_t retryAfterMs,
                       bool draining, absl::Time now) = 0;

  /// A connection to the backend server failed or went silent.
  virtual void failed(const std::string &backend, absl::Time now) = 0;

  /// The request is no longer in flight there; \p completed tells whether it
  /// ended with a whole answer.
  virtual void released(const std::string &backend, const RouteQuery &query,
                        bool completed, absl::Time now) = 0;
};

} // namespace orioletally::core::routing

#endif

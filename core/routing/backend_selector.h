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

/// A hash of the first `Tokens` tokens of a prompt, salted by workspace. It is
/// the key for finding the engine that probably has them cached.
struct PrefixHash {
  int64_t Tokens = 0;
  uint64_t Key = 0;
};

/// The properties of a request that routing depends on.
struct RouteQuery {
  std::string Model;
  std::string Policy;
  int64_t PromptTokens = 0;
  int64_t MaxTokens = 0;
  /// Shortest first.
  std::vector<PrefixHash> Prefix;
  int64_t Priority = 0;
  /// Weight of the delay that this request's prefill adds to longer prompts,
  /// relative to its own wait; 0 to 1.
  double DelayWeight = 0.3;
  /// Backend servers that already failed this request.
  std::vector<std::string> Exclude;
  /// Submits made so far; every retry is charged to the retry budget.
  int64_t AttemptsMade = 0;
};

/// The chosen backend server, and why it was chosen.
struct RouteChoice {
  std::string BackendId;
  std::string Address;
  /// Predicted time until the first token.
  absl::Duration PredictedFirstToken;
  /// Prompt tokens that are probably not cached there.
  int64_t PrefillTokens = 0;
  std::string Reason;
};

/// Why no backend server could be chosen.
enum class RouteRefusal {
  /// No backend server runs the model or service, apart from leaving ones.
  NoneKnown,
  /// The prompt and its answer don't fit into the memory of any engine.
  TooLarge,
  /// No suitable backend server can be used now, for example because all of
  /// them are in backoff after a failure or a refusal.
  AllBusy,
  /// The retry budget is used up.
  BudgetSpent,
};

/// Returns the name of \p refusal for rules and logs.
std::string_view routeRefusalName(RouteRefusal refusal);

struct RouteDenied {
  RouteRefusal Reason = RouteRefusal::NoneKnown;
  /// Time after which a retry may succeed, in milliseconds; 0 if none would.
  int64_t RetryAfterMs = 0;
};

using RouteResult = std::variant<RouteChoice, RouteDenied>;

/// Chooses backend servers, and tracks how their requests end.
class BackendSelector {
public:
  virtual ~BackendSelector() = default;

  /// Chooses a backend server and counts the request as in flight on it.
  virtual RouteResult select(const RouteQuery &query, absl::Time now) = 0;

  /// The backend server refused the request before it ran any of it.
  virtual void refused(const std::string &backend, int64_t retryAfterMs,
                       bool draining, absl::Time now) = 0;

  /// A connection to the backend server failed or stalled.
  virtual void failed(const std::string &backend, absl::Time now) = 0;

  /// The request is no longer in flight there; \p completed is true if its
  /// answer is complete.
  virtual void released(const std::string &backend, const RouteQuery &query,
                        bool completed, absl::Time now) = 0;
};

} // namespace orioletally::core::routing

#endif

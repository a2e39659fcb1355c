#ifndef ORIOLETALLY_CORE_RELAY_DISPATCHER_H
#define ORIOLETALLY_CORE_RELAY_DISPATCHER_H

#include "core/engines/engine_placement.h"
#include "core/errors/request_error.h"
#include "core/fleet/backend_directory.h"
#include "core/limits/window_budget.h"
#include "core/relay/attempt_policy.h"
#include "core/relay/load_news.h"
#include "core/routes/routing_config.h"

#include <absl/time/time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace orioletally::core::relay {

/// A call that needs a backend server.
struct CallDemand {
  const routes::Route *Route = nullptr;
  std::shared_ptr<const routes::RoutingConfig> Config;
  int64_t PromptTokens = 0;
  int64_t AnswerTokens = 0;
  absl::Time ArrivedAt;
  absl::Time Deadline;
  /// Ids of the backend servers that it was sent to.
  std::vector<std::string> Tried;
};

/// A backend server chosen for an attempt, with the engines that help it.
struct Dispatch {
  std::shared_ptr<fleet::BackendServer> Server;
  std::vector<std::shared_ptr<fleet::BackendServer>> Helpers;
  /// Tokens of memory to be reserved at each helper; 0 for none.
  std::vector<int64_t> Reserved;
  /// Names the attempt in messages between nodes.
  uint64_t LoadId = 0;
  /// Zero when the service's backend servers aren't engines.
  absl::Duration PredictedFirstToken;
  absl::Time SentAt;
  /// Speed of the engine; null for plain services. Lives as long as Config.
  const engines::EngineSpeed *Speed = nullptr;
  std::shared_ptr<const routes::RoutingConfig> Config;
  /// Tokens of the prompt and of the expected answer.
  int64_t PromptTokens = 0;
  int64_t AnswerTokens = 0;
  /// The longest pause in the answer that is in time.
  absl::Duration Gap = absl::InfiniteDuration();
  bool IsFirstTokenSeen = false;
};

/// Parameters of a Dispatcher.
struct DispatcherSettings {
  std::string Zone;
  /// Distinguishes the load ids of this node from others'.
  uint64_t Incarnation = 0;
  limits::WindowBudgetSettings Retries;
  uint64_t Seed = 0;
};

/// Decides where each attempt of each call goes. Owns what the node believes
/// of the backend servers and their load; takes in what other nodes say.
class Dispatcher {
public:
  using News = std::function<void(const PromptNews &)>;

  explicit Dispatcher(const DispatcherSettings &wanted);

  /// Sets what is told to other nodes of each attempt.
  void setNews(News handler) { Tell = std::move(handler); }

  fleet::BackendDirectory &directory() { return Directory; }

  /// Whether there is a configuration and a list of backend servers.
  bool isInformed() const { return Config != nullptr && Directory.isRead(); }

  /// Sets the configuration in force.
  void setConfig(std::shared_ptr<const routes::RoutingConfig> config) {
    Config = std::move(config);
  }

  /// The configuration in force; null before the first one is known.
  const std::shared_ptr<const routes::RoutingConfig> &config() const {
    return Config;
  }

  /// A call came in for \p service.
  void arrived(const std::string &service, absl::Time now);

  /// Sets the bound on retries that holds from now on.
  void setRetries(const limits::WindowBudgetSettings &wanted);

  /// How many nodes share the budget of retries.
  void setNodes(size_t n);

  /// Takes one retry for \p service from the budget.
  bool tryRetry(const std::string &service, absl::Time now);

  /// Whether \p demand would find a backend server now.
  bool hasChoice(const CallDemand &demand, absl::Time now) {
    return std::holds_alternative<Dispatch>(choose(demand, now));
  }

  /// Chooses a backend server, or says why there is none.
  std::variant<Dispatch, errors::RequestError> choose(const CallDemand &demand,
                                                      absl::Time now);

  /// The attempt is about to be written.
  void sent(Dispatch &dispatch, absl::Time now);

  /// The first event of the answer has come.
  void firstToken(Dispatch &dispatch, absl::Time now);

  /// Bytes of the answer have come.
  void heard(Dispatch &dispatch, absl::Time now) const {
    dispatch.Server->LastReceivedAt = now;
  }

  /// The backend server turned the attempt away and wants nothing more from
  /// this node for \p time.
  static void pauseAsked(Dispatch &dispatch, absl::Duration time,
                         absl::Time now) {
    dispatch.Server->Health.pause(time, now);
  }

  /// When a caller whose call for \p service was turned away should come back:
  /// \p usual, or once the first backend server wants work again, where all
  /// have asked for a pause.
  absl::Duration comeBackIn(const std::string &service, absl::Duration usual,
                            absl::Time now) const;

  /// The attempt is over.
  void ended(Dispatch &dispatch, AttemptEnd end, absl::Time now);

  /// A backend server blames another, \p id, for a failure.
  void reportLost(const std::string &id, absl::Time now);

  /// Takes in what another node says of an attempt of its own.
  void takeNews(const PromptNews &news, absl::Time now);

private:
  std::variant<Dispatch, errors::RequestError>
  chooseEngine(const CallDemand &demand, const routes::Service &service,
               absl::Time now);
  std::variant<Dispatch, errors::RequestError>
  choosePlain(const CallDemand &demand, const std::string &service,
              absl::Time now);
  std::vector<std::shared_ptr<fleet::BackendServer>>
  candidates(const CallDemand &demand, const std::string &service,
             absl::Time now) const;
  /// When the first backend server of \p service wants work again; \p now
  /// unless all have asked for a pause.
  absl::Time pauseEnd(const std::string &service, absl::Time now) const;
  errors::RequestError noneLeft(const std::string &service,
                                absl::Time now) const;
  const std::string &pickService(const CallDemand &demand, absl::Time now);
  limits::WindowBudget &budget(const std::string &service);
  void tellPart(const Dispatch &dispatch, const fleet::BackendServer &server,
                NewsKind kind, const engines::RunningPrompt &prompt);
  absl::Duration handicap(const fleet::BackendServer &server) const;

  DispatcherSettings Settings;
  fleet::BackendDirectory Directory;
  std::shared_ptr<const routes::RoutingConfig> Config;
  std::map<std::string, limits::WindowBudget, std::less<>> Budgets;
  size_t Nodes = 1;
  std::mt19937_64 Random;
  uint64_t NextLoadId;
  News Tell;
};

} // namespace orioletally::core::relay

#endif

#ifndef ORIOLETALLY_CORE_RELAY_DISPATCHER_H
#define ORIOLETALLY_CORE_RELAY_DISPATCHER_H

#include "core/cost/cost_estimates.h"
#include "core/engines/engine_count.h"
#include "core/engines/engine_placement.h"
#include "core/errors/request_error.h"
#include "core/fleet/backend_directory.h"
#include "core/fleet/cold_returns.h"
#include "core/limits/window_budget.h"
#include "core/relay/admission.h"
#include "core/relay/attempt_policy.h"
#include "core/relay/load_update.h"
#include "core/relay/placement_message.h"
#include "core/routes/routing_config.h"

#include <absl/time/time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace orioletally::core::relay {

/// A call to dispatch to a backend server.
struct CallDemand {
  const routes::Route *Route = nullptr;
  std::shared_ptr<const routes::RoutingConfig> Config;
  int64_t PromptTokens = 0;
  /// Expected tokens of the answer; 0 if the caller states none.
  int64_t AnswerTokens = 0;
  /// Empty for calls without one.
  std::string Workspace;
  absl::Time ArrivedAt;
  absl::Time Deadline;
  /// Ids of the backend servers that earlier attempts were sent to.
  std::vector<std::string> Tried;
  /// If not empty, the ids of the backend servers that may be chosen.
  std::vector<std::string> Only;
  /// Replaces the largest predicted first-token latency that follows from the
  /// route.
  std::optional<absl::Duration> MaxPredictedFirstToken;
  /// Ids of the parts of the prompt that other prompts may share.
  std::vector<std::string> SharedParts;
  /// Identifies the call and the caller's retries of it; 0 if unknown.
  uint32_t CallHash = 0;
  /// Whether admission control has decided on the call already, here or in
  /// another cell.
  bool IsAdmissionDecided = false;
};

/// Identifies a placement that a node of another cell offered.
struct OfferedPlacement {
  uint64_t OfferId = 0;
  /// Address of the node.
  std::string Address;
};

/// A decision of admission control with its inputs, for logs and metrics.
struct AdmissionDecision {
  std::string Service;
  routes::CallRank Rank;
  AdmissionOutcome Outcome = AdmissionOutcome::Admitted;
  AdmissionLimits Limits;
  /// Mean time that the engines need for their pending prefill.
  absl::Duration Backlog;
  /// Predicted wait before the call's own prefill, and its limit.
  absl::Duration Wait;
  absl::Duration MaxWait = absl::InfiniteDuration();
};

/// The backend server chosen for an attempt, with the engines that help it.
struct Dispatch {
  std::shared_ptr<fleet::BackendServer> Server;
  std::vector<std::shared_ptr<fleet::BackendServer>> Helpers;
  /// Tokens of memory to reserve at each helper; 0 for none.
  std::vector<int64_t> Reserved;
  /// Identifies the attempt in messages between nodes.
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
  /// Tokens of the answer that the engine keeps memory for.
  int64_t AnnouncedTokens = 0;
  /// Name of the call's route, and its workspace.
  std::string Route;
  std::string Workspace;
  /// Events of the answer that arrived; 0 if the stream didn't begin with the
  /// answer's first event.
  int64_t EventCount = 0;
  /// The longest pause between two events that meets the caller's objective.
  absl::Duration GapObjective = absl::InfiniteDuration();
  /// Time from the choice until the first token is late.
  absl::Duration Objective = absl::InfiniteDuration();
  /// When the first event of the answer arrived, if it did.
  std::optional<absl::Time> FirstTokenAt;
  /// Set when a node of another cell offered the placement. That node, not this
  /// one, counts it as load.
  std::optional<OfferedPlacement> Offer;
  /// The call's rank; the only one unless calls are admitted by priority.
  routes::CallRank Rank;
  /// How the call was admitted; empty for a further attempt and unless calls
  /// are admitted by priority.
  std::optional<AdmissionUpdate> Admission;
  /// When the first event is late.
  absl::Time FirstTokenDue = absl::InfiniteFuture();
};

/// Parameters of a Dispatcher.
struct DispatcherSettings {
  std::string Zone;
  /// Distinguishes the load ids of this node from others'.
  uint64_t Incarnation = 0;
  limits::WindowBudgetSettings Retries;
  uint64_t Seed = 0;
  /// Whether calls are admitted by priority when they contend for capacity.
  bool AdmitByPriority = false;
  /// Whether calls are dispatched by learned costs.
  bool UsesLearnedCost = false;
};

/// Chooses the backend server for each attempt of each call. Owns this node's
/// view of the backend servers and their load, which includes the load updates
/// of other nodes.
class Dispatcher {
public:
  using LoadUpdateHandler = std::function<void(const LoadUpdate &)>;
  using OfferProgressHandler =
      std::function<void(const OfferedPlacement &, OfferEvent)>;

  explicit Dispatcher(const DispatcherSettings &settings);

  /// Sets the handler that sends load updates of this node's attempts to the
  /// other nodes.
  void setLoadUpdateHandler(LoadUpdateHandler handler) {
    OnLoadUpdate = std::move(handler);
  }

  /// Sets the handler that reports the progress of offered placements to the
  /// nodes that offered them.
  void setOfferProgressHandler(OfferProgressHandler handler) {
    OnOfferProgress = std::move(handler);
  }

  fleet::BackendDirectory &directory() { return Directory; }
  const fleet::BackendDirectory &directory() const { return Directory; }

  /// Whether a configuration and a list of backend servers have been read.
  bool isInitialized() const { return Config != nullptr && Directory.isRead(); }

  /// Sets the current configuration.
  void setConfig(std::shared_ptr<const routes::RoutingConfig> config);

  /// Returns the current configuration; null before the first one is read.
  const std::shared_ptr<const routes::RoutingConfig> &config() const {
    return Config;
  }

  /// Returns the learned costs; null if they aren't used.
  const cost::CostEstimates *costs() const {
    return Settings.UsesLearnedCost ? &Costs : nullptr;
  }

  /// Records a new call for \p service, which earns a share of a retry.
  void arrived(const std::string &service, absl::Time now);

  /// Replaces the settings of all retry budgets.
  void setRetryBudget(const limits::WindowBudgetSettings &settings);

  /// Sets how many nodes share the retry budget.
  void setNodeCount(size_t n);

  /// Takes one retry from the budget of \p service; false when it is spent.
  bool tryRetry(const std::string &service, absl::Time now);

  /// Chooses a backend server, or returns the error to refuse the call with.
  std::variant<Dispatch, errors::RequestError> choose(const CallDemand &demand,
                                                      absl::Time now);

  /// Returns the service of \p demand whose engines are divided among the
  /// cells; null if there is none.
  const std::string *partitionedService(const CallDemand &demand) const;

  /// Returns the longest predicted first-token latency at which \p demand is
  /// still admitted.
  static absl::Duration maxPredictedFirstToken(const CallDemand &demand,
                                               absl::Time now);

  /// Returns the placement that a node of another cell offered for \p demand;
  /// empty if this node mustn't send the call to its engines.
  std::optional<Dispatch> acceptOffer(const CallDemand &demand,
                                      const std::string &service,
                                      const PlacementOffer &offer,
                                      const std::string &address,
                                      absl::Time now) const;

  /// Places a prompt of another cell on the engines of this node's cell; empty
  /// if none can serve it as requested.
  std::optional<Dispatch> chooseForOtherCell(const PlacementRequest &request,
                                             absl::Time now);

  /// Counts a placement that is offered to another node as load, as if this
  /// node had sent the prompt.
  void recordOffer(Dispatch &dispatch, absl::Time now);

  /// Records the end of an offered placement.
  void endOffer(const Dispatch &dispatch, absl::Time now);

  /// Returns the decision of the last choose() about a call's first attempt, if
  /// calls are admitted by priority and it depended on that.
  const std::optional<AdmissionDecision> &lastAdmission() const {
    return LastAdmission;
  }

  /// Records that the attempt is about to be written.
  void sent(Dispatch &dispatch, absl::Time now);

  /// Records that the first event of the answer has arrived.
  void firstToken(Dispatch &dispatch, absl::Time now);

  /// Records that bytes of the answer have arrived.
  void answerBytesReceived(Dispatch &dispatch, absl::Time now) const {
    dispatch.Server->LastReceivedAt = now;
  }

  /// Records that the backend server refused the attempt and asked this node to
  /// send nothing for \p time.
  static void pauseRequested(Dispatch &dispatch, absl::Duration time,
                             absl::Time now) {
    dispatch.Server->Health.pause(time, now);
  }

  /// Applies what the answer to \p dispatch states about the backend server's
  /// request limit: \p perSecond, or no limit. Returns whether the limit has
  /// changed.
  static bool limitStated(const Dispatch &dispatch,
                          std::optional<double> perSecond, absl::Time now);

  /// Applies what the answer to \p dispatch states about the remaining cold
  /// phase of its backend server.
  static void coldStated(const Dispatch &dispatch, absl::Duration remaining,
                         absl::Time now);

  /// Number of calls refused because all backend servers of their service were
  /// blocked and some of them were cold.
  uint64_t coldRefusals() const { return ColdRefusals; }

  /// Returns how long a caller whose call for \p service was refused should
  /// wait before it retries: \p minDelay or, if no backend server may be sent
  /// anything, the time until the first one may, whichever is longer.
  absl::Duration retryDelay(const std::string &service, absl::Duration minDelay,
                            absl::Time now) const;

  /// Records the end of the attempt.
  void ended(Dispatch &dispatch, AttemptEnd end, absl::Time now);

  /// Records that a backend server attributed a failure to another one, \p id.
  void reportFaultyBackend(const std::string &id, absl::Time now);

  /// Applies another node's load update to this node's view.
  void applyLoadUpdate(const LoadUpdate &update, absl::Time now);

private:
  std::variant<Dispatch, errors::RequestError>
  chooseEngine(const CallDemand &demand, const routes::Service &service,
               absl::Time now);
  std::variant<Dispatch, errors::RequestError>
  choosePlain(const CallDemand &demand, const std::string &service,
              absl::Time now);
  /// Returns what admission control needs to know about \p demand, with its
  /// rank. Empty for a further attempt, which admission control ignores, and
  /// unless calls are admitted by priority.
  std::optional<AdmissionCall> describeAdmission(const CallDemand &demand,
                                                 const std::string &service,
                                                 absl::Duration work) const;
  ServiceAdmission &admissionOf(const std::string &service);
  /// Returns the error of a call whose caller returned before the time that it
  /// was asked to wait has passed.
  std::optional<errors::RequestError>
  earlyReturnError(const std::string &service, const AdmissionCall &call,
                   absl::Time now);
  /// Records the refusal of \p call, announces it to the other nodes and
  /// returns the error. The load that refuses it clears after \p clearTime; the
  /// call needs \p ownTime itself.
  errors::RequestError refuse(const CallDemand &demand,
                              const std::string &service,
                              const AdmissionCall &call, std::string rule,
                              absl::Duration clearTime, absl::Duration ownTime,
                              absl::Time now);
  /// Whether \p dispatch leaves the headroom that its call has to leave; sets
  /// the inputs of the decision.
  static bool leavesHeadroom(const CallDemand &demand, const Dispatch &dispatch,
                             absl::Duration maxPredicted,
                             AdmissionDecision &decision);
  /// Records that the call of \p dispatch is admitted.
  void admit(const std::string &service, const CallDemand &demand,
             const AdmissionCall &call, Dispatch &dispatch, absl::Time now);
  /// Records that \p dispatch, which was admitted, was refused by its backend
  /// server or was late, and announces it to the other nodes.
  void reportLate(const Dispatch &dispatch, absl::Time now);
  /// Applies what another node's load update says of the admission of a call
  /// for the service whose name has \p serviceHash.
  void applyAdmissionUpdate(uint64_t serviceHash, const LoadUpdate &update,
                            absl::Time now);
  /// Returns the untried backend servers that accept calls or, if there is
  /// none, the one whose trial call is due first. None of them is paused or at
  /// its request limit.
  std::vector<std::shared_ptr<fleet::BackendServer>>
  candidates(const CallDemand &demand, const std::string &service,
             absl::Time now) const;
  /// Returns when the first backend server of \p service may be sent a call, if
  /// all are paused or at their request limits; \p now otherwise.
  absl::Time blockEnd(const std::string &service, absl::Time now) const;
  /// Returns when to retry a prompt that needs more of \p service's
  /// \p engineCount engines than may be sent work now.
  absl::Duration returnDelay(const std::string &service, size_t engineCount,
                             absl::Time now) const;
  errors::RequestError
  coldError(const std::string &service,
            const std::vector<std::shared_ptr<fleet::BackendServer>> &servers,
            absl::Time first, absl::Time now);
  errors::RequestError noCandidateError(const std::string &service,
                                        absl::Time now);
  const std::string &pickService(const CallDemand &demand, absl::Time now);
  limits::WindowBudget &budget(const std::string &service);
  /// Adds or removes the load of \p dispatch at its engines.
  void addLoad(const Dispatch &dispatch, absl::Time now);
  void removeLoad(const Dispatch &dispatch, absl::Time now);
  void reportProgress(const Dispatch &dispatch, OfferEvent event);
  void sendLoadUpdate(const Dispatch &dispatch,
                      const fleet::BackendServer &server, LoadUpdateKind kind,
                      const engines::RunningPrompt &prompt);
  absl::Duration penalty(const fleet::BackendServer &server) const;
  /// Returns the cost of a plain backend server for the calls in flight and,
  /// when costs are learned, for its own slowness.
  absl::Duration plainCost(const fleet::BackendServer &server,
                           const std::string &route, absl::Time now) const;
  void learnFromEnd(const Dispatch &dispatch, AttemptEnd end, absl::Time now);

  DispatcherSettings Settings;
  fleet::BackendDirectory Directory;
  std::shared_ptr<const routes::RoutingConfig> Config;
  std::map<std::string, limits::WindowBudget, std::less<>> Budgets;
  /// By service.
  std::map<std::string, engines::EngineCount> EngineCounts;
  /// Empty unless learned costs are used.
  cost::CostEstimates Costs;
  size_t NodeCount = 1;
  fleet::ColdReturns Returns;
  uint64_t ColdRefusals = 0;
  std::mt19937_64 Random;
  uint64_t NextLoadId;
  LoadUpdateHandler OnLoadUpdate;
  OfferProgressHandler OnOfferProgress;
  Admission Admissions;
  std::optional<AdmissionDecision> LastAdmission;
  /// Separate from Random, so that placement doesn't depend on admission.
  std::mt19937_64 AdmissionRandom;
};

} // namespace orioletally::core::relay

#endif

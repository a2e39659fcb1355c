#ifndef ORIOLETALLY_DRIVERS_GATEWAY_CALLER_API_H
#define ORIOLETALLY_DRIVERS_GATEWAY_CALLER_API_H

#include "drivers/gateway/answer_format.h"
#include "drivers/gateway/caller_tokens.h"
#include "drivers/gateway/completion_call.h"
#include "drivers/gateway/completion_runner.h"
#include "drivers/gateway/profile_view.h"
#include "drivers/gateway/request_journal.h"
#include "drivers/gateway/service_runner.h"
#include "drivers/http/http_routes.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace orioletally::drivers::gateway {

/// What CallerApi needs from the entry node; all of it outlives the API.
struct CallerContext {
  const CallerTokens &Tokens;
  const ProfileView &Profiles;
  RequestJournal &Journal;
  const RunnerContext &Runner;
  const ServiceContext &Service;
  int64_t BytesPerToken = 4;
  std::string Node;
  uint64_t Incarnation = 0;
  /// Whether the node may serve; requests are refused while it returns false,
  /// because the node's view of the fleet may be stale.
  std::function<bool()> IsReady;
};

/// The HTTP API for callers: completions, service calls and the model list.
class CallerApi {
public:
  explicit CallerApi(const CallerContext &context) : Context(context) {}

  /// Adds the routes; handlers that may block run on \p threads.
  void registerRoutes(http::HttpRoutes &routes, loop::WorkerThreads &threads);

private:
  using Failure = core::errors::RequestError;

  /// A completion that passed all checks and may run.
  struct Admitted {
    std::shared_ptr<AdmissionPermit> Permit;
    core::requests::RequestPlan Plan;
    std::string Prompt;
  };

  asio::awaitable<void> complete(CompletionShape shape,
                                 http::HttpRequest &request,
                                 http::HttpReply &reply);
  /// Checks a completion call. \p workspace is set once the caller is
  /// authenticated, also when a later check fails.
  std::variant<Admitted, Failure> admit(CompletionShape shape,
                                        const http::HttpRequest &request,
                                        const std::string &requestId,
                                        std::string &workspace);
  void callService(const http::HttpRequest &request,
                   http::HttpResponse &response);
  void listModels(const http::HttpRequest &request,
                  http::HttpResponse &response);

  /// Returns the caller's workspace, or the error to answer with: an unknown
  /// token, an operator's token, or a node that isn't ready.
  std::variant<Principal, Failure>
  authenticate(const http::HttpRequest &request) const;
  std::variant<core::profiles::Profile, Failure>
  profileFor(const std::string &name, core::profiles::ProfileKind kind,
             const std::string &workspace) const;
  std::variant<core::requests::RequestPlan, Failure>
  planFor(const CompletionCall &call, const std::string &workspace,
          const std::string &requestId) const;
  std::string newRequestId();
  void fail(http::HttpResponse &response, const std::string &requestId,
            const std::string &workspace, const Failure &error) const;

  const CallerContext &Context;
  std::atomic<uint64_t> NextRequest = 1;
};

} // namespace orioletally::drivers::gateway

#endif

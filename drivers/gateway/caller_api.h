#ifndef ORIOLETALLY_DRIVERS_GATEWAY_CALLER_API_H
#define ORIOLETALLY_DRIVERS_GATEWAY_CALLER_API_H

#include "drivers/gateway/answer_format.h"
#include "drivers/gateway/caller_tokens.h"
#include "drivers/gateway/completion_call.h"
#include "drivers/gateway/completion_runner.h"
#include "drivers/gateway/profile_view.h"
#include "drivers/gateway/request_journal.h"
#include "drivers/gateway/service_runner.h"
#include "drivers/http/http_server.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace orioletally::drivers::gateway {

/// What the callers' part of an entry node works with.
struct CallerContext {
  const CallerTokens &Tokens;
  const ProfileView &Profiles;
  RequestJournal &Journal;
  const RunnerContext &Runner;
  const ServiceContext &Service;
  int64_t BytesPerToken = 4;
  std::string Node;
  uint64_t Incarnation = 0;
  /// Refuses requests while the node's view may be out of date.
  std::function<bool()> IsReady;
};

/// A request of a caller with its whole body.
struct CallerRequest {
  const httplib::Request &Head;
  std::string Body;
};

/// The HTTP interface of callers.
class CallerApi {
public:
  explicit CallerApi(const CallerContext &parts) : Context(parts) {}

  void registerRoutes(http::HttpServer &server);

private:
  using Failure = core::errors::RequestError;

  void complete(CompletionShape shape, const CallerRequest &request,
                httplib::Response &response);
  void callService(const CallerRequest &request, httplib::Response &response);
  void listModels(const httplib::Request &request, httplib::Response &response);

  /// Returns the workspace, or why the caller isn't served now.
  std::variant<Principal, Failure>
  authenticate(const httplib::Request &request) const;
  std::variant<core::profiles::Profile, Failure>
  profileFor(const std::string &name, core::profiles::ProfileKind kind,
             const std::string &workspace) const;
  std::variant<core::requests::RequestPlan, Failure>
  planFor(const CompletionCall &call, const std::string &workspace,
          const std::string &requestId) const;
  std::string newRequestId();
  void fail(httplib::Response &response, const std::string &requestId,
            const std::string &workspace, const Failure &error) const;

  const CallerContext &Context;
  std::atomic<uint64_t> NextRequest = 1;
};

} // namespace orioletally::drivers::gateway

#endif

#ifndef ORIOLETALLY_DRIVERS_GATEWAY_OPERATOR_API_H
#define ORIOLETALLY_DRIVERS_GATEWAY_OPERATOR_API_H

#include "drivers/gateway/admission_gate.h"
#include "drivers/gateway/caller_tokens.h"
#include "drivers/gateway/profile_changes.h"
#include "drivers/gateway/profile_view.h"
#include "drivers/gateway/request_journal.h"
#include "drivers/gateway/shared_router.h"
#include "drivers/http/http_routes.h"
#include "drivers/metrics/node_metrics.h"
#include "drivers/platform/http_table_service.h"

#include <functional>
#include <string>

namespace orioletally::drivers::gateway {

/// What OperatorApi and StatusApi need from the entry node; all of it outlives
/// both.
struct OperatorContext {
  const CallerTokens &Tokens;
  const ProfileView &Profiles;
  ProfileChanges &Changes;
  const RequestJournal &Journal;
  AdmissionGate &Gate;
  SharedRouter &Router;
  peer::PeerService &Peers;
  metrics::NodeMetrics &Metrics;
  const platform::TableCallCounts &TableCalls;
  /// How long the answer to a change may wait for every node to confirm it.
  absl::Duration ConfirmTimeout;
  std::function<bool()> IsReady;
};

/// The HTTP API for operators to read and change profiles and read their audit
/// trail.
class OperatorApi {
public:
  explicit OperatorApi(const OperatorContext &context) : Context(context) {}

  /// Adds the routes; their handlers may block and run on \p threads.
  void registerRoutes(http::HttpRoutes &routes, loop::WorkerThreads &threads);

private:
  void listProfiles(http::HttpResponse &response) const;
  void showProfile(const std::string &name, http::HttpResponse &response) const;
  void putProfile(const http::HttpRequest &request,
                  http::HttpResponse &response,
                  const std::string &operatorName);
  void retireProfile(const http::HttpRequest &request,
                     http::HttpResponse &response,
                     const std::string &operatorName);
  void applyChange(core::profiles::ProfileChange change,
                   const http::HttpRequest &request,
                   http::HttpResponse &response,
                   const std::string &operatorName);
  void showAudit(const http::HttpRequest &request, http::HttpResponse &response,
                 const std::string &profileName);
  void showRevision(const std::string &revision,
                    http::HttpResponse &response) const;

  const OperatorContext &Context;
};

} // namespace orioletally::drivers::gateway

#endif

#include "drivers/gateway/status_api.h"

#include "drivers/clock/clock.h"
#include "drivers/gateway/http_reply.h"
#include "drivers/gateway/operator_auth.h"

#include <absl/strings/str_format.h>

namespace orioletally::drivers::gateway {

namespace {

using core::errors::ErrorCode;
using core::errors::refusal;
using core::membership::MemberView;
using core::routing::BackendRegistry;
using core::routing::BackendState;
using http::StatusOk;
using nlohmann::json;

constexpr int StatusUnavailable = 503;

json memberJson(const core::membership::Member &member,
                std::string_view status) {
  return {{"name", member.Name},
          {"zone", member.Zone},
          {"region", member.Region},
          {"status", status},
          {"http_address", member.HttpAddress},
          {"incarnation", member.Incarnation},
          {"profile_revision", member.ProfileRevision},
          {"profile_hash", absl::StrFormat("%016x", member.ProfileHash)},
          {"draining", member.Draining}};
}

json backendJson(const BackendState &backend, absl::Time now) {
  json result = {{"id", backend.Vm.Id},
                 {"zone", backend.Vm.Zone},
                 {"address", backend.Vm.Address},
                 {"model", backend.Vm.Model},
                 {"service", backend.Vm.Service},
                 {"leaving", backend.Leaving},
                 {"in_flight_here", backend.InFlight},
                 {"usable", backend.isUsable(now)}};
  if (backend.Leaving)
    result["leaving_for_ms"] =
        absl::ToInt64Milliseconds(now - backend.LeavingSince);
  if (backend.BackoffUntil > now)
    result["aside_for_ms"] =
        absl::ToInt64Milliseconds(backend.BackoffUntil - now);
  if (backend.Report.has_value()) {
    result["queued_prefill_tokens"] = backend.Report->queuedPrefillTokens();
    result["free_tokens"] = backend.Report->FreeTokens;
    result["report_age_ms"] = absl::ToInt64Milliseconds(now - backend.ReportAt);
  }
  return result;
}

json backendsJson(SharedRouter &router) {
  const absl::Time now = clock::steadyNow();
  return router.withRegistry([&](BackendRegistry &registry) {
    json result = json::array();
    for (const BackendState *it : registry.listedBackends())
      result.push_back(backendJson(*it, now));
    return result;
  });
}

} // namespace

void StatusApi::registerRoutes(http::HttpRoutes &routes) {
  routes.addSync("GET", "/v1/status",
                 forOperators(Context.Tokens,
                              [this](const auto &, auto &response,
                                     const auto &) { showStatus(response); }));
  routes.addSync(
      "GET", R"(/v1/requests/([^/]+))",
      forOperators(Context.Tokens,
                   [this](const auto &request, auto &response, const auto &) {
                     showRequest(request.Matches[0], response);
                   }));
  routes.addSync("GET", "/metrics", [this](const auto &, auto &response) {
    showMetrics(response);
  });
  routes.addSync("GET", "/healthz", [](const auto &, auto &response) {
    replyJson(response, StatusOk, {{"status", "alive"}});
  });
  routes.addSync("GET", "/readyz", [this](const auto &, auto &response) {
    showReadiness(response);
  });
}

void StatusApi::showReadiness(http::HttpResponse &response) const {
  const bool isReady = Context.IsReady() && !Context.Gate.isDraining();
  replyJson(response, isReady ? StatusOk : StatusUnavailable,
            {{"status", isReady ? "ready" : "not ready"},
             {"draining", Context.Gate.isDraining()},
             {"profile_revision", Context.Profiles.current()->revision()}});
}

void StatusApi::showStatus(http::HttpResponse &response) const {
  json members = json::array();
  members.push_back(memberJson(Context.Peers.self(), "alive"));
  for (const MemberView &it : Context.Peers.members())
    members.push_back(
        memberJson(it.Info, core::membership::memberStatusName(it.Status)));
  replyJson(response, StatusOk,
            {{"node", Context.Peers.self().Name},
             {"ready", Context.IsReady()},
             {"draining", Context.Gate.isDraining()},
             {"in_progress", Context.Gate.inProgress()},
             {"profile_revision", Context.Profiles.current()->revision()},
             {"nodes", members},
             {"backends", backendsJson(Context.Router)}});
}

void StatusApi::showRequest(const std::string &id,
                            http::HttpResponse &response) const {
  const auto found = Context.Journal.find(id);
  if (!found.has_value())
    return replyError(
        response,
        refusal(ErrorCode::NotFound,
                "this node has no record of the request; the request id names "
                "the node that handled it",
                "each node keeps a record of its own last requests"));
  replyJson(response, StatusOk, *found);
}

void StatusApi::showMetrics(http::HttpResponse &response) const {
  Context.Metrics.setInProgress(Context.Gate.inProgress());
  int64_t alive = 1;
  for (const MemberView &it : Context.Peers.members())
    alive += it.Status == core::membership::MemberStatus::Alive ? 1 : 0;
  Context.Metrics.setMembers(alive);
  for (size_t n = 0; n < Context.TableCalls.size(); ++n) {
    const platform::TableCallCount &count = Context.TableCalls[n];
    const auto cause = static_cast<platform::TableCause>(n);
    Context.Metrics.setTableCalls(std::string(platform::tableCauseName(cause)),
                                  count.Reads, count.Writes, count.Failures);
  }
  Context.Metrics.setPeerBytes(Context.Peers.counts().SentBytes,
                               Context.Peers.counts().ReceivedBytes);
  response.setContent(Context.Metrics.text(), "text/plain; version=0.0.4");
}

} // namespace orioletally::drivers::gateway

#include "drivers/gateway/operator_api.h"

#include "core/profiles/profile.h"
#include "core/profiles/setup_check.h"
#include "drivers/clock/clock.h"
#include "drivers/gateway/http_reply.h"
#include "drivers/log/log.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <array>
#include <fmt/format.h>
#include <random>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::gateway {

namespace {

using core::errors::ErrorCode;
using core::errors::refusal;
using core::errors::RequestError;
using core::errors::RequestErrorBuilder;
using core::fields::FieldError;
using core::fields::FieldValues;
using core::membership::MemberView;
using core::platform::TableError;
using core::profiles::AuditRecord;
using core::profiles::ChangeKind;
using core::profiles::Profile;
using core::profiles::ProfileChange;
using core::routing::BackendRegistry;
using core::routing::BackendState;
using nlohmann::json;

constexpr std::array BackendRoles = {core::platform::VmRole::Engine,
                                     core::platform::VmRole::Service};
constexpr int StatusOk = 200;
constexpr int StatusCreated = 201;
constexpr int StatusAccepted = 202;
constexpr int StatusUnavailable = 503;
constexpr int DefaultAuditRows = 100;
constexpr int MaxAuditRows = 1000;
constexpr size_t MaxChangeIdLength = 128;

using Handler = std::function<void(const httplib::Request &,
                                   httplib::Response &, const std::string &)>;

/// Lets only operators through to \p handler, which gets the operator's name.
httplib::Server::Handler forOperators(const CallerTokens &tokens,
                                      Handler handler) {
  return [&tokens, handler = std::move(handler)](
             const httplib::Request &request, httplib::Response &response) {
    const auto principal =
        tokens.find(request.get_header_value("Authorization"));
    if (!principal.has_value())
      return replyError(response,
                        refusal(ErrorCode::Unauthorized, "unknown bearer token",
                                "setting auth.tokens_file"));
    if (!principal->IsOperator)
      return replyError(response, refusal(ErrorCode::Forbidden,
                                          "only operators may do this",
                                          "setting auth.tokens_file"));
    handler(request, response, principal->Name);
  };
}

std::string newChangeId() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return absl::StrFormat("c-%016x%016x", random(), random());
}

/// Reads the revision out of an If-Match header such as "17" in quotes.
std::optional<uint64_t> revisionFromTag(std::string tag) {
  if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"')
    tag = tag.substr(1, tag.size() - 2);
  uint64_t revision = 0;
  if (!absl::SimpleAtoi(tag, &revision))
    return std::nullopt;
  return revision;
}

/// Reads the fields of a change, or tells what is wrong with them.
std::variant<FieldValues, RequestError> readFields(const std::string &body) {
  using Result = std::variant<FieldValues, RequestError>;
  const json object = json::parse(body, nullptr, false);
  return leaf::try_handle_all(
      [&]() -> leaf::result<Result> {
        BOOST_LEAF_AUTO(values, core::profiles::profileFields().read(object));
        BOOST_LEAF_CHECK(core::profiles::checkConsistency(values));
        return Result(std::move(values));
      },
      [](const FieldError &ec) {
        return Result(refusal(ErrorCode::BadRequest,
                              ec.Key.empty()
                                  ? ec.Reason
                                  : fmt::format("{}: {}", ec.Key, ec.Reason),
                              "profile fields, docs/CONFIGURATION.md"));
      },
      [] {
        return Result(refusal(ErrorCode::Internal, "unexpected failure", ""));
      });
}

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
  if (backend.AsideUntil > now)
    result["aside_for_ms"] =
        absl::ToInt64Milliseconds(backend.AsideUntil - now);
  if (backend.Report.has_value()) {
    result["queued_prefill_tokens"] = backend.Report->queuedPrefillTokens();
    result["free_tokens"] = backend.Report->FreeTokens;
    result["report_age_ms"] = absl::ToInt64Milliseconds(now - backend.ReportAt);
  }
  return result;
}

std::vector<core::platform::Vm> listedVms(SharedRouter &router) {
  return router.withRegistry([](BackendRegistry &registry) {
    std::vector<core::platform::Vm> vms;
    for (const auto role : BackendRoles)
      for (const BackendState *it : registry.listed(role))
        vms.push_back(it->Vm);
    return vms;
  });
}

json backendsJson(SharedRouter &router) {
  const absl::Time now = clock::steadyNow();
  return router.withRegistry([&](BackendRegistry &registry) {
    json result = json::array();
    for (const auto role : BackendRoles)
      for (const BackendState *it : registry.listed(role))
        result.push_back(backendJson(*it, now));
    return result;
  });
}

} // namespace

void OperatorApi::registerRoutes(http::HttpServer &server) {
  registerProfiles(server);
  registerStatus(server);
}

void OperatorApi::registerProfiles(http::HttpServer &server) {
  const std::string named = R"(/v1/profiles/([^/]+))";
  const auto guarded = [this](Handler handler) {
    return forOperators(Context.Tokens, std::move(handler));
  };
  server.Get("/v1/profiles",
             guarded([this](const auto &, auto &response, const auto &) {
               listProfiles(response);
             }));
  server.Get(named,
             guarded([this](const auto &request, auto &response, const auto &) {
               showProfile(request.matches[1], response);
             }));
  server.Put(named, guarded([this](const auto &request, auto &response,
                                   const auto &name) {
               putProfile(request, response, name);
             }));
  server.Delete(named, guarded([this](const auto &request, auto &response,
                                      const auto &name) {
                  retireProfile(request, response, name);
                }));
  server.Get(named + "/history",
             guarded([this](const auto &request, auto &response, const auto &) {
               showAudit(request, response, request.matches[1]);
             }));
  server.Get("/v1/audit",
             guarded([this](const auto &request, auto &response, const auto &) {
               showAudit(request, response, "");
             }));
  server.Get(R"(/v1/revisions/(\d+))",
             guarded([this](const auto &request, auto &response, const auto &) {
               showChange(request.matches[1], response);
             }));
}

void OperatorApi::registerStatus(http::HttpServer &server) {
  const auto guarded = [this](Handler handler) {
    return forOperators(Context.Tokens, std::move(handler));
  };
  server.Get("/v1/status",
             guarded([this](const auto &, auto &response, const auto &) {
               showStatus(response);
             }));
  server.Get(R"(/v1/requests/([^/]+))",
             guarded([this](const auto &request, auto &response, const auto &) {
               showRequest(request.matches[1], response);
             }));
  server.Get("/metrics",
             [this](const auto &, auto &response) { showMetrics(response); });
  server.Get("/healthz", [](const auto &, auto &response) {
    replyJson(response, StatusOk, {{"status", "alive"}});
  });
  server.Get("/readyz", [this](const auto &, auto &response) {
    const bool isReady = Context.IsReady() && !Context.Gate.isDraining();
    replyJson(response, isReady ? StatusOk : StatusUnavailable,
              {{"status", isReady ? "ready" : "not ready"},
               {"draining", Context.Gate.isDraining()},
               {"profile_revision", Context.Profiles.current()->revision()}});
  });
}

void OperatorApi::listProfiles(httplib::Response &response) const {
  const ProfileView::Snapshot set = Context.Profiles.current();
  json rows = json::array();
  for (const Profile *it : set->all())
    rows.push_back(it->toJson());
  replyJson(response, StatusOk,
            {{"revision", set->revision()}, {"profiles", rows}});
}

void OperatorApi::showProfile(const std::string &name,
                              httplib::Response &response) const {
  const ProfileView::Snapshot set = Context.Profiles.current();
  const Profile *profile = set->findAny(name);
  if (profile == nullptr)
    return replyError(
        response,
        refusal(ErrorCode::NotFound, "no such profile: " + name,
                fmt::format("profiles at revision {}", set->revision())));
  response.set_header("ETag", profile->entityTag());
  replyJson(response, StatusOk, profile->toJson());
}

void OperatorApi::putProfile(const httplib::Request &request,
                             httplib::Response &response,
                             const std::string &operatorName) {
  ProfileChange wanted;
  wanted.Name = request.matches[1];
  if (!core::profiles::isValidProfileName(wanted.Name))
    return replyError(response,
                      refusal(ErrorCode::BadRequest,
                              "profile name: expected 1 to 64 of a-z, 0-9, - "
                              "and _, beginning with a letter",
                              "profile names"));
  const bool isCreate = request.get_header_value("If-None-Match") == "*";
  const std::string tag = request.get_header_value("If-Match");
  if (!isCreate && tag.empty())
    return replyError(response,
                      refusal(ErrorCode::PreconditionRequired,
                              "expected If-None-Match: * to create or If-Match "
                              "with the ETag to change",
                              "a change names the revision it was made from"));
  wanted.Kind = isCreate ? ChangeKind::Create : ChangeKind::Change;
  auto fields = readFields(request.body);
  if (const auto *error = std::get_if<RequestError>(&fields))
    return replyError(response, *error);
  wanted.Values = std::get<FieldValues>(std::move(fields));
  change(std::move(wanted), request, response, operatorName);
}

void OperatorApi::retireProfile(const httplib::Request &request,
                                httplib::Response &response,
                                const std::string &operatorName) {
  ProfileChange wanted;
  wanted.Name = request.matches[1];
  wanted.Kind = ChangeKind::Retire;
  if (request.get_header_value("If-Match").empty())
    return replyError(response,
                      refusal(ErrorCode::PreconditionRequired,
                              "expected If-Match with the ETag",
                              "a change names the revision it was made from"));
  change(std::move(wanted), request, response, operatorName);
}

void OperatorApi::change(ProfileChange wanted, const httplib::Request &request,
                         httplib::Response &response,
                         const std::string &operatorName) {
  if (wanted.Kind != ChangeKind::Create) {
    const auto revision = revisionFromTag(request.get_header_value("If-Match"));
    if (!revision.has_value())
      return replyError(response,
                        refusal(ErrorCode::BadRequest,
                                "If-Match: expected the ETag of the profile",
                                "docs/API.md"));
    wanted.ExpectedRevision = *revision;
  }
  wanted.ChangeId = request.get_header_value("X-Change-Id");
  if (wanted.ChangeId.empty())
    wanted.ChangeId = newChangeId();
  if (wanted.ChangeId.size() > MaxChangeIdLength)
    return replyError(response,
                      refusal(ErrorCode::BadRequest,
                              "X-Change-Id: expected at most 128 characters",
                              "docs/API.md"));
  wanted.Origin = {operatorName, request.remote_addr, Context.Peers.self().Name,
                   absl::FormatTime(absl::RFC3339_sec, clock::wallNow(),
                                    absl::UTCTimeZone())};
  if (wanted.Kind != ChangeKind::Retire)
    wanted.Findings = core::profiles::findSetupFaults(
        wanted.Values,
        {listedVms(Context.Router), Context.Tokens.workspaces()});
  const ChangeReply reply = Context.Changes.apply(wanted, Context.AcceptWait);
  response.set_header("X-Change-Id", wanted.ChangeId);
  if (const auto *refusal = std::get_if<ChangeRefused>(&reply)) {
    log::write(log::Level::Warn, "profile_change_refused",
               {{"profile", wanted.Name},
                {"operator", operatorName},
                {"change_id", wanted.ChangeId},
                {"reason", refusal->Error.Message}});
    replyError(response, refusal->Error);
    if (refusal->Against.has_value()) {
      json body = json::parse(response.body);
      body["against"] = refusal->Against->toJson();
      replyJson(response, response.status, body);
    }
    return;
  }
  const auto &done = std::get<ChangeInForce>(reply);
  const bool isAccepted = done.WaitingFor.empty();
  log::write(log::Level::Info, "profile_changed",
             {{"profile", wanted.Name},
              {"operator", operatorName},
              {"change_id", wanted.ChangeId},
              {"revision", done.After.Revision},
              {"waiting_for", done.WaitingFor}});
  response.set_header("ETag", done.After.entityTag());
  const int acceptedStatus =
      wanted.Kind == ChangeKind::Create ? StatusCreated : StatusOk;
  replyJson(response, isAccepted ? acceptedStatus : StatusAccepted,
            {{"state", isAccepted ? "accepted" : "committed"},
             {"change_id", wanted.ChangeId},
             {"repeated", done.Repeated},
             {"waiting_for", done.WaitingFor},
             {"findings", wanted.Findings},
             {"profile", done.After.toJson()}});
}

void OperatorApi::showAudit(const httplib::Request &request,
                            httplib::Response &response,
                            const std::string &profileName) {
  uint64_t after = 0;
  int limit = DefaultAuditRows;
  const bool isReadable =
      (!request.has_param("after") ||
       absl::SimpleAtoi(request.get_param_value("after"), &after)) &&
      (!request.has_param("limit") ||
       absl::SimpleAtoi(request.get_param_value("limit"), &limit));
  if (!isReadable || limit < 1 || limit > MaxAuditRows)
    return replyError(response,
                      refusal(ErrorCode::BadRequest,
                              "expected after=REVISION and limit=1 to 1000",
                              "docs/API.md"));
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        json rows = json::array();
        while (rows.size() < static_cast<size_t>(limit)) {
          BOOST_LEAF_AUTO(
              page, Context.Changes.store().logAfter(after, MaxAuditRows));
          for (const AuditRecord &it : page) {
            after = it.Revision;
            const bool isWanted =
                profileName.empty() || it.After.Name == profileName;
            if (isWanted && rows.size() < static_cast<size_t>(limit))
              rows.push_back(it.toJson());
          }
          if (page.size() < static_cast<size_t>(MaxAuditRows))
            break;
        }
        replyJson(response, StatusOk, {{"changes", rows}});
        return {};
      },
      [&](const TableError &ec) {
        replyError(response,
                   refusal(ErrorCode::PlatformUnavailable, ec.Detail,
                           "the audit trail is in the table service"));
      },
      [&] {
        replyError(response, refusal(ErrorCode::Internal,
                                     "the audit trail can't be read", ""));
      });
}

void OperatorApi::showChange(const std::string &revision,
                             httplib::Response &response) const {
  uint64_t n = 0;
  const uint64_t own = Context.Profiles.current()->revision();
  if (!absl::SimpleAtoi(revision, &n) || n > own)
    return replyError(response,
                      refusal(ErrorCode::NotFound,
                              fmt::format("this node is at revision {}", own),
                              "profiles"));
  const std::vector<std::string> waiting = Context.Changes.waitingFor(n);
  replyJson(response, StatusOk,
            {{"revision", n},
             {"state", waiting.empty() ? "accepted" : "committed"},
             {"waiting_for", waiting}});
}

void OperatorApi::showStatus(httplib::Response &response) const {
  json members = json::array();
  members.push_back(memberJson(Context.Peers.self(), "alive"));
  for (const MemberView &it : Context.Peers.members())
    members.push_back(
        memberJson(it.Self, core::membership::memberStatusName(it.Status)));
  replyJson(response, StatusOk,
            {{"node", Context.Peers.self().Name},
             {"ready", Context.IsReady()},
             {"draining", Context.Gate.isDraining()},
             {"in_progress", Context.Gate.inProgress()},
             {"profile_revision", Context.Profiles.current()->revision()},
             {"nodes", members},
             {"backends", backendsJson(Context.Router)}});
}

void OperatorApi::showRequest(const std::string &id,
                              httplib::Response &response) const {
  const auto found = Context.Journal.find(id);
  if (!found.has_value())
    return replyError(
        response,
        refusal(ErrorCode::NotFound,
                "this node doesn't remember the request; its id names the node",
                "each node remembers its own last requests"));
  replyJson(response, StatusOk, *found);
}

void OperatorApi::showMetrics(httplib::Response &response) const {
  Context.Metrics.setInProgress(Context.Gate.inProgress());
  int64_t alive = 1;
  for (const MemberView &it : Context.Peers.members())
    alive += it.Status == core::membership::MemberStatus::Alive ? 1 : 0;
  Context.Metrics.setMembers(alive);
  Context.Metrics.setTableCalls(Context.TableCalls.Reads,
                                Context.TableCalls.Writes,
                                Context.TableCalls.Failures);
  Context.Metrics.setPeerBytes(Context.Peers.counts().Sent,
                               Context.Peers.counts().Received);
  response.set_content(Context.Metrics.text(), "text/plain; version=0.0.4");
}

} // namespace orioletally::drivers::gateway

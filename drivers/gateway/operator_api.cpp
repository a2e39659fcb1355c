#include "drivers/gateway/operator_api.h"

#include "core/profiles/profile.h"
#include "core/profiles/setup_check.h"
#include "drivers/clock/clock.h"
#include "drivers/gateway/http_reply.h"
#include "drivers/gateway/operator_auth.h"
#include "drivers/log/log.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <fmt/format.h>
#include <random>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::gateway {

namespace {

using core::errors::ErrorCode;
using core::errors::refusal;
using core::errors::RequestError;
using core::fields::FieldError;
using core::fields::FieldValues;
using core::platform::TableError;
using core::profiles::AuditRecord;
using core::profiles::ChangeKind;
using core::profiles::Profile;
using core::profiles::ProfileChange;
using core::routing::BackendRegistry;
using core::routing::BackendState;
using http::StatusOk;
using nlohmann::json;

constexpr int StatusCreated = 201;
constexpr int StatusAccepted = 202;
constexpr int DefaultAuditRows = 100;
constexpr int MaxAuditRows = 1000;
constexpr size_t MaxChangeIdLength = 128;

std::string newChangeId() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return absl::StrFormat("c-%016x%016x", random(), random());
}

/// Parses the revision in an If-Match header, such as "17", with or without the
/// quotes.
std::optional<uint64_t> revisionFromTag(std::string tag) {
  if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"')
    tag = tag.substr(1, tag.size() - 2);
  uint64_t revision = 0;
  if (!absl::SimpleAtoi(tag, &revision))
    return std::nullopt;
  return revision;
}

/// Parses and checks the fields of a change, or returns the error that says
/// what is wrong with them.
std::variant<FieldValues, RequestError> readFields(const std::string &body,
                                                   const std::string &name,
                                                   uint64_t revision) {
  using Result = std::variant<FieldValues, RequestError>;
  const json object = json::parse(body, nullptr, false);
  return leaf::try_handle_all(
      [&]() -> leaf::result<Result> {
        BOOST_LEAF_AUTO(fields,
                        core::profiles::fieldsOfBody(object, name, revision));
        BOOST_LEAF_AUTO(values, core::profiles::profileFields().read(fields));
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
        return Result(refusal(
            ErrorCode::Internal,
            "unexpected failure while checking the profile fields", ""));
      });
}

std::vector<core::platform::Vm> listedVms(SharedRouter &router) {
  return router.withRegistry([](BackendRegistry &registry) {
    std::vector<core::platform::Vm> vms;
    for (const BackendState *it : registry.listedBackends())
      vms.push_back(it->Vm);
    return vms;
  });
}

} // namespace

void OperatorApi::registerRoutes(http::HttpRoutes &routes,
                                 loop::WorkerThreads &threads) {
  const std::string profilePath = R"(/v1/profiles/([^/]+))";
  // Changes and the audit trail wait for the table service, so all handlers are
  // registered as blocking.
  const auto add = [&](std::string method, const std::string &pattern,
                       OperatorHandler handler) {
    routes.addBlocking(std::move(method), pattern, threads,
                       forOperators(Context.Tokens, std::move(handler)));
  };
  add("GET", "/v1/profiles",
      [this](const auto &, auto &response, const auto &) {
        listProfiles(response);
      });
  add("GET", profilePath,
      [this](const auto &request, auto &response, const auto &) {
        showProfile(request.Matches[0], response);
      });
  add("PUT", profilePath,
      [this](const auto &request, auto &response, const auto &name) {
        putProfile(request, response, name);
      });
  add("DELETE", profilePath,
      [this](const auto &request, auto &response, const auto &name) {
        retireProfile(request, response, name);
      });
  add("GET", profilePath + "/history",
      [this](const auto &request, auto &response, const auto &) {
        showAudit(request, response, request.Matches[0]);
      });
  add("GET", "/v1/audit",
      [this](const auto &request, auto &response, const auto &) {
        showAudit(request, response, "");
      });
  add("GET", R"(/v1/revisions/(\d+))",
      [this](const auto &request, auto &response, const auto &) {
        showRevision(request.Matches[0], response);
      });
}

void OperatorApi::listProfiles(http::HttpResponse &response) const {
  const ProfileView::Snapshot set = Context.Profiles.current();
  json rows = json::array();
  for (const Profile *it : set->all())
    rows.push_back(it->toJson());
  replyJson(response, StatusOk,
            {{"revision", set->revision()}, {"profiles", rows}});
}

void OperatorApi::showProfile(const std::string &name,
                              http::HttpResponse &response) const {
  const ProfileView::Snapshot set = Context.Profiles.current();
  const Profile *profile = set->findAny(name);
  if (profile == nullptr)
    return replyError(
        response,
        refusal(ErrorCode::NotFound, "no such profile: " + name,
                fmt::format("profiles at revision {}", set->revision())));
  response.setHeader("ETag", profile->entityTag());
  replyJson(response, StatusOk, profile->toJson());
}

void OperatorApi::putProfile(const http::HttpRequest &request,
                             http::HttpResponse &response,
                             const std::string &operatorName) {
  ProfileChange change;
  change.Name = request.Matches[0];
  if (!core::profiles::isValidProfileName(change.Name))
    return replyError(response,
                      refusal(ErrorCode::BadRequest,
                              "profile name: expected 1 to 64 of a-z, 0-9, - "
                              "and _, beginning with a letter",
                              "profile names"));
  const bool isCreate = request.header("If-None-Match") == "*";
  const std::string tag = request.header("If-Match");
  if (!isCreate && tag.empty())
    return replyError(response,
                      refusal(ErrorCode::PreconditionRequired,
                              "expected If-None-Match: * to create or If-Match "
                              "with the ETag to change",
                              "a change names the revision it was made from"));
  change.Kind = isCreate ? ChangeKind::Create : ChangeKind::Change;
  auto fields =
      readFields(request.Body, change.Name, revisionFromTag(tag).value_or(0));
  if (const auto *error = std::get_if<RequestError>(&fields))
    return replyError(response, *error);
  change.Values = std::get<FieldValues>(std::move(fields));
  applyChange(std::move(change), request, response, operatorName);
}

void OperatorApi::retireProfile(const http::HttpRequest &request,
                                http::HttpResponse &response,
                                const std::string &operatorName) {
  ProfileChange change;
  change.Name = request.Matches[0];
  change.Kind = ChangeKind::Retire;
  if (request.header("If-Match").empty())
    return replyError(response,
                      refusal(ErrorCode::PreconditionRequired,
                              "expected If-Match with the ETag",
                              "a change names the revision it was made from"));
  applyChange(std::move(change), request, response, operatorName);
}

void OperatorApi::applyChange(ProfileChange change,
                              const http::HttpRequest &request,
                              http::HttpResponse &response,
                              const std::string &operatorName) {
  if (change.Kind != ChangeKind::Create) {
    const auto revision = revisionFromTag(request.header("If-Match"));
    if (!revision.has_value())
      return replyError(response,
                        refusal(ErrorCode::BadRequest,
                                "If-Match: expected the ETag of the profile",
                                "docs/API.md"));
    change.ExpectedRevision = *revision;
  }
  change.ChangeId = request.header("X-Change-Id");
  if (change.ChangeId.empty())
    change.ChangeId = newChangeId();
  if (change.ChangeId.size() > MaxChangeIdLength)
    return replyError(response,
                      refusal(ErrorCode::BadRequest,
                              "X-Change-Id: expected at most 128 characters",
                              "docs/API.md"));
  change.Origin = {operatorName, request.RemoteAddress,
                   Context.Peers.self().Name,
                   absl::FormatTime(absl::RFC3339_sec, clock::wallNow(),
                                    absl::UTCTimeZone())};
  if (change.Kind != ChangeKind::Retire)
    change.Findings = core::profiles::checkSetup(
        change.Values,
        {listedVms(Context.Router), Context.Tokens.workspaces()});
  const ChangeReply reply =
      Context.Changes.apply(change, Context.ConfirmTimeout);
  response.setHeader("X-Change-Id", change.ChangeId);
  if (const auto *refusal = std::get_if<ChangeRefused>(&reply)) {
    log::write(log::Level::Warn, "profile_change_refused",
               {{"profile", change.Name},
                {"operator", operatorName},
                {"change_id", change.ChangeId},
                {"reason", refusal->Error.Message}});
    replyError(response, refusal->Error);
    if (refusal->ConflictingRecord.has_value()) {
      json body = json::parse(response.Body);
      body["against"] = refusal->ConflictingRecord->toJson();
      replyJson(response, response.Status, body);
    }
    return;
  }
  const auto &done = std::get<ChangeApplied>(reply);
  const bool isAccepted = done.WaitingFor.empty();
  log::write(log::Level::Info, "profile_changed",
             {{"profile", change.Name},
              {"operator", operatorName},
              {"change_id", change.ChangeId},
              {"revision", done.After.Revision},
              {"waiting_for", done.WaitingFor}});
  response.setHeader("ETag", done.After.entityTag());
  const int acceptedStatus =
      change.Kind == ChangeKind::Create ? StatusCreated : StatusOk;
  replyJson(response, isAccepted ? acceptedStatus : StatusAccepted,
            {{"state", isAccepted ? "accepted" : "committed"},
             {"change_id", change.ChangeId},
             {"repeated", done.Repeated},
             {"waiting_for", done.WaitingFor},
             {"findings", change.Findings},
             {"profile", done.After.toJson()}});
}

void OperatorApi::showAudit(const http::HttpRequest &request,
                            http::HttpResponse &response,
                            const std::string &profileName) {
  uint64_t after = 0;
  int limit = DefaultAuditRows;
  const bool isValid = (!request.Query.contains("after") ||
                        absl::SimpleAtoi(request.Query.at("after"), &after)) &&
                       (!request.Query.contains("limit") ||
                        absl::SimpleAtoi(request.Query.at("limit"), &limit));
  if (!isValid || limit < 1 || limit > MaxAuditRows)
    return replyError(
        response, refusal(ErrorCode::BadRequest,
                          "query: expected after=REVISION and limit=1 to 1000",
                          "docs/API.md"));
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        json rows = json::array();
        while (rows.size() < static_cast<size_t>(limit)) {
          BOOST_LEAF_AUTO(
              page, Context.Changes.store().logAfter(after, MaxAuditRows));
          for (const AuditRecord &it : page) {
            after = it.Revision;
            const bool isSelected =
                profileName.empty() || it.After.Name == profileName;
            if (isSelected && rows.size() < static_cast<size_t>(limit))
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

void OperatorApi::showRevision(const std::string &revision,
                               http::HttpResponse &response) const {
  uint64_t n = 0;
  const uint64_t localRevision = Context.Profiles.current()->revision();
  if (!absl::SimpleAtoi(revision, &n) || n > localRevision)
    return replyError(
        response,
        refusal(
            ErrorCode::NotFound,
            fmt::format("this node has no such revision; it is at revision {}",
                        localRevision),
            "profiles"));
  const std::vector<std::string> waiting = Context.Changes.waitingFor(n);
  replyJson(response, StatusOk,
            {{"revision", n},
             {"state", waiting.empty() ? "accepted" : "committed"},
             {"waiting_for", waiting}});
}

} // namespace orioletally::drivers::gateway

#include "drivers/gateway/caller_api.h"

#include "drivers/clock/clock.h"
#include "drivers/gateway/completion_exchange.h"
#include "drivers/gateway/http_reply.h"
#include "drivers/log/log.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace orioletally::drivers::gateway {

namespace {

using core::backends::ServiceAnswer;
using core::errors::ErrorCode;
using core::errors::refusal;
using core::errors::RequestError;
using core::errors::RequestErrorBuilder;
using core::profiles::Profile;
using core::profiles::ProfileKind;
using core::requests::RequestPlan;
using http::StatusOk;
using nlohmann::json;

constexpr int64_t DefaultMaxTokens = 256;
constexpr int64_t NotReadyRetryMs = 1000;
constexpr size_t MaxIdempotencyKeyLength = 256;

json explainService(const ServicePlan &plan, const ServiceRunner &runner,
                    const ServiceResult &result) {
  json steps = json::array();
  for (const std::string &it : runner.trace())
    steps.push_back({{"what", it}});
  json explanation = {{"request_id", plan.Call.RequestId},
                      {"workspace", plan.Workspace},
                      {"profile", plan.Profile.Name},
                      {"profile_revision", plan.Profile.Revision},
                      {"limits", plan.Profile.Values.toJson()},
                      {"unrepeatable", plan.Unrepeatable},
                      {"steps", steps}};
  if (const auto *error = std::get_if<RequestError>(&result))
    explanation["error"] = json::parse(errorBody(*error))["error"];
  else
    explanation["status"] = std::get<ServiceAnswer>(result).Status;
  return explanation;
}

} // namespace

void CallerApi::registerRoutes(http::HttpRoutes &routes,
                               loop::WorkerThreads &threads) {
  routes.add("POST", "/v1/completions",
             [this](http::HttpRequest &request, http::HttpReply &reply) {
               return complete(CompletionShape::Text, request, reply);
             });
  routes.add("POST", "/v1/chat/completions",
             [this](http::HttpRequest &request, http::HttpReply &reply) {
               return complete(CompletionShape::Chat, request, reply);
             });
  // A service call blocks on the backend server, and on the table service for
  // its claim.
  routes.addBlocking("POST", R"(/v1/services/([^/]+)/(.*))", threads,
                     [this](const auto &request, auto &response) {
                       callService(request, response);
                     });
  routes.addSync("GET", "/v1/models",
                 [this](const auto &request, auto &response) {
                   listModels(request, response);
                 });
}

std::string CallerApi::newRequestId() {
  return absl::StrFormat("r-%s-%x-%d", Context.Node, Context.Incarnation,
                         NextRequest++);
}

void CallerApi::fail(http::HttpResponse &response, const std::string &requestId,
                     const std::string &workspace,
                     const RequestError &error) const {
  Context.Runner.Metrics.refused(error);
  Context.Journal.record(requestId,
                         {{"request_id", requestId},
                          {"workspace", workspace},
                          {"error", json::parse(errorBody(error))["error"]}});
  log::write(log::Level::Info, "request_refused",
             {{"request_id", requestId},
              {"code", core::errors::errorCodeName(error.Code)},
              {"rule", error.Rule}});
  replyError(response, error);
}

std::variant<Principal, RequestError>
CallerApi::authenticate(const http::HttpRequest &request) const {
  auto principal = Context.Tokens.find(request.header("Authorization"));
  if (!principal.has_value())
    return refusal(ErrorCode::Unauthorized, "unknown bearer token",
                   "setting auth.tokens_file");
  if (principal->IsOperator)
    return refusal(ErrorCode::Forbidden,
                   "an operator's token can't be used for this path, because "
                   "it has no workspace",
                   "setting auth.tokens_file");
  if (!Context.IsReady())
    return RequestErrorBuilder(ErrorCode::Overloaded,
                               "the entry node isn't ready to serve")
        .rule("readiness")
        .retryAfterMs(NotReadyRetryMs)
        .build();
  return *std::move(principal);
}

std::variant<Profile, RequestError>
CallerApi::profileFor(const std::string &name, ProfileKind kind,
                      const std::string &workspace) const {
  const ProfileView::Snapshot set = Context.Profiles.current();
  const Profile *profile =
      kind == ProfileKind::Service ? set->findService(name) : set->find(name);
  if (profile == nullptr)
    return refusal(ErrorCode::NotFound, "no such profile: " + name,
                   fmt::format("profiles at revision {}", set->revision()));
  if (profile->kind() != kind)
    return refusal(ErrorCode::BadRequest,
                   "the profile is of the wrong kind for this path: " + name,
                   profile->rule("kind"));
  if (!profile->allowsWorkspace(workspace))
    return refusal(ErrorCode::Forbidden,
                   "the profile doesn't allow this workspace",
                   profile->rule("workspaces"));
  return *profile;
}

std::variant<RequestPlan, RequestError>
CallerApi::planFor(const CompletionCall &call, const std::string &workspace,
                   const std::string &requestId) const {
  auto found = profileFor(call.ProfileName, ProfileKind::Completion, workspace);
  if (const auto *error = std::get_if<RequestError>(&found))
    return *error;
  RequestPlan plan;
  plan.RequestId = requestId;
  plan.Workspace = workspace;
  plan.Profile = std::get<Profile>(std::move(found));
  plan.PromptTokens = estimateTokens(call.Prompt, Context.BytesPerToken);
  plan.MaxTokens = call.MaxTokens.value_or(
      std::min(DefaultMaxTokens, plan.Profile.maxOutputTokens()));
  plan.Prefix = prefixHashes(call.Prompt, workspace, Context.BytesPerToken);
  plan.Streaming = call.Stream;
  plan.Deadline = clock::steadyNow() + plan.Profile.deadline();
  if (plan.PromptTokens > plan.Profile.maxPromptTokens())
    return refusal(ErrorCode::PayloadTooLarge,
                   fmt::format("the prompt is too long: it has about {} tokens",
                               plan.PromptTokens),
                   plan.Profile.rule("max_prompt_tokens"));
  if (plan.MaxTokens > plan.Profile.maxOutputTokens())
    return refusal(ErrorCode::BadRequest,
                   fmt::format("max_tokens: expected at most {}",
                               plan.Profile.maxOutputTokens()),
                   plan.Profile.rule("max_output_tokens"));
  return plan;
}

std::variant<CallerApi::Admitted, RequestError>
CallerApi::admit(CompletionShape shape, const http::HttpRequest &request,
                 const std::string &requestId, std::string &workspace) {
  const auto caller = authenticate(request);
  if (const auto *error = std::get_if<RequestError>(&caller))
    return *error;
  workspace = std::get<Principal>(caller).Name;
  AdmissionResult admission = Context.Runner.Gate.tryAdmit(workspace);
  if (const auto *error = std::get_if<RequestError>(&admission))
    return *error;
  auto parsed = parseCompletionCall(shape, request.Body);
  if (const auto *error = std::get_if<RequestError>(&parsed))
    return *error;
  auto &call = std::get<CompletionCall>(parsed);
  auto planned = planFor(call, workspace, requestId);
  if (const auto *error = std::get_if<RequestError>(&planned))
    return *error;
  return Admitted{
      std::get<std::shared_ptr<AdmissionPermit>>(std::move(admission)),
      std::get<RequestPlan>(std::move(planned)), std::move(call.Prompt)};
}

asio::awaitable<void> CallerApi::complete(CompletionShape shape,
                                          http::HttpRequest &request,
                                          http::HttpReply &reply) {
  const std::string requestId = newRequestId();
  reply.Answer.setHeader("X-Request-Id", requestId);
  std::string workspace;
  auto admitted = admit(shape, request, requestId, workspace);
  if (const auto *error = std::get_if<RequestError>(&admitted)) {
    fail(reply.Answer, requestId, workspace, *error);
    co_return;
  }
  // Frees the body, which may be as large as the longest prompt, before the
  // completion runs.
  request.Body = std::string();
  auto &call = std::get<Admitted>(admitted);
  const bool isStream = call.Plan.Streaming;
  AnswerFormat format(shape, requestId, call.Plan.Profile.Name,
                      absl::ToUnixSeconds(clock::wallNow()));
  auto runner = std::make_unique<CompletionRunner>(
      Context.Runner, std::move(call.Plan), std::move(call.Prompt));
  CompletionExchange exchange(std::move(call.Permit), std::move(runner),
                              std::move(format), Context.Journal);
  if (isStream)
    co_await exchange.replyStream(reply);
  else
    co_await exchange.replyWhole(reply);
}

void CallerApi::callService(const http::HttpRequest &request,
                            http::HttpResponse &response) {
  const std::string requestId = newRequestId();
  response.setHeader("X-Request-Id", requestId);
  const auto caller = authenticate(request);
  if (const auto *error = std::get_if<RequestError>(&caller))
    return fail(response, requestId, "", *error);
  const std::string &workspace = std::get<Principal>(caller).Name;
  const AdmissionResult admission = Context.Runner.Gate.tryAdmit(workspace);
  if (const auto *error = std::get_if<RequestError>(&admission))
    return fail(response, requestId, workspace, *error);
  const auto found =
      profileFor(request.Matches[0], ProfileKind::Service, workspace);
  if (const auto *error = std::get_if<RequestError>(&found))
    return fail(response, requestId, workspace, *error);

  ServicePlan plan;
  plan.Profile = std::get<Profile>(found);
  plan.Workspace = workspace;
  plan.Call.RequestId = requestId;
  plan.Call.Path = request.Matches[1];
  plan.Call.Body = request.Body;
  plan.Call.ContentType = request.header("Content-Type");
  plan.Call.IdempotencyKey = request.header("Idempotency-Key");
  plan.Unrepeatable =
      !plan.Profile.repeatable() || request.header("X-Unrepeatable") == "true";
  plan.Deadline = clock::steadyNow() + plan.Profile.deadline();
  if (plan.Call.IdempotencyKey.size() > MaxIdempotencyKeyLength)
    return fail(response, requestId, workspace,
                refusal(ErrorCode::BadRequest,
                        "Idempotency-Key: expected at most 256 characters",
                        "docs/API.md"));
  const auto bodyBytes = static_cast<int64_t>(plan.Call.Body.size());
  if (bodyBytes > plan.Profile.Values.integer("max_body_bytes"))
    return fail(response, requestId, workspace,
                refusal(ErrorCode::PayloadTooLarge,
                        "the request body is too large",
                        plan.Profile.rule("max_body_bytes")));

  ServiceRunner runner(Context.Service, plan);
  const ServiceResult result = runner.run();
  Context.Journal.record(requestId, explainService(plan, runner, result));
  if (const auto *error = std::get_if<RequestError>(&result)) {
    Context.Runner.Metrics.refused(*error);
    replyError(response, *error);
    return;
  }
  const auto &answer = std::get<ServiceAnswer>(result);
  Context.Runner.Metrics.finished(plan.Profile.Name);
  response.Status = answer.Status;
  response.setContent(answer.Body, answer.ContentType.empty()
                                       ? "application/octet-stream"
                                       : answer.ContentType);
}

void CallerApi::listModels(const http::HttpRequest &request,
                           http::HttpResponse &response) {
  const auto principal = Context.Tokens.find(request.header("Authorization"));
  if (!principal.has_value())
    return replyError(response,
                      refusal(ErrorCode::Unauthorized, "unknown bearer token",
                              "setting auth.tokens_file"));
  const ProfileView::Snapshot set = Context.Profiles.current();
  json data = json::array();
  for (const Profile *it : set->all())
    if (!it->Retired && it->kind() == ProfileKind::Completion &&
        (principal->IsOperator || it->allowsWorkspace(principal->Name)))
      data.push_back({{"id", it->Name},
                      {"object", "model"},
                      {"created", 0},
                      {"owned_by", "orioletally"}});
  replyJson(response, StatusOk, {{"object", "list"}, {"data", data}});
}

} // namespace orioletally::drivers::gateway

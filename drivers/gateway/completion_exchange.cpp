#include "drivers/gateway/completion_exchange.h"

#include "drivers/gateway/http_reply.h"
#include "drivers/log/log.h"

#include <absl/strings/str_cat.h>
#include <utility>

namespace orioletally::drivers::gateway {

namespace {

using core::requests::CompleteAnswer;
using core::requests::DeliverToken;
using core::requests::FailAnswer;
using core::requests::RequestMachine;
using core::requests::RequestPlan;
using core::requests::RestartAnswer;
using http::StatusOk;
using nlohmann::json;

} // namespace

CompletionExchange::CompletionExchange(std::shared_ptr<AdmissionPermit> permit,
                                       std::unique_ptr<CompletionRunner> runner,
                                       AnswerFormat format,
                                       RequestJournal &journal)
    : Permit(std::move(permit)), Runner(std::move(runner)),
      Format(std::move(format)), Journal(journal) {}

CompletionExchange::~CompletionExchange() {
  const RequestPlan &plan = Runner->machine().plan();
  Journal.record(plan.RequestId, explanation());
  json line = {{"request_id", plan.RequestId},
               {"attempt", Runner->machine().attemptsMade()},
               {"profile", plan.Profile.Name},
               {"revision", plan.Profile.Revision},
               {"backend", Runner->machine().backend()},
               {"prompt_tokens", plan.PromptTokens}};
  if (Error.has_value())
    line["code"] = core::errors::errorCodeName(Error->Code);
  log::write(Error.has_value() ? log::Level::Warn : log::Level::Info,
             "request_ended", line);
}

asio::awaitable<void> CompletionExchange::replyStream(http::HttpReply &reply) {
  reply.onCallerDisconnected([this] { Runner->callerDisconnected(); });
  RunnerOutput output = co_await Runner->next();
  if (const auto *failed = std::get_if<FailAnswer>(&output)) {
    Error = failed->Error;
    replyError(reply.Answer, failed->Error);
    co_return;
  }
  reply.Answer.Status = StatusOk;
  reply.Answer.setHeader("Cache-Control", "no-store");
  reply.Answer.setHeader("Content-Type", "text/event-stream");
  while (true) {
    const bool isWritten = co_await reply.write(batchedEvents(output));
    if (!isWritten) {
      co_return;
    }
    if (Ended) {
      break;
    }
    output = co_await Runner->next();
  }
  co_await reply.finish();
}

std::string CompletionExchange::batchedEvents(const RunnerOutput &first) {
  std::string text =
      std::visit([this](const auto &it) { return eventsFor(it); }, first);
  while (!Ended) {
    const std::optional<RunnerOutput> more = Runner->tryNext();
    if (!more.has_value())
      break;
    text += std::visit([this](const auto &it) { return eventsFor(it); }, *more);
  }
  return text;
}

asio::awaitable<void> CompletionExchange::replyWhole(http::HttpReply &reply) {
  reply.onCallerDisconnected([this] { Runner->callerDisconnected(); });
  std::string text;
  while (true) {
    const RunnerOutput output = co_await Runner->next();
    if (const auto *token = std::get_if<DeliverToken>(&output)) {
      text += token->Text;
    } else if (std::holds_alternative<RestartAnswer>(output)) {
      text.clear();
    } else if (const auto *done = std::get_if<CompleteAnswer>(&output)) {
      reply.Answer.Status = StatusOk;
      reply.Answer.setContent(
          Format.wholeAnswer(text, done->FinishReason, usage(done->Tokens)),
          "application/json");
      co_return;
    } else {
      Error = std::get<FailAnswer>(output).Error;
      replyError(reply.Answer, *Error);
      co_return;
    }
  }
}

std::string CompletionExchange::eventsFor(const DeliverToken &output) {
  return Format.tokenEvent(output.Text);
}

std::string CompletionExchange::eventsFor(const RestartAnswer &) {
  // A RequestMachine never restarts an answer that streams.
  return "";
}

std::string CompletionExchange::eventsFor(const CompleteAnswer &output) {
  Ended = true;
  return Format.finalEvents(output.FinishReason, usage(output.Tokens));
}

std::string CompletionExchange::eventsFor(const FailAnswer &output) {
  Ended = true;
  Error = output.Error;
  return AnswerFormat::errorEvent(output.Error);
}

AnswerUsage CompletionExchange::usage(uint64_t completionTokens) const {
  return {Runner->machine().plan().PromptTokens, completionTokens};
}

json CompletionExchange::explanation() const {
  const RequestMachine &machine = Runner->machine();
  const RequestPlan &plan = machine.plan();
  json steps = json::array();
  for (const core::requests::TraceLine &it : machine.trace())
    steps.push_back(
        {{"ms", absl::ToInt64Milliseconds(it.At - Runner->admittedAt())},
         {"what", it.Text}});
  json result = {
      {"request_id", plan.RequestId},
      {"workspace", plan.Workspace},
      {"profile", plan.Profile.Name},
      {"profile_revision", plan.Profile.Revision},
      {"limits", plan.Profile.Values.toJson()},
      {"prompt_tokens", plan.PromptTokens},
      {"max_tokens", plan.MaxTokens},
      {"backend", machine.backend()},
      {"attempts", machine.attemptsMade()},
      {"frames_dropped", machine.dropped().total()},
      {"state", core::requests::requestStateNames()[static_cast<size_t>(
                    machine.state())]},
      {"run", core::errors::runStateName(machine.runState())},
      {"steps", steps}};
  if (Error.has_value())
    result["error"] = json::parse(errorBody(*Error))["error"];
  return result;
}

} // namespace orioletally::drivers::gateway

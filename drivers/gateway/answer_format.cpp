#include "drivers/gateway/answer_format.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace orioletally::drivers::gateway {

namespace {

using nlohmann::json;

constexpr std::string_view EmptyText = "\"\"";

bool isPlain(char c) { return c >= ' ' && c <= '~' && c != '"' && c != '\\'; }

std::string jsonText(std::string_view text) {
  // Most tokens need no escapes.
  if (std::all_of(text.begin(), text.end(), isPlain))
    return fmt::format("\"{}\"", text);
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string event(std::string_view data) {
  return fmt::format("data: {}\n\n", data);
}

std::string usageJson(const AnswerUsage &usage) {
  const auto completion = static_cast<int64_t>(usage.CompletionTokens);
  return fmt::format("\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{}"
                     ",\"total_tokens\":{}}}",
                     usage.PromptTokens, completion,
                     usage.PromptTokens + completion);
}

} // namespace

AnswerFormat::AnswerFormat(CompletionShape shape, std::string requestId,
                           const std::string &profile, int64_t created)
    : Shape(shape), Id(std::move(requestId)), ProfileJson(jsonText(profile)),
      Created(created) {
  const std::string sample = event(head(true) + choice("", "", true) + "}");
  // The token text is the last empty string in the sample.
  const size_t split = sample.rfind(EmptyText);
  EventHead = sample.substr(0, split);
  EventTail = sample.substr(split + EmptyText.size());
}

std::string AnswerFormat::head(bool isStream) const {
  const std::string_view chat =
      isStream ? "chat.completion.chunk" : "chat.completion";
  const std::string_view object =
      Shape == CompletionShape::Chat ? chat : "text_completion";
  return fmt::format(
      "{{\"id\":\"{}\",\"object\":\"{}\",\"created\":{},\"model\":{},", Id,
      object, Created, ProfileJson);
}

std::string AnswerFormat::choice(std::string_view text,
                                 std::string_view finishReason,
                                 bool isStream) const {
  const std::string reason =
      finishReason.empty() ? "null" : jsonText(finishReason);
  std::string content;
  if (Shape == CompletionShape::Text)
    content = fmt::format("\"text\":{}", jsonText(text));
  else if (isStream)
    content = fmt::format("\"delta\":{{\"content\":{}}}", jsonText(text));
  else
    content =
        fmt::format("\"message\":{{\"role\":\"assistant\",\"content\":{}}}",
                    jsonText(text));
  return fmt::format("\"choices\":[{{\"index\":0,{},\"finish_reason\":{}}}]",
                     content, reason);
}

std::string AnswerFormat::tokenEvent(std::string_view text) const {
  return EventHead + jsonText(text) + EventTail;
}

std::string AnswerFormat::finalEvents(std::string_view finishReason,
                                      const AnswerUsage &usage) const {
  return event(fmt::format("{}{},{}}}", head(true),
                           choice("", finishReason, true), usageJson(usage))) +
         event("[DONE]");
}

std::string AnswerFormat::errorEvent(const core::errors::RequestError &error) {
  return event(errorBody(error));
}

std::string AnswerFormat::wholeAnswer(std::string_view text,
                                      std::string_view finishReason,
                                      const AnswerUsage &usage) const {
  return fmt::format("{}{},{}}}", head(false),
                     choice(text, finishReason, false), usageJson(usage));
}

std::string errorBody(const core::errors::RequestError &error) {
  const json object = {{"error",
                        {{"code", core::errors::errorCodeName(error.Code)},
                         {"message", error.Message},
                         {"run", core::errors::runStateName(error.Run)},
                         {"rule", error.Rule},
                         {"retry_after_ms", error.RetryAfterMs}}}};
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace orioletally::drivers::gateway

#include "drivers/gateway/completion_call.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace orioletally::drivers::gateway {

namespace {

using core::errors::ErrorCode;
using core::errors::RequestError;
using core::errors::RequestErrorBuilder;
using core::routing::PrefixHash;
using nlohmann::json;

constexpr int64_t FirstPrefixTokens = 1024;
constexpr int64_t PrefixGrowthFactor = 4;

RequestError badRequest(std::string message) {
  return RequestErrorBuilder(ErrorCode::BadRequest, std::move(message))
      .rule("request body")
      .build();
}

/// Joins the messages of a chat into one prompt, one message per line.
std::optional<std::string> joinMessages(const json &messages) {
  if (!messages.is_array() || messages.empty())
    return std::nullopt;
  std::string prompt;
  for (const json &it : messages) {
    if (!it.is_object() || !it.contains("role") || !it["role"].is_string() ||
        !it.contains("content") || !it["content"].is_string())
      return std::nullopt;
    prompt += fmt::format("{}: {}\n", it["role"].get_ref<const std::string &>(),
                          it["content"].get_ref<const std::string &>());
  }
  return prompt;
}

std::optional<std::string> promptOf(CompletionShape shape, const json &object) {
  if (shape == CompletionShape::Chat)
    return joinMessages(object.value("messages", json()));
  const json prompt = object.value("prompt", json());
  if (!prompt.is_string() || prompt.get_ref<const std::string &>().empty())
    return std::nullopt;
  return prompt.get<std::string>();
}

} // namespace

CompletionCallResult parseCompletionCall(CompletionShape shape,
                                         const std::string &body) {
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object())
    return badRequest("expected a JSON object");
  CompletionCall call;
  call.Shape = shape;
  const json model = object.value("model", json());
  if (!model.is_string())
    return badRequest("model: expected the name of a profile");
  call.ProfileName = model.get<std::string>();
  auto prompt = promptOf(shape, object);
  if (!prompt.has_value())
    return badRequest(shape == CompletionShape::Chat
                          ? "messages: expected a non-empty list of objects "
                            "with role and content"
                          : "prompt: expected a non-empty string");
  call.Prompt = *std::move(prompt);
  if (object.contains("max_tokens")) {
    const json &value = object["max_tokens"];
    if (!value.is_number_integer() || value <= 0 || value > INT64_MAX)
      return badRequest("max_tokens: expected a whole number above 0");
    call.MaxTokens = value.get<int64_t>();
  }
  const json stream = object.value("stream", json(false));
  if (!stream.is_boolean())
    return badRequest("stream: expected true or false");
  call.Stream = stream.get<bool>();
  if (object.value("n", json(1)) != json(1))
    return badRequest("n: expected 1");
  return call;
}

int64_t estimateTokens(std::string_view prompt, int64_t bytesPerToken) {
  const auto n = static_cast<int64_t>(prompt.size());
  return (n + bytesPerToken - 1) / bytesPerToken;
}

std::vector<PrefixHash> prefixHashes(std::string_view prompt,
                                     std::string_view workspace,
                                     int64_t bytesPerToken) {
  const uint64_t salt = XXH3_64bits(workspace.data(), workspace.size());
  const int64_t total = estimateTokens(prompt, bytesPerToken);
  std::vector<PrefixHash> hashes;
  for (int64_t n = FirstPrefixTokens; n <= total; n *= PrefixGrowthFactor) {
    const auto bytes = static_cast<size_t>(n * bytesPerToken);
    if (bytes > prompt.size())
      break;
    hashes.push_back({n, XXH3_64bits_withSeed(prompt.data(), bytes, salt)});
  }
  return hashes;
}

} // namespace orioletally::drivers::gateway

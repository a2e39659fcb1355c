#ifndef ORIOLETALLY_DRIVERS_GATEWAY_ANSWER_FORMAT_H
#define ORIOLETALLY_DRIVERS_GATEWAY_ANSWER_FORMAT_H

#include "core/errors/request_error.h"
#include "drivers/gateway/completion_call.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace orioletally::drivers::gateway {

/// Token counts in the `usage` object of an answer.
struct AnswerUsage {
  int64_t PromptTokens = 0;
  uint64_t CompletionTokens = 0;
};

/// Formats the answer to one completion call as OpenAI-compatible JSON.
class AnswerFormat {
public:
  /// \p created is in Unix time, seconds since 1970.
  AnswerFormat(CompletionShape shape, std::string requestId,
               const std::string &profile, int64_t created);

  /// Returns the stream event that carries \p text.
  std::string tokenEvent(std::string_view text) const;

  /// Returns the event with the finish reason and the token counts, followed by
  /// the `[DONE]` event.
  std::string finalEvents(std::string_view finishReason,
                          const AnswerUsage &usage) const;

  /// Returns the last event of a stream that fails; no `[DONE]` event follows.
  static std::string errorEvent(const core::errors::RequestError &error);

  /// Returns the whole body for a call that doesn't stream.
  std::string wholeAnswer(std::string_view text, std::string_view finishReason,
                          const AnswerUsage &usage) const;

private:
  std::string choice(std::string_view text, std::string_view finishReason,
                     bool isStream) const;
  std::string head(bool isStream) const;

  CompletionShape Shape;
  /// The constant text before and after the token text in each stream event.
  std::string EventHead;
  std::string EventTail;
  std::string Id;
  std::string ProfileJson;
  int64_t Created;
};

/// Returns the JSON body of an error response.
std::string errorBody(const core::errors::RequestError &error);

} // namespace orioletally::drivers::gateway

#endif

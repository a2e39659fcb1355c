#ifndef ORIOLETALLY_DRIVERS_GATEWAY_ANSWER_FORMAT_H
#define ORIOLETALLY_DRIVERS_GATEWAY_ANSWER_FORMAT_H

#include "core/errors/request_error.h"
#include "drivers/gateway/completion_call.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace orioletally::drivers::gateway {

/// Counts that an answer states about itself.
struct AnswerUsage {
  int64_t PromptTokens = 0;
  uint64_t CompletionTokens = 0;
};

/// Writes answers to completions in the OpenAI-compatible shapes.
class AnswerFormat {
public:
  /// \p created is in seconds since 1970.
  AnswerFormat(CompletionShape shape, std::string requestId,
               const std::string &profile, int64_t created);

  /// One event that carries \p text.
  std::string tokenEvent(std::string_view text) const;

  /// The event with the reason and the counts, and the end mark.
  std::string finalEvents(std::string_view finishReason,
                          const AnswerUsage &usage) const;

  /// The event of a stream that ends with an error; no end mark follows.
  static std::string errorEvent(const core::errors::RequestError &error);

  /// The whole answer of a call that doesn't stream.
  std::string wholeAnswer(std::string_view text, std::string_view finishReason,
                          const AnswerUsage &usage) const;

private:
  std::string choice(std::string_view text, std::string_view finishReason,
                     bool isStream) const;
  std::string head(bool isStream) const;

  CompletionShape Shape;
  /// What stands before and after the text in each event of a stream.
  std::string EventHead;
  std::string EventTail;
  std::string Id;
  std::string ProfileJson;
  int64_t Created;
};

/// The JSON body of an error.
std::string errorBody(const core::errors::RequestError &error);

} // namespace orioletally::drivers::gateway

#endif

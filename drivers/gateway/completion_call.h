#ifndef ORIOLETALLY_DRIVERS_GATEWAY_COMPLETION_CALL_H
#define ORIOLETALLY_DRIVERS_GATEWAY_COMPLETION_CALL_H

#include "core/errors/request_error.h"
#include "core/routing/backend_selector.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace orioletally::drivers::gateway {

/// Which of the two OpenAI-compatible shapes a call has.
enum class CompletionShape { Text, Chat };

/// One call as a caller wrote it, checked for form.
struct CompletionCall {
  CompletionShape Shape = CompletionShape::Text;
  /// The `model` of the call, which names a profile.
  std::string ProfileName;
  std::string Prompt;
  std::optional<int64_t> MaxTokens;
  bool Stream = false;
};

using CompletionCallResult =
    std::variant<CompletionCall, core::errors::RequestError>;

/// Reads the JSON body of a call.
CompletionCallResult parseCompletionCall(CompletionShape shape,
                                         const std::string &body);

/// Estimates the tokens of \p prompt, rounding up.
int64_t estimateTokens(std::string_view prompt, int64_t bytesPerToken);

/// Returns marks of the prompt's beginnings of growing length, salted so that
/// two workspaces never share one.
std::vector<core::routing::PrefixHash> prefixMarks(std::string_view prompt,
                                                   std::string_view workspace,
                                                   int64_t bytesPerToken);

} // namespace orioletally::drivers::gateway

#endif

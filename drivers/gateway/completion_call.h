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

/// Which of the two OpenAI-compatible endpoints a call uses, and so the shape
/// of its body and answer.
enum class CompletionShape { Text, Chat };

/// The parsed body of one completion call.
struct CompletionCall {
  CompletionShape Shape = CompletionShape::Text;
  /// The `model` field, which names a profile.
  std::string ProfileName;
  std::string Prompt;
  std::optional<int64_t> MaxTokens;
  bool Stream = false;
};

using CompletionCallResult =
    std::variant<CompletionCall, core::errors::RequestError>;

/// Parses the JSON body of a call, or returns the error to answer with.
CompletionCallResult parseCompletionCall(CompletionShape shape,
                                         const std::string &body);

/// Estimates the number of tokens in \p prompt from its length, rounding up.
int64_t estimateTokens(std::string_view prompt, int64_t bytesPerToken);

/// Returns hashes of ever longer prefixes of the prompt, salted with the
/// workspace so that two workspaces never share one.
std::vector<core::routing::PrefixHash> prefixHashes(std::string_view prompt,
                                                    std::string_view workspace,
                                                    int64_t bytesPerToken);

} // namespace orioletally::drivers::gateway

#endif

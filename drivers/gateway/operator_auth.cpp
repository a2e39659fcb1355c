#include "drivers/gateway/operator_auth.h"

#include "drivers/gateway/http_reply.h"

#include <utility>

namespace orioletally::drivers::gateway {

using core::errors::ErrorCode;
using core::errors::refusal;

http::SyncHandler forOperators(const CallerTokens &tokens,
                               OperatorHandler handler) {
  return [&tokens, handler = std::move(handler)](
             const http::HttpRequest &request, http::HttpResponse &response) {
    const auto principal = tokens.find(request.header("Authorization"));
    if (!principal.has_value())
      return replyError(response,
                        refusal(ErrorCode::Unauthorized, "unknown bearer token",
                                "setting auth.tokens_file"));
    if (!principal->IsOperator)
      return replyError(response, refusal(ErrorCode::Forbidden,
                                          "this path is for operators only",
                                          "setting auth.tokens_file"));
    handler(request, response, principal->Name);
  };
}

} // namespace orioletally::drivers::gateway

#ifndef ORIOLETALLY_DRIVERS_GATEWAY_OPERATOR_AUTH_H
#define ORIOLETALLY_DRIVERS_GATEWAY_OPERATOR_AUTH_H

#include "drivers/gateway/caller_tokens.h"
#include "drivers/http/http_routes.h"

#include <functional>
#include <string>

namespace orioletally::drivers::gateway {

/// Answers a request of an operator, whose name comes last.
using OperatorHandler = std::function<void(
    const http::HttpRequest &, http::HttpResponse &, const std::string &)>;

/// Lets only operators through to \p handler.
http::PlainHandler forOperators(const CallerTokens &tokens,
                                OperatorHandler handler);

} // namespace orioletally::drivers::gateway

#endif

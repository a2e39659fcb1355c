#ifndef ORIOLETALLY_DRIVERS_GATEWAY_OPERATOR_AUTH_H
#define ORIOLETALLY_DRIVERS_GATEWAY_OPERATOR_AUTH_H

#include "drivers/gateway/caller_tokens.h"
#include "drivers/http/http_routes.h"

#include <functional>
#include <string>

namespace orioletally::drivers::gateway {

/// Handles a request from an operator; the last argument is the operator's
/// name.
using OperatorHandler = std::function<void(
    const http::HttpRequest &, http::HttpResponse &, const std::string &)>;

/// Wraps \p handler so that only requests with an operator's token reach it;
/// others are answered with an error.
http::SyncHandler forOperators(const CallerTokens &tokens,
                               OperatorHandler handler);

} // namespace orioletally::drivers::gateway

#endif

#ifndef ORIOLETALLY_DRIVERS_GATEWAY_OPERATOR_AUTH_H
#define ORIOLETALLY_DRIVERS_GATEWAY_OPERATOR_AUTH_H

#include "drivers/gateway/caller_tokens.h"

#include <functional>
#include <httplib.h>
#include <string>

namespace orioletally::drivers::gateway {

/// Answers a request of an operator, whose name comes last.
using OperatorHandler = std::function<void(
    const httplib::Request &, httplib::Response &, const std::string &)>;

/// Lets only operators through to \p handler.
httplib::Server::Handler forOperators(const CallerTokens &tokens,
                                      OperatorHandler handler);

} // namespace orioletally::drivers::gateway

#endif

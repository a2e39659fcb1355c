#ifndef ORIOLETALLY_DRIVERS_GATEWAY_HTTP_REPLY_H
#define ORIOLETALLY_DRIVERS_GATEWAY_HTTP_REPLY_H

#include "core/errors/request_error.h"
#include "drivers/http/http_routes.h"

#include <nlohmann/json.hpp>
#include <string>

namespace orioletally::drivers::gateway {

/// Answers with an error in JSON, its status and, where due, Retry-After.
void replyError(http::HttpResponse &response,
                const core::errors::RequestError &error);

/// Answers with \p object and \p status.
void replyJson(http::HttpResponse &response, int status,
               const nlohmann::json &object);

/// What a request that reaches no handler is answered, in the shape of all
/// other errors.
http::HttpResponse faultAnswer(http::HttpFault fault, const std::string &path);

} // namespace orioletally::drivers::gateway

#endif

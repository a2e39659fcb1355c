#ifndef ORIOLETALLY_DRIVERS_GATEWAY_HTTP_REPLY_H
#define ORIOLETALLY_DRIVERS_GATEWAY_HTTP_REPLY_H

#include "core/errors/request_error.h"
#include "drivers/http/http_routes.h"

#include <nlohmann/json.hpp>
#include <string>

namespace orioletally::drivers::gateway {

/// Fills \p response with the JSON body and status of \p error, and with
/// Retry-After if the error has a retry time.
void replyError(http::HttpResponse &response,
                const core::errors::RequestError &error);

/// Fills \p response with \p object as its JSON body.
void replyJson(http::HttpResponse &response, int status,
               const nlohmann::json &object);

/// Returns the response to a request that no handler answered, in the format of
/// all other errors.
http::HttpResponse jsonFaultResponse(http::HttpFault fault,
                                     const std::string &path);

} // namespace orioletally::drivers::gateway

#endif

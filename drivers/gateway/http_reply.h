#ifndef ORIOLETALLY_DRIVERS_GATEWAY_HTTP_REPLY_H
#define ORIOLETALLY_DRIVERS_GATEWAY_HTTP_REPLY_H

#include "core/errors/request_error.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <string>

namespace orioletally::drivers::gateway {

/// Answers with an error in JSON, its status and, where due, Retry-After.
void replyError(httplib::Response &response,
                const core::errors::RequestError &error);

/// Answers with \p object and \p status.
void replyJson(httplib::Response &response, int status,
               const nlohmann::json &object);

/// Gives the library's own error answers the same shape as all others.
void replyLibraryError(const httplib::Request &request,
                       httplib::Response &response);

} // namespace orioletally::drivers::gateway

#endif

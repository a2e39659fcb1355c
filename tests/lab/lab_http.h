#ifndef ORIOLETALLY_TESTS_LAB_LAB_HTTP_H
#define ORIOLETALLY_TESTS_LAB_LAB_HTTP_H

#include "tests/lab/threaded_server.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <string>

namespace orioletally::lab {

/// Answers with \p object as JSON.
void reply(httplib::Response &response, int status,
           const nlohmann::json &object);

/// Shuts down the connection that this thread serves, so that no answer
/// arrives.
void cutConnection();

/// Returns the settings of a stand-in that listens on \p port of the loopback
/// address.
drivers::http::HttpServerSettings labServerSettings(int port);

} // namespace orioletally::lab

#endif

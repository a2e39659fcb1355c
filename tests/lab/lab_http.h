#ifndef ORIOLETALLY_TESTS_LAB_LAB_HTTP_H
#define ORIOLETALLY_TESTS_LAB_LAB_HTTP_H

#include "tests/lab/threaded_server.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <string>

namespace orioletally::lab {

/// Answers with \p object.
void reply(httplib::Response &response, int status,
           const nlohmann::json &object);

/// Cuts the connection that this thread serves, so that no answer arrives.
void cutConnection();

/// Settings of a stand-in's server on \p port of the loopback address.
drivers::http::HttpServerSettings labServerSettings(int port);

} // namespace orioletally::lab

#endif

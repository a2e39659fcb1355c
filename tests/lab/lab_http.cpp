#include "tests/lab/lab_http.h"

#include "tests/lab/socket_stream.h"

#include <sys/socket.h>

namespace orioletally::lab {

namespace {
constexpr size_t MaxConnections = 4000;
constexpr size_t MaxBodyBytes = 64 << 20;
} // namespace

void reply(httplib::Response &response, int status,
           const nlohmann::json &object) {
  response.status = status;
  response.set_content(object.dump(), "application/json");
}

void cutConnection() {
  if (auto *connection = currentConnection())
    ::shutdown(connection->socket(), SHUT_RDWR);
}

drivers::http::HttpServerSettings labServerSettings(int port) {
  drivers::http::HttpServerSettings settings;
  settings.Port = port;
  settings.MaxConnections = MaxConnections;
  settings.MaxBodyBytes = MaxBodyBytes;
  return settings;
}

} // namespace orioletally::lab

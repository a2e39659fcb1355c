#include "tests/lab/service_server.h"

#include "tests/lab/lab_http.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace orioletally::lab {

using nlohmann::json;

namespace {
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
constexpr int Percent = 100;
} // namespace

ServiceServer::ServiceServer(int port, uint64_t seed)
    : Random(seed), Server(labServerSettings(port)) {
  Server.Post("/control/faults", [this](const auto &request, auto &response) {
    const json body = json::parse(request.body);
    ServiceFaults faults;
    faults.Refuse = body.value("refuse", false);
    faults.Draining = body.value("draining", false);
    faults.DelayMs = body.value("delay_ms", 0);
    faults.LoseReplyPercent = body.value("lose_reply_percent", 0);
    setFaults(faults);
    reply(response, StatusOk, json::object());
  });
  Server.Get("/control/executions", [this](const auto &, auto &response) {
    reply(response, StatusOk, json(executions()));
  });
  Server.Get("/healthz", [](const auto &, auto &response) {
    reply(response, StatusOk, {{"status", "alive"}});
  });
  Server.Post("/.*", [this](const auto &request, auto &response) {
    handleCall(request, response);
  });
}

boost::leaf::result<void> ServiceServer::start() { return Server.start(); }

void ServiceServer::setFaults(const ServiceFaults &faults) {
  const std::lock_guard lock(Guard);
  Faults = faults;
}

std::map<std::string, int> ServiceServer::executions() const {
  const std::lock_guard lock(Guard);
  return Executions;
}

void ServiceServer::handleCall(const httplib::Request &request,
                               httplib::Response &response) {
  ServiceFaults faults;
  bool isReplyLost = false;
  {
    const std::lock_guard lock(Guard);
    faults = Faults;
    isReplyLost =
        static_cast<int>(Random() % Percent) < faults.LoseReplyPercent;
  }
  if (faults.Draining)
    response.set_header("X-Draining", "true");
  if (faults.Refuse || faults.Draining) {
    response.set_header("X-Not-Started", "true");
    return reply(response, StatusUnavailable, {{"code", "refusing"}});
  }
  const std::string key = request.has_header("Idempotency-Key")
                              ? request.get_header_value("Idempotency-Key")
                              : request.get_header_value("X-Request-Id");
  int n = 0;
  {
    const std::lock_guard lock(Guard);
    n = ++Executions[key];
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(faults.DelayMs));
  if (isReplyLost)
    return cutConnection();
  reply(response, StatusOk,
        {{"execution", n},
         {"path", request.path},
         {"bytes", request.body.size()}});
}

} // namespace orioletally::lab

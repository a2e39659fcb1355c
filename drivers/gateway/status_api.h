#ifndef ORIOLETALLY_DRIVERS_GATEWAY_STATUS_API_H
#define ORIOLETALLY_DRIVERS_GATEWAY_STATUS_API_H

#include "drivers/gateway/operator_api.h"

#include <string>

namespace orioletally::drivers::gateway {

/// The HTTP API for the state of one node: health, readiness, metrics, its view
/// of the fleet, and explanations of its last requests.
class StatusApi {
public:
  explicit StatusApi(const OperatorContext &context) : Context(context) {}

  void registerRoutes(http::HttpRoutes &routes);

private:
  void showReadiness(http::HttpResponse &response) const;
  void showStatus(http::HttpResponse &response) const;
  void showRequest(const std::string &id, http::HttpResponse &response) const;
  void showMetrics(http::HttpResponse &response) const;

  const OperatorContext &Context;
};

} // namespace orioletally::drivers::gateway

#endif

#ifndef ORIOLETALLY_DRIVERS_BACKEND_HTTP_SERVICE_CLIENT_H
#define ORIOLETALLY_DRIVERS_BACKEND_HTTP_SERVICE_CLIENT_H

#include "core/backends/service_client.h"

namespace orioletally::drivers::backend {

/// Client of plain services over HTTP. Only the header `X-Not-Started: true`
/// states that the service refused the call before it executed any of it; a
/// status code alone doesn't prove that.
class HttpServiceClient : public core::backends::ServiceClient {
public:
  boost::leaf::result<core::backends::ServiceAnswer>
  call(const std::string &address, const core::backends::ServiceCall &call,
       absl::Duration connectTimeout, absl::Duration timeout) override;
};

} // namespace orioletally::drivers::backend

#endif

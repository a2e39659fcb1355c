#ifndef ORIOLETALLY_DRIVERS_BACKEND_HTTP_SERVICE_CLIENT_H
#define ORIOLETALLY_DRIVERS_BACKEND_HTTP_SERVICE_CLIENT_H

#include "core/backends/service_client.h"

namespace orioletally::drivers::backend {

/// Calls plain services over HTTP. A service refuses a call before it begins
/// by the header `X-Not-Started: true`; a status alone proves nothing.
class HttpServiceClient : public core::backends::ServiceClient {
public:
  boost::leaf::result<core::backends::ServiceAnswer>
  call(const std::string &address, const core::backends::ServiceCall &call,
       absl::Duration connectTimeout, absl::Duration timeout) override;
};

} // namespace orioletally::drivers::backend

#endif

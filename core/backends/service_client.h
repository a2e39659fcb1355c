#ifndef ORIOLETALLY_CORE_BACKENDS_SERVICE_CLIENT_H
#define ORIOLETALLY_CORE_BACKENDS_SERVICE_CLIENT_H

#include "core/backends/engine_client.h"

#include <absl/time/time.h>
#include <boost/leaf.hpp>
#include <string>

namespace orioletally::core::backends {

/// One call to a plain service.
struct ServiceCall {
  std::string RequestId;
  std::string Path;
  std::string ContentType;
  std::string Body;
  /// Forwarded so that the service can detect a repeated call; may be empty.
  std::string IdempotencyKey;
};

/// The complete answer of a plain service.
struct ServiceAnswer {
  int Status = 0;
  std::string ContentType;
  std::string Body;
  /// The service refused the call before it executed any of it.
  bool RefusedBeforeStart = false;
  bool Draining = false;
  int64_t RetryAfterMs = 0;
};

/// Client of plain services, which are called over HTTP.
class ServiceClient {
public:
  virtual ~ServiceClient() = default;

  /// Sends \p call once over a new connection and waits at most \p timeout for
  /// the complete answer. Fails with a BackendError.
  virtual boost::leaf::result<ServiceAnswer> call(const std::string &address,
                                                  const ServiceCall &call,
                                                  absl::Duration connectTimeout,
                                                  absl::Duration timeout) = 0;
};

} // namespace orioletally::core::backends

#endif

#ifndef ORIOLETALLY_DRIVERS_RELAY_REQUEST_LIMIT_LOG_H
#define ORIOLETALLY_DRIVERS_RELAY_REQUEST_LIMIT_LOG_H

#include "core/fleet/backend_directory.h"

#include <absl/time/time.h>
#include <string_view>

namespace orioletally::drivers::relay {

/// Logs the changed request limit of \p server, which this node read ("own") or
/// another one did ("peer").
void logRequestLimit(const core::fleet::BackendServer &server,
                     std::string_view source, absl::Time now);

} // namespace orioletally::drivers::relay

#endif

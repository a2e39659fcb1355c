#ifndef ORIOLETALLY_DRIVERS_RELAY_COLD_LOG_H
#define ORIOLETALLY_DRIVERS_RELAY_COLD_LOG_H

#include "core/fleet/backend_directory.h"

#include <absl/time/time.h>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace orioletally::drivers::relay {

/// Logs the beginning and end of cold phases of backend servers.
class ColdLog {
public:
  /// Lines that one call of update() writes; what it omits is counted in one
  /// more line.
  static constexpr int MaxLines = 16;

  /// Logs what differs from the last call; \p cold holds the backend servers
  /// that are cold at \p now.
  void
  update(const std::vector<std::shared_ptr<core::fleet::BackendServer>> &cold,
         absl::Time now);

private:
  std::set<std::string> Known;
};

} // namespace orioletally::drivers::relay

#endif

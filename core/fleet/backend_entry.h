#ifndef ORIOLETALLY_CORE_FLEET_BACKEND_ENTRY_H
#define ORIOLETALLY_CORE_FLEET_BACKEND_ENTRY_H

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string>

namespace orioletally::core::fleet {

/// A row of the platform's list, written by the backend server itself.
struct BackendEntry {
  /// Identifies the backend server. Some use a new id for each start, others
  /// keep theirs.
  std::string Id;
  std::string Service;
  /// "ip:port".
  std::string Address;
  std::string Zone;
  /// Number of requests that it executes concurrently.
  int64_t Slots = 1;
  /// Set when it accepts no new work.
  bool Leaving = false;
  /// Unix time of its start in milliseconds; 0 when not given. A new value
  /// under the same id means that it restarted and lost all its state.
  int64_t StartedAtMs = 0;
  /// How much longer it is cold, as of the row's last change, 0 for one that is
  /// warm; empty when not given.
  std::optional<absl::Duration> ColdRemaining;
  /// Version of the row; grows with each change.
  uint64_t RowVersion = 0;
};

/// A change of one row of the platform's list.
struct BackendChange {
  /// For a removal, only Id and RowVersion are set.
  BackendEntry Entry;
  bool Removed = false;
  /// For a removal, how much longer the backend server stays in use.
  absl::Duration ExpiresIn = absl::ZeroDuration();
};

} // namespace orioletally::core::fleet

#endif

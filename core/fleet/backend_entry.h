#ifndef ORIOLETALLY_CORE_FLEET_BACKEND_ENTRY_H
#define ORIOLETALLY_CORE_FLEET_BACKEND_ENTRY_H

#include <absl/time/time.h>
#include <cstdint>
#include <string>

namespace orioletally::core::fleet {

/// What a backend server says of itself in the platform's list.
struct BackendEntry {
  /// Names one start of one backend server, or one that keeps its name.
  std::string Id;
  std::string Service;
  /// "ip:port".
  std::string Address;
  std::string Zone;
  /// Requests that it executes at once.
  int64_t Slots = 1;
  /// Whether it takes no new work.
  bool Leaving = false;
  /// Unix milliseconds of its start; 0 when it doesn't say. A change under the
  /// same id is a restart that has forgotten everything.
  int64_t StartedAtMs = 0;
  /// Version of the list's row; grows with each change.
  uint64_t RowVersion = 0;
};

/// A change of the platform's list.
struct BackendChange {
  /// Of one that was removed, only Id and RowVersion are set.
  BackendEntry Entry;
  bool Removed = false;
  /// How much longer one that was removed counts.
  absl::Duration ExpiresIn = absl::ZeroDuration();
};

} // namespace orioletally::core::fleet

#endif

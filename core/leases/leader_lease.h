#ifndef ORIOLETALLY_CORE_LEASES_LEADER_LEASE_H
#define ORIOLETALLY_CORE_LEASES_LEADER_LEASE_H

#include "core/platform/table_service.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string>

namespace orioletally::core::leases {

/// Parameters of a LeaderLease.
struct LeaseSettings {
  /// Row of the table that holds the lease.
  std::string Key;
  /// How long the lease lasts after the holder began its last renewal.
  absl::Duration Duration = absl::Seconds(10);
  /// What a follower waits beyond that, against clocks that run unevenly.
  absl::Duration Margin = absl::Seconds(2);
};

/// A lease in the platform's table with a fencing number that grows with each
/// new holder. The table has no clock that it could be judged by, so a
/// follower takes over only after it has itself seen the row unchanged for the
/// duration and the margin. A holder that was frozen finds by its own clock
/// that its lease has lapsed; what it sent late carries an old fencing number.
class LeaderLease {
public:
  LeaderLease(platform::TableService &service, std::string owner,
              LeaseSettings settings);

  /// Renews the lease, or takes it over when it lapsed. Call a few times in
  /// each duration. A table that can't be reached is no error: the lease runs
  /// out by itself.
  void poll(absl::Time now);

  /// The fencing number to act with, if this process holds the lease at \p now.
  std::optional<uint64_t> fencingToken(absl::Time now) const;

private:
  struct Row {
    std::string Owner;
    uint64_t Fence = 0;
    uint64_t Version = 0;
  };

  boost::leaf::result<void> renewOrTakeOver(absl::Time now);
  boost::leaf::result<std::optional<Row>> readRow();
  boost::leaf::result<void> write(uint64_t version, uint64_t token,
                                  absl::Time now);

  platform::TableService &Table;
  std::string Owner;
  LeaseSettings Settings;
  /// Set while this process holds the lease, by its own clock.
  std::optional<uint64_t> ActiveToken;
  absl::Time ActiveUntil = absl::InfinitePast();
  uint64_t ObservedVersion = 0;
  absl::Time ObservedSince = absl::InfiniteFuture();
};

} // namespace orioletally::core::leases

#endif

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
  /// Key of the table row that holds the lease.
  std::string Key;
  /// Validity of the lease, counted from when its holder started the last
  /// renewal.
  absl::Duration Duration = absl::Seconds(10);
  /// Additional time that other processes wait before they take over, to allow
  /// for clocks that run at different speeds.
  absl::Duration Margin = absl::Seconds(2);
};

/// A lease in the platform's table with a fencing token that grows with each
/// new holder. The table has no clock to measure expiry by, so another process
/// takes over only after it has itself seen the row unchanged for Duration plus
/// Margin. A holder that was frozen finds by its own clock that its lease has
/// expired; whatever it sends late carries an outdated fencing token.
class LeaderLease {
public:
  LeaderLease(platform::TableService &service, std::string owner,
              LeaseSettings settings);

  /// Renews the lease, or takes it over once it has expired. Call several times
  /// per Duration. Errors of the table are ignored: the lease then expires by
  /// itself.
  void poll(absl::Time now);

  /// Returns the fencing token, if this process holds the lease at \p now.
  std::optional<uint64_t> fencingToken(absl::Time now) const;

private:
  struct Row {
    std::string Owner;
    uint64_t Token = 0;
    uint64_t Version = 0;
  };

  boost::leaf::result<void> renewOrTakeOver(absl::Time now);
  boost::leaf::result<std::optional<Row>> readRow();
  boost::leaf::result<void> write(uint64_t version, uint64_t token,
                                  absl::Time now);

  platform::TableService &Table;
  std::string Owner;
  LeaseSettings Settings;
  /// Token of this process's last successful write, valid until ActiveUntil by
  /// its own clock. Reset when a write conflicts.
  std::optional<uint64_t> ActiveToken;
  absl::Time ActiveUntil = absl::InfinitePast();
  uint64_t ObservedVersion = 0;
  absl::Time ObservedSince = absl::InfiniteFuture();
};

} // namespace orioletally::core::leases

#endif

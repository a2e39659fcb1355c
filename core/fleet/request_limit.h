#ifndef ORIOLETALLY_CORE_FLEET_REQUEST_LIMIT_H
#define ORIOLETALLY_CORE_FLEET_REQUEST_LIMIT_H

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string>

namespace orioletally::core::fleet {

/// What a backend server stated in an answer about the requests it accepts.
struct LimitStatement {
  /// Requests a second from all nodes together, 0 or more; empty for no limit.
  std::optional<double> PerSecond;
  /// When the answer arrived.
  absl::Time StatedAt = absl::InfinitePast();
};

/// A statement, and the start of the backend server that made it.
struct BackendLimit {
  std::string Backend;
  /// Unix time in milliseconds; 0 when not given.
  int64_t StartedAtMs = 0;
  LimitStatement Statement;
};

/// The limit on one backend server's requests that its cell keeps to.
///
/// A token bucket that counts the requests of all nodes of the cell. Nodes that
/// send at the same time can overdraw it; the next request then waits longer,
/// so that the average holds.
class RequestLimit {
public:
  /// Applies \p statement if it is newer than the last one. Returns whether the
  /// limit has changed.
  bool apply(const LimitStatement &statement, absl::Time now);

  /// Sets the share of the limit that this cell may use, from 0 to 1.
  void setShare(double share) { Share = share; }

  /// The newest statement.
  const LimitStatement &statement() const { return Newest; }

  bool isActive() const { return Newest.PerSecond.has_value(); }

  /// When the next request may be sent: infinite past without a limit, infinite
  /// future if this cell has no share of it.
  absl::Time nextSendAt() const;

  /// Records a request that this node or another node of the cell sends.
  void recordSend(absl::Time now);

private:
  /// Time between two requests of the cell.
  absl::Duration interval() const;

  LimitStatement Newest;
  double Share = 1;
  /// When the bucket holds one request, if none is sent before.
  absl::Time RefilledAt = absl::InfinitePast();
};

} // namespace orioletally::core::fleet

#endif

#ifndef ORIOLETALLY_CORE_ROUTING_BACKEND_REGISTRY_H
#define ORIOLETALLY_CORE_ROUTING_BACKEND_REGISTRY_H

#include "core/backends/frame.h"
#include "core/platform/vm_list.h"

#include <absl/time/time.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::routing {

/// A submit that the last load report may not include yet.
struct RecentDispatch {
  absl::Time At;
  int64_t PrefillTokens = 0;
  int64_t Priority = 0;
};

/// The state of one backend server, as seen by this node.
struct BackendState {
  platform::Vm Vm;
  /// Whether the platform lists the VM; only listed ones get requests.
  bool Listed = true;
  absl::Time UnlistedSince = absl::InfiniteFuture();
  /// Set by the VM list, by the backend server itself or by a peer, and never
  /// cleared, since a VM that leaves doesn't return under the same id.
  bool Leaving = false;
  absl::Time LeavingSince = absl::InfiniteFuture();
  /// No request is sent to this backend server before this time.
  absl::Time BackoffUntil = absl::InfinitePast();
  int ConsecutiveFailures = 0;
  int64_t InFlight = 0;
  std::optional<backends::LoadReport> Report;
  /// When the report arrived.
  absl::Time ReportAt = absl::InfinitePast();
  /// Submits that `Report` may not include yet, oldest first.
  std::deque<RecentDispatch> RecentDispatches;

  bool isUsable(absl::Time now) const {
    return !Leaving && now >= BackoffUntil;
  }

  /// Estimates the prompt tokens that are prefilled before those of a new
  /// stream of \p priority.
  int64_t prefillTokensAhead(int64_t priority, absl::Time now) const;

  /// Estimates the queued prompt tokens that are prefilled after those of a new
  /// stream of \p priority.
  int64_t prefillTokensBehind(int64_t priority, absl::Time now) const;
};

/// The state of every backend server, as seen by this node.
class BackendRegistry {
public:
  /// \p maxReportLag is the highest age of a load report when it arrives.
  explicit BackendRegistry(absl::Duration maxReportLag);

  /// Applies the platform's VM list. A VM that is no longer listed gets no new
  /// requests; its state is kept for some time in case the list is stale. An
  /// empty list counts as faulty and is ignored if any VM is known.
  void replaceList(const std::vector<platform::Vm> &vms, absl::Time now);

  /// Returns false if the VM is unknown or is already leaving.
  bool markLeaving(std::string_view id, absl::Time now);
  /// Starts a backoff, which doubles with each consecutive failure up to 10 s.
  void markFailed(std::string_view id, absl::Time now);
  /// Starts a backoff of at least \p retryAfter, but not more than 10 s.
  void markRefusing(std::string_view id, absl::Duration retryAfter,
                    absl::Time now);
  /// Ends the backoff and resets the count of failures.
  void markWorking(std::string_view id);
  void report(std::string_view id, const backends::LoadReport &report,
              absl::Time now);
  /// Records a submit by this node and counts it as in flight.
  void dispatched(std::string_view id, const RecentDispatch &dispatch);
  /// Records a submit by another node.
  void dispatchedElsewhere(std::string_view id, const RecentDispatch &dispatch);
  /// Records that a request of this node is no longer in flight there.
  void ended(std::string_view id);

  /// Listed backend servers with \p role, ordered by id.
  std::vector<const BackendState *> listed(platform::VmRole role) const;

  /// All listed backend servers, engines first.
  std::vector<const BackendState *> listedBackends() const;

  /// Ids of all leaving backend servers, to be sent to peers.
  std::vector<std::string> leaving() const;

private:
  /// \p minBackoff is the lower limit of this backoff.
  void startBackoff(BackendState &backend, absl::Duration minBackoff,
                    absl::Time now);
  void removeExpired(absl::Time now);
  BackendState *find(std::string_view id);

  absl::Duration MaxReportLag;
  std::map<std::string, BackendState, std::less<>> Backends;
};

} // namespace orioletally::core::routing

#endif

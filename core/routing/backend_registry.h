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

/// A submit that the last load report may not count yet.
struct RecentDispatch {
  absl::Time At;
  int64_t PrefillTokens = 0;
  int64_t Priority = 0;
};

/// What this node knows of one backend server.
struct BackendState {
  platform::Vm Vm;
  /// Whether the VM stands on the platform's list; only listed ones get work.
  bool Listed = true;
  absl::Time UnlistedSince = absl::InfiniteFuture();
  /// Set by the VM list, by the backend server's own signal or by a peer, and
  /// never taken back: a VM that leaves doesn't return under the same id.
  bool Leaving = false;
  absl::Time LeavingSince = absl::InfiniteFuture();
  /// No request is sent there before this time.
  absl::Time BackoffUntil = absl::InfinitePast();
  int ConsecutiveFailures = 0;
  int64_t InFlight = 0;
  std::optional<backends::LoadReport> Report;
  absl::Time ReportAt = absl::InfinitePast();
  std::deque<RecentDispatch> Recent;

  bool isUsable(absl::Time now) const {
    return !Leaving && now >= BackoffUntil;
  }

  /// Prompt tokens believed to be prefilled there before a new stream of
  /// \p priority would be.
  int64_t prefillTokensAhead(int64_t priority, absl::Time now) const;

  /// Prompt tokens believed to be there that a new stream of \p priority would
  /// be prefilled before.
  int64_t prefillTokensBehind(int64_t priority, absl::Time now) const;
};

/// Every backend server that this node knows of.
class BackendRegistry {
public:
  /// \p maxReportLag is how old a load report may be when it arrives.
  explicit BackendRegistry(absl::Duration maxReportLag);

  /// Takes the platform's list. A VM that is no longer listed gets no new work,
  /// and what is known of it is kept for a while in case the list is stale. An
  /// empty list where VMs were known is a fault of the list and is ignored.
  void replaceList(const std::vector<platform::Vm> &vms, absl::Time now);

  /// Returns whether that was news.
  bool markLeaving(std::string_view id, absl::Time now);
  void markFailed(std::string_view id, absl::Time now);
  void markRefusing(std::string_view id, absl::Duration retryAfter,
                    absl::Time now);
  void markWorking(std::string_view id);
  void report(std::string_view id, const backends::LoadReport &report,
              absl::Time now);
  void dispatched(std::string_view id, const RecentDispatch &dispatch);
  /// Takes a submit by another node.
  void dispatchedElsewhere(std::string_view id, const RecentDispatch &dispatch);
  void ended(std::string_view id);

  /// Backend servers with \p role that are listed, in the order of their ids.
  std::vector<const BackendState *> listed(platform::VmRole role) const;

  /// Every listed backend server, the engines first.
  std::vector<const BackendState *> listedBackends() const;

  /// Ids that this node itself knows to be leaving, for its peers.
  std::vector<std::string> leaving() const;

private:
  void startBackoff(BackendState &backend, absl::Duration minBackoff,
                    absl::Time now);
  void removeExpired(absl::Time now);
  BackendState *find(std::string_view id);

  absl::Duration MaxReportLag;
  std::map<std::string, BackendState, std::less<>> Backends;
};

} // namespace orioletally::core::routing

#endif

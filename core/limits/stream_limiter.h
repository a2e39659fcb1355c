#ifndef ORIOLETALLY_CORE_LIMITS_STREAM_LIMITER_H
#define ORIOLETALLY_CORE_LIMITS_STREAM_LIMITER_H

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <string>

namespace orioletally::core::limits {

/// The result of an admission check.
enum class StreamVerdict { Admitted, NodeFull, WorkspaceFull };

/// Limits the requests in progress on one node, in total and per workspace. A
/// workspace may use the whole node while it is the only one. Once the node is
/// at least half full, no workspace grows beyond an equal share of it.
class StreamLimiter {
public:
  explicit StreamLimiter(int64_t maxStreams);

  /// Counts a request of \p workspace as in progress if it is admitted.
  StreamVerdict tryEnter(const std::string &workspace);
  /// Ends a request that tryEnter() admitted.
  void leave(const std::string &workspace);

  int64_t inProgress() const { return Total; }

private:
  int64_t MaxStreams;
  int64_t Total = 0;
  absl::flat_hash_map<std::string, int64_t> ByWorkspace;
};

} // namespace orioletally::core::limits

#endif

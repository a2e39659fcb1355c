#ifndef ORIOLETALLY_CORE_LIMITS_STREAM_LIMITER_H
#define ORIOLETALLY_CORE_LIMITS_STREAM_LIMITER_H

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <string>

namespace orioletally::core::limits {

/// Why a request was or wasn't let in.
enum class StreamVerdict { Admitted, NodeFull, WorkspaceFull };

/// Bounds the requests that one node has in progress, in all and by workspace.
/// A workspace may use the whole node while it is alone; once the node is more
/// than half full, no workspace grows beyond an equal share of it.
class StreamLimiter {
public:
  explicit StreamLimiter(int64_t maxStreams);

  StreamVerdict tryEnter(const std::string &workspace);
  void leave(const std::string &workspace);

  int64_t inProgress() const { return Total; }

private:
  int64_t MaxStreams;
  int64_t Total = 0;
  absl::flat_hash_map<std::string, int64_t> ByWorkspace;
};

} // namespace orioletally::core::limits

#endif

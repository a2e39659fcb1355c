#include "core/limits/stream_limiter.h"

#include <algorithm>

namespace orioletally::core::limits {

StreamLimiter::StreamLimiter(int64_t maxStreams) : MaxStreams(maxStreams) {}

StreamVerdict StreamLimiter::tryEnter(const std::string &workspace) {
  if (Total >= MaxStreams)
    return StreamVerdict::NodeFull;
  const auto it = ByWorkspace.find(workspace);
  const int64_t own = it == ByWorkspace.end() ? 0 : it->second;
  const int64_t users =
      static_cast<int64_t>(ByWorkspace.size()) + (own == 0 ? 1 : 0);
  const int64_t share = std::max<int64_t>(1, MaxStreams / users);
  const bool isHalfFull = Total * 2 >= MaxStreams;
  if (users > 1 && isHalfFull && own >= share)
    return StreamVerdict::WorkspaceFull;
  ++Total;
  ++ByWorkspace[workspace];
  return StreamVerdict::Admitted;
}

void StreamLimiter::leave(const std::string &workspace) {
  const auto it = ByWorkspace.find(workspace);
  if (it == ByWorkspace.end())
    return;
  --Total;
  if (--it->second == 0)
    ByWorkspace.erase(it);
}

} // namespace orioletally::core::limits

#include "core/fleet/catch_up.h"

#include <algorithm>

namespace orioletally::core::fleet {

CatchUpStep CatchUp::heard(uint64_t own, uint64_t heard, bool isFollowing,
                           absl::Time now) {
  Wanted = std::max(Wanted, heard);
  if (own >= Wanted) {
    BehindSince = absl::InfiniteFuture();
    return CatchUpStep::None;
  }
  if (heard <= own)
    return CatchUpStep::None;
  BehindSince = std::min(BehindSince, now);
  const absl::Duration behind = now - BehindSince;
  const absl::Duration readAfter =
      isFollowing ? Times.ReadAfterFollowing : Times.ReadAfter;
  if (behind >= readAfter && now - ReadAt >= Times.Again) {
    ReadAt = now;
    return CatchUpStep::ReadStore;
  }
  if (behind >= Times.AskAfter && now - AskedAt >= Times.Again) {
    AskedAt = now;
    return CatchUpStep::AskPeer;
  }
  return CatchUpStep::None;
}

} // namespace orioletally::core::fleet

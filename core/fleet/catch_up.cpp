#include "core/fleet/catch_up.h"

#include <algorithm>

namespace orioletally::core::fleet {

CatchUpStep CatchUp::stepFor(uint64_t ownVersion, uint64_t peerVersion,
                             bool isWatching, absl::Time now) {
  NewestVersion = std::max(NewestVersion, peerVersion);
  if (ownVersion >= NewestVersion) {
    BehindSince = absl::InfiniteFuture();
    return CatchUpStep::None;
  }
  if (peerVersion <= ownVersion)
    return CatchUpStep::None;
  BehindSince = std::min(BehindSince, now);
  const absl::Duration behindFor = now - BehindSince;
  const absl::Duration readDelay =
      isWatching ? Delays.ReadDelayWhileWatching : Delays.ReadDelay;
  if (behindFor >= readDelay && now - ReadAt >= Delays.RepeatInterval) {
    ReadAt = now;
    return CatchUpStep::ReadStore;
  }
  if (behindFor >= Delays.AskPeerDelay &&
      now - AskedAt >= Delays.RepeatInterval) {
    AskedAt = now;
    return CatchUpStep::AskPeer;
  }
  return CatchUpStep::None;
}

} // namespace orioletally::core::fleet

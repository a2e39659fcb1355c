#ifndef ORIOLETALLY_CORE_FLEET_CATCH_UP_H
#define ORIOLETALLY_CORE_FLEET_CATCH_UP_H

#include <absl/time/time.h>
#include <cstdint>

namespace orioletally::core::fleet {

/// What a node does to obtain a version that other nodes of its cell have.
enum class CatchUpStep { None, ReadStore, AskPeer };

/// Delays of a CatchUp. The first three are counted from when the node first
/// learned of a newer version.
struct CatchUpDelays {
  /// Delay before a node that doesn't watch the store reads it. Changes that
  /// other nodes forward within this time need no read.
  absl::Duration ReadDelay;
  /// Delay before a node that watches the store reads it. The watch normally
  /// delivers the change sooner; after this time it has probably hung.
  absl::Duration ReadDelayWhileWatching = absl::Milliseconds(1500);
  /// Delay before the peer with the newer version is asked, because the store
  /// hasn't answered this node.
  absl::Duration AskPeerDelay = absl::InfiniteDuration();
  /// Minimum time between two steps of the same kind.
  absl::Duration RepeatInterval = absl::Milliseconds(700);
};

/// Decides when a node that is behind reads the store or asks another node.
///
/// All nodes of a cell learn of a change within milliseconds, each from several
/// peers. A node must not transfer the configuration, which can be hundreds of
/// kilobytes long, for each of these messages.
class CatchUp {
public:
  explicit CatchUp(const CatchUpDelays &delays) : Delays(delays) {}

  /// Returns what to do now that a peer reports version \p peerVersion while
  /// this node has \p ownVersion.
  CatchUpStep stepFor(uint64_t ownVersion, uint64_t peerVersion,
                      bool isWatching, absl::Time now);

private:
  CatchUpDelays Delays;
  absl::Time BehindSince = absl::InfiniteFuture();
  absl::Time ReadAt = absl::InfinitePast();
  absl::Time AskedAt = absl::InfinitePast();
  uint64_t NewestVersion = 0;
};

} // namespace orioletally::core::fleet

#endif

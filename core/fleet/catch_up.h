#ifndef ORIOLETALLY_CORE_FLEET_CATCH_UP_H
#define ORIOLETALLY_CORE_FLEET_CATCH_UP_H

#include <absl/time/time.h>
#include <cstdint>

namespace orioletally::core::fleet {

/// How a node gets what others of its cell have and it doesn't.
enum class CatchUpStep { None, ReadStore, AskPeer };

/// Times of a CatchUp.
struct CatchUpDelays {
  /// A node that doesn't follow the store reads it this long after it heard of
  /// something newer; changes that are passed on need no read.
  absl::Duration ReadDelay;
  /// A node that follows has the news on its way; later than this its waiting
  /// call must have gone silent.
  absl::Duration ReadDelayWhileWatching = absl::Milliseconds(1500);
  /// The store doesn't answer this node: the one that has the news is asked.
  absl::Duration AskPeerDelay = absl::InfiniteDuration();
  /// Time between two steps of one kind.
  absl::Duration RepeatInterval = absl::Milliseconds(700);
};

/// Decides when a node that is behind reads the store or asks another node.
///
/// Load answered: a change that all nodes of a cell hear of within
/// milliseconds from several others at once, where each mention must not cost
/// a copy of a configuration of hundreds of kilobytes.
class CatchUp {
public:
  explicit CatchUp(const CatchUpDelays &delays) : Delays(delays) {}

  /// Another node has version \p peerVersion while this one has \p ownVersion.
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

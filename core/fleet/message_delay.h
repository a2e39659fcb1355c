#ifndef ORIOLETALLY_CORE_FLEET_MESSAGE_DELAY_H
#define ORIOLETALLY_CORE_FLEET_MESSAGE_DELAY_H

#include <absl/time/time.h>

namespace orioletally::core::fleet {

/// Estimates how long messages of one process were on their way, from the
/// steady clocks of both sides, whose difference isn't known. The quickest
/// message lately counts as not delayed.
///
/// Answers the load of a node that was frozen or is too busy to read: what its
/// peers said seconds ago waits in its queues and must not pass for news.
class MessageDelay {
public:
  /// Messages older than one to two of these don't count as the quickest,
  /// because the clocks drift.
  static constexpr absl::Duration Window = absl::Minutes(1);

  /// Records a message that was sent at \p sentAt, by its sender's clock, and
  /// read at \p readAt; returns by how much longer than the quickest it took.
  absl::Duration record(absl::Time sentAt, absl::Time readAt);

private:
  /// Least differences between reading and sending in the window before and in
  /// this one.
  absl::Duration LeastBefore = absl::InfiniteDuration();
  absl::Duration Least = absl::InfiniteDuration();
  absl::Time WindowEnd = absl::InfinitePast();
};

} // namespace orioletally::core::fleet

#endif

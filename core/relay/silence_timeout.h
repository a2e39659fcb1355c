#ifndef ORIOLETALLY_CORE_RELAY_SILENCE_TIMEOUT_H
#define ORIOLETALLY_CORE_RELAY_SILENCE_TIMEOUT_H

#include "core/routes/routing_config.h"

#include <absl/time/time.h>

namespace orioletally::core::relay {

/// Returns how long an attempt at a call of \p route may receive no first event
/// before it is doubted and another may begin beside it. Infinite if the call
/// may not be repeated. \p predicted is the predicted time to the first event,
/// zero for plain services.
///
/// Distinguishes dead connections and stopped engines from engines that are
/// merely slower than predicted.
absl::Duration firstByteTimeout(const routes::Route &route,
                                absl::Duration predicted);

/// Whether a connection that was silent for \p silent counts as lost. The
/// timeout of its call is \p timeout; \p sinceLastByte is the time since any
/// call received a byte from the backend server. If it still responds to other
/// calls, the connection has to be silent for longer.
bool isConnectionLost(absl::Duration silent, absl::Duration timeout,
                      absl::Duration sinceLastByte);

/// Returns how long a stream of \p route may pause between two events before
/// the attempt is doubted. Infinite if the call may not be repeated.
absl::Duration eventGapTimeout(const routes::Route &route);

} // namespace orioletally::core::relay

#endif

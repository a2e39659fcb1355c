#ifndef ORIOLETALLY_CORE_RELAY_SILENCE_TIMEOUT_H
#define ORIOLETALLY_CORE_RELAY_SILENCE_TIMEOUT_H

#include "core/routes/routing_config.h"

#include <absl/time/time.h>

namespace orioletally::core::relay {

/// How long nothing may come before an attempt at a call of \p route counts
/// as stalled and the call is moved, if it may be. \p predicted is the
/// predicted time to the first event, zero for plain services.
///
/// Load answered: connections that went silent for good and engines that
/// stopped, against engines that are merely behind their prediction.
absl::Duration firstByteTimeout(const routes::Route &route,
                                absl::Duration predicted);

/// Whether silence of \p silent says that the backend server, or the way to it,
/// is lost, where \p timeout is the bound above and the backend server was last
/// heard from by any call \p sinceLastByte ago. One that answers others is only
/// slow; then the silence must last longer to blame the connection.
bool isConnectionLost(absl::Duration silent, absl::Duration timeout,
                      absl::Duration sinceLastByte);

/// The same for the time between two events of a stream.
absl::Duration eventGapTimeout(const routes::Route &route);

} // namespace orioletally::core::relay

#endif

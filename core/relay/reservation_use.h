#ifndef ORIOLETALLY_CORE_RELAY_RESERVATION_USE_H
#define ORIOLETALLY_CORE_RELAY_RESERVATION_USE_H

#include <absl/time/time.h>
#include <string_view>

namespace orioletally::core::relay {

/// Whether a prompt uses reserved memory, as the engine reports it.
enum class ReservationUse { Unknown, Unused, Used };

/// Returns the name of \p use in logs.
std::string_view reservationUseName(ReservationUse use);

/// Whether to ask the engine about the use of memory that has been reserved
/// for \p held. \p known is its last answer.
bool shouldAskForUse(absl::Duration held, ReservationUse known);

} // namespace orioletally::core::relay

#endif

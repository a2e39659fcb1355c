#include "core/relay/reservation_use.h"

#include <array>

namespace orioletally::core::relay {

namespace {

constexpr std::array<std::string_view, 3> UseNames = {"unknown", "unused",
                                                      "used"};

/// Memory may lie unused for 9 s. Of those, 2.5 s are for the interval between
/// two renewals, the question and the release.
constexpr absl::Duration MaxUnasked = absl::Milliseconds(6500);

} // namespace

std::string_view reservationUseName(ReservationUse use) {
  return UseNames[static_cast<size_t>(use)];
}

bool shouldAskForUse(absl::Duration held, ReservationUse known) {
  return held >= MaxUnasked && known != ReservationUse::Used;
}

} // namespace orioletally::core::relay

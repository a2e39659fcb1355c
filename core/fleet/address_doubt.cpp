#include "core/fleet/address_doubt.h"

#include <algorithm>

namespace orioletally::core::fleet {

namespace {

/// Time between two trial calls. The list drops the entry of a backend server
/// that has ended within a few heartbeats, so few are needed.
constexpr absl::Duration TrialInterval = absl::Seconds(10);
/// Time after which a trial call without a result allows the next one.
constexpr absl::Duration AddressTrialTimeout = absl::Seconds(1);

} // namespace

bool AddressDoubt::begin(absl::Time now) {
  const bool isNew = !isActive();
  TrialAt = now + TrialInterval;
  return isNew;
}

void AddressDoubt::recordSend(absl::Time now) {
  if (isActive())
    TrialAt = std::max(TrialAt, now + AddressTrialTimeout);
}

} // namespace orioletally::core::fleet

#ifndef ORIOLETALLY_DRIVERS_GATEWAY_PROFILE_VIEW_H
#define ORIOLETALLY_DRIVERS_GATEWAY_PROFILE_VIEW_H

#include "core/profiles/profile_set.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace orioletally::drivers::gateway {

/// The profiles that this node has in force, shared by all threads. Readers
/// get a copy that stays whole; writers only move it forward.
class ProfileView {
public:
  using Snapshot = std::shared_ptr<const core::profiles::ProfileSet>;

  ProfileView();

  Snapshot current() const;

  /// Whether the node may serve from what it has: it was read from the table,
  /// or is the highest that its peers had while the table was down.
  bool isLoaded() const;
  void setLoaded();

  /// Takes profiles and states that nothing up to \p completeTo is missing.
  /// Returns whether anything came into force.
  bool merge(const std::vector<core::profiles::Profile> &profiles,
             std::optional<uint64_t> completeTo);

private:
  mutable std::mutex Guard;
  Snapshot Set;
  bool Loaded = false;
};

} // namespace orioletally::drivers::gateway

#endif

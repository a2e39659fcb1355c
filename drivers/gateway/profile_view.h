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

/// The profiles in force on this node, shared by all threads. Readers get an
/// immutable snapshot; writers replace it only with a newer one.
class ProfileView {
public:
  using Snapshot = std::shared_ptr<const core::profiles::ProfileSet>;

  ProfileView();

  Snapshot current() const;

  /// Whether the node may serve with these profiles: they were read from the
  /// table, or, while the table was unavailable, have the highest revision that
  /// any live peer announced.
  bool isLoaded() const;
  void setLoaded();

  /// Adds profiles. \p completeTo, if set, is the revision up to which none is
  /// missing. Returns whether the snapshot changed.
  bool merge(const std::vector<core::profiles::Profile> &profiles,
             std::optional<uint64_t> completeTo);

private:
  mutable std::mutex Guard;
  Snapshot Set;
  bool Loaded = false;
};

} // namespace orioletally::drivers::gateway

#endif

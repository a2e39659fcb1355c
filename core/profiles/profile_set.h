#ifndef ORIOLETALLY_CORE_PROFILES_PROFILE_SET_H
#define ORIOLETALLY_CORE_PROFILES_PROFILE_SET_H

#include "core/profiles/profile.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::profiles {

/// The profiles that are in effect on one node. Revisions only increase: a
/// profile that isn't newer than the stored one is ignored, so a stale copy
/// can't bring back a retired profile.
class ProfileSet {
public:
  /// The highest revision up to which every change has been applied.
  uint64_t revision() const { return Revision; }

  /// Stores a profile if it is newer than the stored one of the same name.
  /// Returns whether it was stored.
  bool apply(const Profile &profile);

  /// Records that every change up to \p revision has been applied.
  void advanceTo(uint64_t revision);

  /// Returns the profile \p name, or null if it is unknown or retired.
  const Profile *find(std::string_view name) const;

  /// Returns the service profile \p name or, if there is none, a profile that
  /// routes to the service \p name. An unrepeatable one takes precedence, so
  /// that a caller who names no profile doesn't cause calls to be repeated.
  const Profile *findService(std::string_view name) const;

  /// Returns the profile \p name, also if it is retired.
  const Profile *findAny(std::string_view name) const;

  /// Returns all profiles, including retired ones, ordered by name.
  std::vector<const Profile *> all() const;

  /// Returns a hash of all profiles; nodes with equal profiles return equal
  /// hashes.
  uint64_t hash() const;

private:
  uint64_t Revision = 0;
  std::map<std::string, Profile, std::less<>> Profiles;
};

} // namespace orioletally::core::profiles

#endif

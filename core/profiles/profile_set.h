#ifndef ORIOLETALLY_CORE_PROFILES_PROFILE_SET_H
#define ORIOLETALLY_CORE_PROFILES_PROFILE_SET_H

#include "core/profiles/profile.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::profiles {

/// The profiles that one node has in force. It only moves forward: a profile
/// older than the one held, or a retired one raised again under an old
/// revision, changes nothing.
class ProfileSet {
public:
  /// The highest revision up to which nothing is missing.
  uint64_t revision() const { return Revision; }

  /// Takes a profile if it is newer than the one held under its name.
  bool apply(const Profile &profile);

  /// States that everything up to \p revision has been applied.
  void advanceTo(uint64_t revision);

  /// Returns the profile in force, or null when it is unknown or retired.
  const Profile *find(std::string_view name) const;

  /// Returns the service profile called \p name or, if there is none, one that
  /// routes to the service of that name: an unrepeatable one before the rest,
  /// so that nobody repeats a call by leaving the profile out.
  const Profile *findService(std::string_view name) const;

  /// Returns the profile even when it is retired.
  const Profile *findAny(std::string_view name) const;

  /// Every profile, the retired ones too, in the order of their names.
  std::vector<const Profile *> all() const;

  /// A hash of all that is in force, equal on nodes that agree.
  uint64_t hash() const;

private:
  uint64_t Revision = 0;
  std::map<std::string, Profile, std::less<>> Profiles;
};

} // namespace orioletally::core::profiles

#endif

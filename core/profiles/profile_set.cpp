#include "core/profiles/profile_set.h"

#include <algorithm>
#include <xxhash.h>

namespace orioletally::core::profiles {

bool ProfileSet::apply(const Profile &profile) {
  const auto it = Profiles.find(profile.Name);
  if (it != Profiles.end() && it->second.Revision >= profile.Revision)
    return false;
  Profiles.insert_or_assign(profile.Name, profile);
  return true;
}

void ProfileSet::advanceTo(uint64_t revision) {
  Revision = std::max(Revision, revision);
}

const Profile *ProfileSet::find(std::string_view name) const {
  const Profile *profile = findAny(name);
  return profile == nullptr || profile->Retired ? nullptr : profile;
}

const Profile *ProfileSet::findService(std::string_view name) const {
  const Profile *named = find(name);
  if (named != nullptr && named->kind() == ProfileKind::Service)
    return named;
  const Profile *best = nullptr;
  for (const auto &[key, it] : Profiles) {
    if (it.Retired || it.kind() != ProfileKind::Service || it.service() != name)
      continue;
    if (best == nullptr || (best->repeatable() && !it.repeatable()))
      best = &it;
  }
  return best != nullptr ? best : named;
}

const Profile *ProfileSet::findAny(std::string_view name) const {
  const auto it = Profiles.find(name);
  return it == Profiles.end() ? nullptr : &it->second;
}

std::vector<const Profile *> ProfileSet::all() const {
  std::vector<const Profile *> result;
  for (const auto &[name, profile] : Profiles)
    result.push_back(&profile);
  return result;
}

uint64_t ProfileSet::hash() const {
  uint64_t result = 0;
  for (const auto &[name, profile] : Profiles) {
    const std::string text = profile.toJson().dump();
    result = XXH3_64bits_withSeed(text.data(), text.size(), result);
  }
  return result;
}

} // namespace orioletally::core::profiles

#include "drivers/gateway/profile_view.h"

#include <utility>

namespace orioletally::drivers::gateway {

using core::profiles::Profile;
using core::profiles::ProfileSet;

ProfileView::ProfileView() : Set(std::make_shared<const ProfileSet>()) {}

ProfileView::Snapshot ProfileView::current() const {
  const std::lock_guard lock(Guard);
  return Set;
}

bool ProfileView::isLoaded() const {
  const std::lock_guard lock(Guard);
  return Loaded;
}

void ProfileView::setLoaded() {
  const std::lock_guard lock(Guard);
  Loaded = true;
}

bool ProfileView::merge(const std::vector<Profile> &profiles,
                        std::optional<uint64_t> completeTo) {
  const std::lock_guard lock(Guard);
  auto next = std::make_shared<ProfileSet>(*Set);
  bool isChanged = false;
  for (const Profile &it : profiles)
    isChanged = next->apply(it) || isChanged;
  if (completeTo.has_value()) {
    isChanged = isChanged || *completeTo > next->revision();
    next->advanceTo(*completeTo);
  }
  if (isChanged)
    Set = std::move(next);
  return isChanged;
}

} // namespace orioletally::drivers::gateway

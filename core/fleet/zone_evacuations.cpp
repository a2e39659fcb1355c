#include "core/fleet/zone_evacuations.h"

#include <algorithm>
#include <utility>

namespace orioletally::core::fleet {

uint64_t ZoneEvacuations::knownVersion() const {
  return std::max(NewestChange, SnapshotVersion);
}

std::vector<EvacuationChange>
ZoneEvacuations::apply(std::vector<EvacuationChange> changes) {
  std::stable_sort(changes.begin(), changes.end(),
                   [](const auto &left, const auto &right) {
                     return left.RowVersion < right.RowVersion;
                   });
  // One transaction may write several rows with the same version.
  const uint64_t known = knownVersion();
  std::vector<EvacuationChange> effective;
  for (EvacuationChange &it : changes) {
    if (it.RowVersion <= known)
      continue;
    NewestChange = it.RowVersion;
    const bool isEffective =
        it.Removed ? InForce.erase(it.Zone) > 0
                   : InForce.insert_or_assign(it.Zone, it.RowVersion).second;
    if (isEffective)
      effective.push_back(std::move(it));
  }
  return effective;
}

std::vector<EvacuationChange>
ZoneEvacuations::applySnapshot(std::vector<EvacuationChange> rows,
                               uint64_t version) {
  if (version < knownVersion())
    return {};
  SnapshotVersion = version;
  // Later pages of a snapshot may have newer rows. Changes are read from the
  // snapshot's version on, so these come again.
  for (EvacuationChange &it : rows)
    it.RowVersion = std::min(it.RowVersion, version);
  const std::map<std::string, uint64_t, std::less<>> before = InForce;
  std::vector<EvacuationChange> effective = replace(std::move(rows), version);
  // The rows don't tell when others were removed, so only the snapshot's
  // version stands for this state.
  if (InForce != before)
    NewestChange = version;
  return effective;
}

std::vector<EvacuationChange>
ZoneEvacuations::applyStatement(const std::vector<EvacuationChange> &statement,
                                uint64_t version) {
  if (statement.empty() || version <= NewestChange)
    return {};
  std::vector<EvacuationChange> rows;
  for (const EvacuationChange &it : statement)
    if (!it.Removed)
      rows.push_back(it);
  if (version > SnapshotVersion) {
    NewestChange = version;
    return replace(std::move(rows), version);
  }
  // This node's snapshot is newer. If it differs, the sender must hear of it,
  // because it may lack the store.
  const bool isLifted =
      std::any_of(rows.begin(), rows.end(),
                  [this](const auto &it) { return !contains(it.Zone); });
  if (isLifted)
    NewestChange = SnapshotVersion;
  return {};
}

std::vector<EvacuationChange> ZoneEvacuations::statement() const {
  std::vector<EvacuationChange> result;
  for (const auto &[zone, version] : InForce)
    result.push_back({zone, version, false});
  if (result.empty() && NewestChange > 0)
    result.push_back({"", NewestChange, true});
  return result;
}

std::vector<EvacuationChange>
ZoneEvacuations::replace(std::vector<EvacuationChange> rows, uint64_t version) {
  std::vector<EvacuationChange> effective;
  for (const auto &[zone, rowVersion] : InForce) {
    const bool isListed =
        std::any_of(rows.begin(), rows.end(),
                    [&name = zone](const auto &it) { return it.Zone == name; });
    if (!isListed)
      effective.push_back({zone, version, true});
  }
  for (const EvacuationChange &it : effective)
    InForce.erase(it.Zone);
  for (EvacuationChange &it : rows)
    if (InForce.insert_or_assign(it.Zone, it.RowVersion).second)
      effective.push_back(std::move(it));
  return effective;
}

} // namespace orioletally::core::fleet

#ifndef ORIOLETALLY_CORE_FLEET_ZONE_EVACUATIONS_H
#define ORIOLETALLY_CORE_FLEET_ZONE_EVACUATIONS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::fleet {

/// An operator's row that evacuates an availability zone, or its removal.
struct EvacuationChange {
  std::string Zone;
  /// Version of the row or of its removal. Includes the store's era, so that
  /// versions stay in order after the store is restored from a copy.
  uint64_t RowVersion = 0;
  bool Removed = false;
};

/// The evacuations of availability zones in force, as this node knows them.
///
/// The state is always the store's complete state as of some version. Changes
/// and states of earlier versions are ignored, from whichever source they
/// arrive, so a late message can't bring an evacuation back. The store numbers
/// the changes of all tables in one sequence, which makes the versions of
/// different rows comparable.
class ZoneEvacuations {
public:
  /// Applies changes read from the store, in any order: all those after the
  /// changes that were read before. Returns those that put an evacuation into
  /// force or lifted one, in order.
  std::vector<EvacuationChange> apply(std::vector<EvacuationChange> changes);

  /// Replaces the state by a snapshot of the rows, which includes every change
  /// up to \p version. Ignores one that is older than the known state. Returns
  /// the changes as apply() does; those lifted have \p version.
  std::vector<EvacuationChange>
  applySnapshot(std::vector<EvacuationChange> rows, uint64_t version);

  /// Replaces the state by that of another node, whose statement() and
  /// newestChange() these are. Ignores an older one. Returns the changes as
  /// apply() does.
  std::vector<EvacuationChange>
  applyStatement(const std::vector<EvacuationChange> &statement,
                 uint64_t version);

  /// Returns the complete state at newestChange(), for other nodes: the
  /// evacuations in force or, if there are none, a removal without a zone.
  /// Empty before the first change.
  std::vector<EvacuationChange> statement() const;

  /// Whether an evacuation of \p zone is in force.
  bool contains(std::string_view zone) const {
    return InForce.find(zone) != InForce.end();
  }

  /// The number of evacuations in force.
  size_t size() const { return InForce.size(); }

  /// Version of the newest change that this node knows of, or of the snapshot
  /// that showed it; 0 before the first one.
  uint64_t newestChange() const { return NewestChange; }

  /// Version up to which all changes are known. Higher than newestChange() if a
  /// snapshot has shown that there were no later ones.
  uint64_t knownVersion() const;

private:
  /// Replaces the evacuations in force by \p rows; returns the changes, of
  /// which those lifted have \p version.
  std::vector<EvacuationChange> replace(std::vector<EvacuationChange> rows,
                                        uint64_t version);

  /// Versions of the rows, by zone.
  std::map<std::string, uint64_t, std::less<>> InForce;
  uint64_t NewestChange = 0;
  uint64_t SnapshotVersion = 0;
};

} // namespace orioletally::core::fleet

#endif

#ifndef ORIOLETALLY_CORE_FLEET_BACKEND_LIST_VERSIONS_H
#define ORIOLETALLY_CORE_FLEET_BACKEND_LIST_VERSIONS_H

#include <cstdint>

namespace orioletally::core::fleet {

/// Tracks which versions of the platform's list of backend servers have been
/// applied, as changes arrive both from the store and from other nodes. The
/// store assigns the versions and numbers the changes of all its tables in one
/// sequence.
///
/// Several nodes may forward the same changes in batches with different
/// boundaries, while snapshots are still in transit.
class BackendListVersions {
public:
  /// Records a snapshot that includes every change up to \p version and whose
  /// newest row has \p newestRow. Returns false, and records nothing, when it
  /// is older than what was applied: it would restore entries removed since.
  bool acceptSnapshot(uint64_t version, uint64_t newestRow);

  /// Records changes up to \p newest from the store itself. Returns the version
  /// that they follow: a node that has applied all up to it misses none.
  uint64_t advanceStore(uint64_t newest);

  /// Whether changes that follow \p since can be applied without a gap.
  bool canApplyAfter(uint64_t since) const { return since <= Applied; }

  /// Whether the change with \p version hasn't been applied yet.
  bool isNew(uint64_t version) const { return version > Applied; }

  /// Records that all changes up to \p version have been applied.
  void recordApplied(uint64_t version);

  /// Version up to which all changes have been applied.
  uint64_t appliedVersion() const { return Applied; }

  /// Version of the newest applied change of this list. It can be lower than
  /// appliedVersion(), which also counts changes of other tables.
  uint64_t newestChange() const { return NewestChange; }

private:
  uint64_t Applied = 0;
  uint64_t NewestChange = 0;
  /// Version of the newest change that came from the store itself, not from
  /// another node.
  uint64_t StoreVersion = 0;
};

} // namespace orioletally::core::fleet

#endif

#ifndef ORIOLETALLY_CORE_FLEET_BACKEND_LIST_VERSIONS_H
#define ORIOLETALLY_CORE_FLEET_BACKEND_LIST_VERSIONS_H

#include <cstdint>

namespace orioletally::core::fleet {

/// How much of the platform's list of backend servers is known, when changes
/// come from the store and from other nodes at once. Versions are the store's,
/// which counts changes of all its tables in one row.
///
/// Load answered: several nodes that pass the same changes on, in batches cut
/// in different places, while whole reads are on their way.
class BackendListVersions {
public:
  /// A whole read with every change up to \p version came, of which the newest
  /// row has \p newestRow. Returns whether to take it: an older one than what
  /// is known would bring back what has gone.
  bool acceptSnapshot(uint64_t version, uint64_t newestRow);

  /// The store told of changes up to \p newest. Returns the version that they
  /// follow: whoever knows all up to it misses none.
  uint64_t advanceStore(uint64_t newest);

  /// Whether changes that follow \p since can be taken without a gap.
  bool canApplyAfter(uint64_t since) const { return since <= Applied; }

  /// Whether the change with \p version isn't known yet.
  bool isNew(uint64_t version) const { return version > Applied; }

  /// All changes up to \p version are known now.
  void recordApplied(uint64_t version);

  /// Version up to which all changes are known.
  uint64_t appliedVersion() const { return Applied; }

  /// Version of the newest change.
  uint64_t newestChange() const { return NewestChange; }

private:
  uint64_t Applied = 0;
  uint64_t NewestChange = 0;
  /// Version of the newest change that the store itself told of.
  uint64_t StoreVersion = 0;
};

} // namespace orioletally::core::fleet

#endif

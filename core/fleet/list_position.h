#ifndef ORIOLETALLY_CORE_FLEET_LIST_POSITION_H
#define ORIOLETALLY_CORE_FLEET_LIST_POSITION_H

#include <cstdint>

namespace orioletally::core::fleet {

/// How much of the platform's list of backend servers is known, when changes
/// come from the store and from other nodes at once. Versions are the store's,
/// which counts changes of all its tables in one row.
///
/// Load answered: several nodes that pass the same changes on, in batches cut
/// in different places, while whole reads are on their way.
class ListPosition {
public:
  /// A whole read with every change up to \p version came, of which the newest
  /// row has \p newestRow. Returns whether to take it: an older one than what
  /// is known would bring back what has gone.
  bool readWhole(uint64_t version, uint64_t newestRow);

  /// The store told of changes up to \p newest. Returns the version that they
  /// follow: whoever knows all up to it misses none.
  uint64_t fed(uint64_t newest);

  /// Whether changes that follow \p since can be taken without a gap.
  bool canTake(uint64_t since) const { return since <= Known; }

  /// Whether the change with \p version isn't known yet.
  bool isNew(uint64_t version) const { return version > Known; }

  /// All changes up to \p version are known now.
  void took(uint64_t version);

  /// Version up to which all changes are known.
  uint64_t knownTo() const { return Known; }

  /// Version of the newest change.
  uint64_t changedAt() const { return Changed; }

private:
  uint64_t Known = 0;
  uint64_t Changed = 0;
  /// Version of the newest change that the store itself told of.
  uint64_t FedAt = 0;
};

} // namespace orioletally::core::fleet

#endif

#ifndef ORIOLETALLY_CORE_ROUTING_PREFIX_INDEX_H
#define ORIOLETALLY_CORE_ROUTING_PREFIX_INDEX_H

#include "core/routing/backend_selector.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::routing {

/// Maps prompt prefixes to the backend server that prefilled them last. The
/// index is approximate, since engines evict cache entries without notice; a
/// wrong entry costs time and nothing else.
class PrefixIndex {
public:
  /// \p capacity is the highest number of entries; the oldest are evicted.
  explicit PrefixIndex(size_t capacity);

  /// Records that \p backend prefills the prefixes \p hashes.
  void insert(std::string_view backend, const std::vector<PrefixHash> &hashes);

  /// Returns the length in tokens of the longest prefix of \p hashes that is
  /// recorded for \p backend, or 0 if none is. \p hashes begins with the
  /// shortest.
  int64_t estimatedCachedTokens(std::string_view backend,
                                const std::vector<PrefixHash> &hashes) const;

private:
  size_t Capacity;
  absl::flat_hash_map<uint64_t, std::string> BackendByKey;
  std::deque<uint64_t> InsertionOrder;
};

} // namespace orioletally::core::routing

#endif

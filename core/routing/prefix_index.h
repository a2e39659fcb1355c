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

/// Remembers which backend server last prefilled which prompt beginning. It is
/// a belief, not a fact: engines evict without telling, and a wrong belief
/// costs time and nothing else.
class PrefixIndex {
public:
  /// \p capacity bounds the marks remembered; the oldest go first.
  explicit PrefixIndex(size_t capacity);

  void insert(std::string_view backend, const std::vector<PrefixHash> &hashes);

  /// Tokens of the longest remembered beginning on \p backend.
  int64_t estimatedCachedTokens(std::string_view backend,
                                const std::vector<PrefixHash> &hashes) const;

private:
  size_t Capacity;
  absl::flat_hash_map<uint64_t, std::string> BackendByKey;
  std::deque<uint64_t> InsertionOrder;
};

} // namespace orioletally::core::routing

#endif

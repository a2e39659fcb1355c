#ifndef ORIOLETALLY_CORE_ROUTING_PREFIX_MEMORY_H
#define ORIOLETALLY_CORE_ROUTING_PREFIX_MEMORY_H

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
class PrefixMemory {
public:
  /// \p capacity bounds the marks remembered; the oldest go first.
  explicit PrefixMemory(size_t capacity);

  void remember(std::string_view backend, const std::vector<PrefixMark> &marks);

  /// Tokens of the longest remembered beginning on \p backend.
  int64_t believedTokens(std::string_view backend,
                         const std::vector<PrefixMark> &marks) const;

private:
  size_t Capacity;
  absl::flat_hash_map<uint64_t, std::string> BackendByKey;
  std::deque<uint64_t> Order;
};

} // namespace orioletally::core::routing

#endif

#include "core/routing/prefix_index.h"

namespace orioletally::core::routing {

PrefixIndex::PrefixIndex(size_t capacity) : Capacity(capacity) {}

void PrefixIndex::insert(std::string_view backend,
                         const std::vector<PrefixHash> &hashes) {
  for (const PrefixHash &it : hashes) {
    const bool isNew =
        BackendByKey.insert_or_assign(it.Key, std::string(backend)).second;
    if (isNew)
      InsertionOrder.push_back(it.Key);
  }
  while (InsertionOrder.size() > Capacity) {
    BackendByKey.erase(InsertionOrder.front());
    InsertionOrder.pop_front();
  }
}

int64_t PrefixIndex::estimatedCachedTokens(
    std::string_view backend, const std::vector<PrefixHash> &hashes) const {
  int64_t tokens = 0;
  for (const PrefixHash &it : hashes) {
    const auto found = BackendByKey.find(it.Key);
    if (found != BackendByKey.end() && found->second == backend)
      tokens = it.Tokens;
  }
  return tokens;
}

} // namespace orioletally::core::routing

#include "core/routing/prefix_memory.h"

namespace orioletally::core::routing {

PrefixMemory::PrefixMemory(size_t capacity) : Capacity(capacity) {}

void PrefixMemory::remember(std::string_view backend,
                            const std::vector<PrefixMark> &marks) {
  for (const PrefixMark &it : marks) {
    const bool isNew =
        BackendByKey.insert_or_assign(it.Key, std::string(backend)).second;
    if (isNew)
      Order.push_back(it.Key);
  }
  while (Order.size() > Capacity) {
    BackendByKey.erase(Order.front());
    Order.pop_front();
  }
}

int64_t
PrefixMemory::believedTokens(std::string_view backend,
                             const std::vector<PrefixMark> &marks) const {
  int64_t tokens = 0;
  for (const PrefixMark &it : marks) {
    const auto found = BackendByKey.find(it.Key);
    if (found != BackendByKey.end() && found->second == backend)
      tokens = it.Tokens;
  }
  return tokens;
}

} // namespace orioletally::core::routing

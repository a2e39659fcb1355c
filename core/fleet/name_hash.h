#ifndef ORIOLETALLY_CORE_FLEET_NAME_HASH_H
#define ORIOLETALLY_CORE_FLEET_NAME_HASH_H

#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace orioletally::core::fleet {

/// Returns a hash of the name of a node or backend server, the same on all
/// nodes.
inline uint64_t nameHash(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

} // namespace orioletally::core::fleet

#endif

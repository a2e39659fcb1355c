#ifndef ORIOLETALLY_CORE_FLEET_HOME_NODES_H
#define ORIOLETALLY_CORE_FLEET_HOME_NODES_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::fleet {

/// Number of nodes that collect what the whole fleet observes about one key;
/// more than one, because a node may be down.
constexpr size_t HomeNodeCount = 2;

/// Returns the addresses, of the nodes at \p addresses, that collect what all
/// cells observe about \p key. Nodes that know the same addresses choose the
/// same ones (rendezvous hashing).
std::vector<std::string> homeNodes(std::string_view key,
                                   const std::vector<std::string> &addresses);

} // namespace orioletally::core::fleet

#endif

#include "core/fleet/node_roster.h"

namespace orioletally::core::fleet {

using platform::NodeEntry;

void NodeRoster::update(const std::vector<NodeEntry> &nodes, absl::Time now) {
  std::map<std::string, Row, std::less<>> fresh;
  for (const NodeEntry &it : nodes) {
    if (it.Name == Self)
      continue;
    const auto known = Rows.find(it.Name);
    const bool isSame = known != Rows.end() &&
                        known->second.Entry.Incarnation == it.Incarnation;
    fresh[it.Name] = {it, isSame ? known->second.SeenAt : now};
  }
  Rows = std::move(fresh);
}

void NodeRoster::recordMessage(std::string_view name, absl::Time now) {
  const auto it = Rows.find(name);
  if (it != Rows.end())
    it->second.SeenAt = now;
}

std::vector<NodeEntry> NodeRoster::expired(absl::Time now) const {
  std::vector<NodeEntry> result;
  size_t present = 0;
  bool isFirst = true;
  for (const auto &[name, row] : Rows) {
    if (now - row.SeenAt >= ExpiryTime) {
      result.push_back(row.Entry);
      continue;
    }
    ++present;
    isFirst = isFirst && Self < name;
  }
  const bool isMajority = 2 * present >= Rows.size();
  if (!isFirst || !isMajority)
    return {};
  return result;
}

} // namespace orioletally::core::fleet

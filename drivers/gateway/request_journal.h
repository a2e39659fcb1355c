#ifndef ORIOLETALLY_DRIVERS_GATEWAY_REQUEST_JOURNAL_H
#define ORIOLETALLY_DRIVERS_GATEWAY_REQUEST_JOURNAL_H

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace orioletally::drivers::gateway {

/// Remembers what was decided about the last requests of this node. It holds
/// no prompt and no answer.
class RequestJournal {
public:
  /// \p capacity bounds the requests remembered; the oldest go first.
  explicit RequestJournal(size_t capacity);

  void record(const std::string &requestId, const nlohmann::json &explanation);

  std::optional<nlohmann::json> find(const std::string &requestId) const;

private:
  mutable std::mutex Guard;
  size_t Capacity;
  std::deque<std::string> Order;
  absl::flat_hash_map<std::string, std::string> Texts;
};

} // namespace orioletally::drivers::gateway

#endif

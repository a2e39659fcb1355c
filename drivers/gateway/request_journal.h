#ifndef ORIOLETALLY_DRIVERS_GATEWAY_REQUEST_JOURNAL_H
#define ORIOLETALLY_DRIVERS_GATEWAY_REQUEST_JOURNAL_H

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace orioletally::drivers::gateway {

/// Keeps the explanations of this node's last requests in memory: what was
/// decided about each and why, without prompts and answers.
class RequestJournal {
public:
  /// Keeps at most \p capacity explanations; the oldest are removed first.
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

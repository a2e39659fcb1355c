#include "drivers/gateway/request_journal.h"

namespace orioletally::drivers::gateway {

RequestJournal::RequestJournal(size_t capacity) : Capacity(capacity) {}

void RequestJournal::record(const std::string &requestId,
                            const nlohmann::json &explanation) {
  const std::lock_guard lock(Guard);
  // Stored as text, which takes far less memory than parsed JSON.
  if (Texts.insert_or_assign(requestId, explanation.dump()).second)
    Order.push_back(requestId);
  while (Order.size() > Capacity) {
    Texts.erase(Order.front());
    Order.pop_front();
  }
}

std::optional<nlohmann::json>
RequestJournal::find(const std::string &requestId) const {
  const std::lock_guard lock(Guard);
  const auto it = Texts.find(requestId);
  if (it == Texts.end())
    return std::nullopt;
  return nlohmann::json::parse(it->second);
}

} // namespace orioletally::drivers::gateway

#include "drivers/relay/cold_log.h"

#include "drivers/log/log.h"

#include <utility>

namespace orioletally::drivers::relay {

void ColdLog::update(
    const std::vector<std::shared_ptr<core::fleet::BackendServer>> &cold,
    absl::Time now) {
  int changes = 0;
  std::set<std::string> present;
  for (const auto &it : cold) {
    present.insert(it->Entry.Id);
    if (Known.contains(it->Entry.Id) || ++changes > MaxLines)
      continue;
    log::write(log::Level::Info, "backend_cold",
               {{"backend", it->Entry.Id},
                {"service", it->Entry.Service},
                {"remaining_ms",
                 absl::ToInt64Milliseconds(it->Cold.coldUntil() - now)}});
  }
  for (const std::string &id : Known)
    if (!present.contains(id) && ++changes <= MaxLines)
      log::write(log::Level::Info, "backend_warm", {{"backend", id}});
  if (changes > MaxLines)
    log::write(log::Level::Info, "backends_cold",
               {{"cold", present.size()}, {"omitted", changes - MaxLines}});
  Known = std::move(present);
}

} // namespace orioletally::drivers::relay

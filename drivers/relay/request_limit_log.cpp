#include "drivers/relay/request_limit_log.h"

#include "drivers/log/log.h"

namespace orioletally::drivers::relay {

void logRequestLimit(const core::fleet::BackendServer &server,
                     std::string_view source, absl::Time now) {
  const core::fleet::LimitStatement &statement = server.Limit.statement();
  nlohmann::json line = {
      {"backend", server.Entry.Id},
      {"source", source},
      {"age_ms", absl::ToInt64Milliseconds(now - statement.StatedAt)}};
  if (statement.PerSecond.has_value())
    line["per_second"] = *statement.PerSecond;
  log::write(log::Level::Info,
             server.Limit.isActive() ? "request_limit" : "request_limit_lifted",
             line);
}

} // namespace orioletally::drivers::relay

#include "core/relay/config_refusal.h"

#include <fmt/format.h>

namespace orioletally::core::relay {

namespace {

/// Another node may know the newest configuration, and callers that come back
/// reach another one.
constexpr int64_t RetryAfterMs = 200;

} // namespace

errors::RequestError refuseByConfig(const ConfigObjection &objection,
                                    const ConfigCurrency &currency,
                                    absl::Duration maxAge, absl::Time now) {
  const std::string rule = fmt::format("configuration {}", objection.Version);
  const bool isOutdated = now - currency.CurrentAt > maxAge ||
                          currency.NewestReported > objection.Version;
  if (!isOutdated)
    return errors::refusal(objection.Code, objection.Message, rule);
  return errors::RequestErrorBuilder(
             errors::ErrorCode::PlatformUnavailable,
             fmt::format("{}; this node's configuration may be outdated",
                         objection.Message))
      .rule(rule + ", outdated")
      .retryAfterMs(RetryAfterMs)
      .build();
}

} // namespace orioletally::core::relay

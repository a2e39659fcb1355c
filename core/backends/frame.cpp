#include "core/backends/frame.h"

#include <array>
#include <numeric>

namespace orioletally::core::backends {

namespace {
constexpr std::array<std::string_view, 4> KindNames = {"accepted", "token",
                                                       "heartbeat", "final"};
} // namespace

int64_t LoadReport::queuedPrefillTokens() const {
  return std::accumulate(QueuedPrefill.begin(), QueuedPrefill.end(),
                         int64_t{0});
}

std::string_view frameKindName(FrameKind kind) {
  return KindNames[static_cast<size_t>(kind)];
}

std::optional<FrameKind> frameKindFromName(std::string_view name) {
  for (size_t n = 0; n < KindNames.size(); ++n)
    if (KindNames[n] == name)
      return static_cast<FrameKind>(n);
  return std::nullopt;
}

} // namespace orioletally::core::backends

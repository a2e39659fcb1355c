#include "core/backends/engine_client.h"

#include <array>

namespace orioletally::core::backends {

namespace {
constexpr std::array<std::string_view, 3> CancelNames = {"never_started",
                                                         "stopped", "finished"};
} // namespace

std::string_view cancelStateName(CancelState state) {
  return CancelNames[static_cast<size_t>(state)];
}

std::optional<CancelState> cancelStateFromName(std::string_view name) {
  for (size_t n = 0; n < CancelNames.size(); ++n)
    if (CancelNames[n] == name)
      return static_cast<CancelState>(n);
  return std::nullopt;
}

} // namespace orioletally::core::backends

#include "core/routing/backend_selector.h"

#include <array>

namespace orioletally::core::routing {

namespace {
constexpr std::array<std::string_view, 4> RefusalNames = {
    "none_known", "too_large", "all_busy", "budget_spent"};
} // namespace

std::string_view routeRefusalName(RouteRefusal refusal) {
  return RefusalNames[static_cast<size_t>(refusal)];
}

} // namespace orioletally::core::routing

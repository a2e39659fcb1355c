#include "core/engines/engine_count.h"

namespace orioletally::core::engines {

namespace {

/// Engines that stay away for longer have been removed from the service.
constexpr absl::Duration LostEngineMemory = absl::Minutes(10);

} // namespace

size_t EngineCount::observe(size_t n, absl::Time now) {
  if (n >= Largest || now - SeenAt >= LostEngineMemory) {
    Largest = n;
    SeenAt = now;
  }
  return Largest;
}

} // namespace orioletally::core::engines

#ifndef ORIOLETALLY_CORE_ENGINES_ENGINE_COUNT_H
#define ORIOLETALLY_CORE_ENGINES_ENGINE_COUNT_H

#include <absl/time/time.h>
#include <cstddef>

namespace orioletally::core::engines {

/// The number of engines that a service has when none is lost: the largest
/// number seen in a while, since lost engines come back or are replaced.
class EngineCount {
public:
  /// Records that \p n engines are in use and returns the largest number that
  /// counts.
  size_t observe(size_t n, absl::Time now);

private:
  size_t Largest = 0;
  absl::Time SeenAt = absl::InfinitePast();
};

} // namespace orioletally::core::engines

#endif

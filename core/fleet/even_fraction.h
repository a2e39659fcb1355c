#ifndef ORIOLETALLY_CORE_FLEET_EVEN_FRACTION_H
#define ORIOLETALLY_CORE_FLEET_EVEN_FRACTION_H

#include <cmath>
#include <cstddef>

namespace orioletally::core::fleet {

/// Assumed number of nodes while it is unknown; more than any fleet has.
inline constexpr size_t UnknownNodes = 400;

/// Returns the fraction of the \p n-th multiple of the golden ratio. The
/// fractions of any number of nodes divide the interval from 0 to 1 evenly, and
/// those of neighbors are far apart.
inline double evenFraction(size_t n) {
  constexpr double GoldenFraction = 0.6180339887498949;
  const double turns = static_cast<double>(n + 1) * GoldenFraction;
  return turns - std::floor(turns);
}

} // namespace orioletally::core::fleet

#endif

#ifndef ORIOLETALLY_CHARTS_EMBEDDED_CHARTS_H
#define ORIOLETALLY_CHARTS_EMBEDDED_CHARTS_H

#include "core/charts/state_chart.h"

#include <boost/leaf.hpp>

namespace orioletally::charts {

/// Parses charts/request.toml, which the build embeds.
boost::leaf::result<core::charts::StateChart> requestChart();

/// Parses charts/call.toml, which the build embeds.
boost::leaf::result<core::charts::StateChart> callChart();

/// Parses charts/attempt.toml, which the build embeds.
boost::leaf::result<core::charts::StateChart> attemptChart();

} // namespace orioletally::charts

#endif

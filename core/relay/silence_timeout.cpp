#include "core/relay/silence_timeout.h"

#include <algorithm>

namespace orioletally::core::relay {

namespace {

/// Predictions were observed to be wrong by this factor while engines are busy.
constexpr double PredictionFactor = 3;
/// Duration of the longest engine pass that prefills a long prompt.
constexpr absl::Duration PredictionSlack = absl::Milliseconds(1200);
/// Callers wait for a first event for four times its objective; a retry in the
/// first half of that mostly repeats work. A dead network path is detected
/// sooner, by its connection.
constexpr double ObjectiveFactor = 2;
/// A plain call that is retried after this multiple of its objective is late in
/// any case.
constexpr double PlainObjectiveFactor = 1.5;
constexpr absl::Duration MinPlainTimeout = absl::Milliseconds(250);
/// How many times longer a connection may be silent while its backend server
/// responds to other calls.
constexpr double RespondingBackendFactor = 2;
/// Callers disconnect after a gap of eight times the gap objective.
constexpr double GapFactor = 6;
constexpr absl::Duration MinEventGapTimeout = absl::Milliseconds(1200);

} // namespace

absl::Duration firstByteTimeout(const routes::Route &route,
                                absl::Duration predicted) {
  if (!route.mayRepeat())
    return absl::InfiniteDuration();
  if (route.Kind == routes::RouteKind::Streaming)
    return std::max(PredictionFactor * predicted + PredictionSlack,
                    ObjectiveFactor * route.Objective);
  return std::max(MinPlainTimeout, PlainObjectiveFactor * route.Objective);
}

bool isConnectionLost(absl::Duration silent, absl::Duration timeout,
                      absl::Duration sinceLastByte) {
  return silent >= timeout && (sinceLastByte >= silent ||
                               silent >= RespondingBackendFactor * timeout);
}

absl::Duration eventGapTimeout(const routes::Route &route) {
  if (!route.mayRepeat())
    return absl::InfiniteDuration();
  return std::max(MinEventGapTimeout, GapFactor * route.GapObjective);
}

} // namespace orioletally::core::relay

#include "core/relay/silence_timeout.h"

#include <algorithm>

namespace orioletally::core::relay {

namespace {

/// Predictions were seen to be wrong by this factor while engines are busy.
constexpr double PredictionFactor = 3;
/// The longest pass of an engine that reads a long prompt.
constexpr absl::Duration PredictionSlack = absl::Milliseconds(1200);
/// Callers wait for a first event for four times its objective; a move in the
/// first half of that mostly repeats work. A dead path is found sooner, by its
/// connection.
constexpr double ObjectiveFactor = 2;
/// A plain answer that takes longer than this share of its objective is late
/// anyhow if it is moved after it.
constexpr double PlainObjectiveFactor = 1.5;
constexpr absl::Duration MinPlainTimeout = absl::Milliseconds(250);
/// How much longer a connection to a backend server that answers others may
/// be silent.
constexpr double RespondingBackendFactor = 2;
/// Callers leave after eight times the objective for pauses.
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

#include "core/relay/silence_bound.h"

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
constexpr double PlainShare = 1.5;
constexpr absl::Duration LeastPlainBound = absl::Milliseconds(250);
/// How much longer a connection to a backend server that answers others may
/// be silent.
constexpr double AnsweringFactor = 2;
/// Callers leave after eight times the objective for pauses.
constexpr double GapFactor = 6;
constexpr absl::Duration LeastGapBound = absl::Milliseconds(1200);

} // namespace

absl::Duration firstByteBound(const routes::Route &route,
                              absl::Duration predicted) {
  if (!route.mayRepeat())
    return absl::InfiniteDuration();
  if (route.Kind == routes::RouteKind::Streaming)
    return std::max(PredictionFactor * predicted + PredictionSlack,
                    ObjectiveFactor * route.Objective);
  return std::max(LeastPlainBound, PlainShare * route.Objective);
}

bool isLost(absl::Duration silent, absl::Duration bound,
            absl::Duration heardAgo) {
  return silent >= bound &&
         (heardAgo >= silent || silent >= AnsweringFactor * bound);
}

absl::Duration gapBound(const routes::Route &route) {
  if (!route.mayRepeat())
    return absl::InfiniteDuration();
  return std::max(LeastGapBound, GapFactor * route.GapObjective);
}

} // namespace orioletally::core::relay

#ifndef ORIOLETALLY_DRIVERS_RELAY_RELAY_CONTEXT_H
#define ORIOLETALLY_DRIVERS_RELAY_RELAY_CONTEXT_H

#include "core/charts/state_chart.h"
#include "core/relay/call_head.h"
#include "core/relay/dispatcher.h"
#include "core/relay/event_stream.h"
#include "drivers/loop/asio_use.h"
#include "drivers/metrics/relay_metrics.h"
#include "drivers/relay/backend_channel.h"
#include "drivers/relay/start_gate.h"

#include <cstdint>
#include <functional>

namespace orioletally::drivers::relay {

/// Time after SIGTERM in which callers' connections still come: the balancer
/// takes a node out after two questions a second apart.
constexpr absl::Duration BalancerDrainTime = absl::Milliseconds(2500);

/// Bounds on the memory that one attempt's answer may take.
struct AnswerBounds {
  /// Answers that are held whole before they are passed on.
  size_t MaxAnswerBytes = 8 << 20;
  /// An event of a stream that hasn't come to its end.
  size_t MaxEventBytes = core::relay::EventStream::UsualMaxEventBytes;
};

/// What all calls of a node share. Everything runs on one event loop.
struct RelayContext {
  asio::io_context &Loop;
  core::relay::Dispatcher &Calls;
  const core::relay::CallCodec &Codec;
  metrics::RelayMetrics &Metrics;
  const core::charts::StateChart &CallChart;
  /// Calls that come before the fleet is known wait here.
  StartGate &Start;
  ChannelPool Channels;
  /// SIGTERM came at this time.
  absl::Time DrainingSince = absl::InfiniteFuture();
  int64_t InProgress = 0;
  AnswerBounds Bounds;
  /// Tells the other nodes which backend servers are leaving.
  std::function<void()> AnnounceLeaving = nullptr;

  /// Whether a call that comes now might be cut off by the end of the process.
  bool isShuttingDown(absl::Time now) const {
    return isDraining() && now - DrainingSince > BalancerDrainTime;
  }

  bool isDraining() const { return DrainingSince != absl::InfiniteFuture(); }
};

} // namespace orioletally::drivers::relay

#endif

#ifndef ORIOLETALLY_DRIVERS_RELAY_RELAY_CONTEXT_H
#define ORIOLETALLY_DRIVERS_RELAY_RELAY_CONTEXT_H

#include "core/charts/state_chart.h"
#include "core/relay/call_head.h"
#include "core/relay/dispatcher.h"
#include "drivers/loop/asio_use.h"
#include "drivers/metrics/relay_metrics.h"
#include "drivers/relay/backend_channel.h"

#include <cstdint>

namespace orioletally::drivers::relay {

/// Time after SIGTERM in which callers' connections still come: the balancer
/// takes a node out after two questions a second apart.
constexpr absl::Duration BalancerBound = absl::Milliseconds(2500);

/// What all calls of a node share. Everything runs on one event loop.
struct RelayContext {
  asio::io_context &Loop;
  core::relay::Dispatcher &Calls;
  const core::relay::CallCodec &Codec;
  metrics::RelayMetrics &Metrics;
  const core::charts::StateChart &CallChart;
  ChannelPool Channels;
  /// SIGTERM came at this time.
  absl::Time DrainingSince = absl::InfiniteFuture();
  int64_t InProgress = 0;

  /// Whether a call that comes now might be cut off by the end of the process.
  bool isEnding(absl::Time now) const {
    return isDraining() && now - DrainingSince > BalancerBound;
  }

  bool isDraining() const { return DrainingSince != absl::InfiniteFuture(); }
};

} // namespace orioletally::drivers::relay

#endif

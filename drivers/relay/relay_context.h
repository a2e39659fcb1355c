#ifndef ORIOLETALLY_DRIVERS_RELAY_RELAY_CONTEXT_H
#define ORIOLETALLY_DRIVERS_RELAY_RELAY_CONTEXT_H

#include "core/charts/state_chart.h"
#include "core/limits/memory_account.h"
#include "core/limits/read_overruns.h"
#include "core/relay/call_head.h"
#include "core/relay/config_refusal.h"
#include "core/relay/dispatcher.h"
#include "core/relay/event_stream.h"
#include "drivers/loop/asio_use.h"
#include "drivers/metrics/relay_metrics.h"
#include "drivers/relay/backend_channel.h"
#include "drivers/relay/prompt_guard.h"
#include "drivers/relay/start_gate.h"

#include <cstdint>
#include <functional>

namespace orioletally::drivers::relay {

class CellPlacer;

/// Time after SIGTERM in which callers may still connect: the load balancer
/// removes a node after two failed health checks, one second apart.
constexpr absl::Duration BalancerDrainTime = absl::Milliseconds(2500);

/// Limits on the memory that the answer to one attempt may use.
struct AnswerLimits {
  /// For answers that are buffered completely before they are forwarded.
  size_t MaxAnswerBytes = 8 << 20;
  /// For an incomplete event of a stream.
  size_t MaxEventBytes = core::relay::EventStream::DefaultMaxEventBytes;
};

/// State shared by all calls of a node. Everything runs on one event loop.
struct RelayContext {
  asio::io_context &Loop;
  /// Also holds the configuration and the directory of backend servers.
  core::relay::Dispatcher &Dispatcher;
  const core::relay::CallCodec &Codec;
  metrics::RelayMetrics &Metrics;
  const core::charts::StateChart &CallChart;
  const core::charts::StateChart &AttemptChart;
  /// Delays calls that arrive before the configuration and the backend servers
  /// have been read.
  StartGate &Gate;
  PromptGuard &Guard;
  /// Limits what callers and backend servers make this node keep.
  core::limits::MemoryAccount &Memory;
  ChannelPool Channels;
  /// When SIGTERM was received; infinite future before that.
  absl::Time DrainingSince = absl::InfiniteFuture();
  int64_t InProgress = 0;
  AnswerLimits Limits;
  /// Announces leaving backend servers to the other nodes; may be null.
  std::function<void()> AnnounceLeaving = nullptr;
  /// Announces the changed request limit of a backend server to the other
  /// nodes; may be null.
  std::function<void(const core::fleet::BackendServer &)> AnnounceLimit =
      nullptr;
  /// Places prompts on engines of other cells; may be null.
  CellPlacer *OtherCells = nullptr;

  /// Returns how up to date the configuration is; null if that isn't known, and
  /// it then counts as current.
  std::function<core::relay::ConfigCurrency(absl::Time)> ConfigCurrency =
      nullptr;
  /// Calls that a configuration doesn't allow are refused for good only until
  /// it is this old.
  absl::Duration ConfigMaxAge = core::relay::DefaultConfigMaxAge;

  /// Counts what callers, backend servers and status pages' clients send beyond
  /// a bound.
  core::limits::ReadOverruns Overruns = {};

  /// Whether a call that arrives at \p now might be interrupted when the
  /// process exits.
  bool isShuttingDown(absl::Time now) const {
    return isDraining() && now - DrainingSince > BalancerDrainTime;
  }

  bool isDraining() const { return DrainingSince != absl::InfiniteFuture(); }
};

} // namespace orioletally::drivers::relay

#endif

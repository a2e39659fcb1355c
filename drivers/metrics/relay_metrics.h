#ifndef ORIOLETALLY_DRIVERS_METRICS_RELAY_METRICS_H
#define ORIOLETALLY_DRIVERS_METRICS_RELAY_METRICS_H

#include "core/cost/cost_estimates.h"
#include "core/limits/memory_account.h"
#include "core/limits/read_overruns.h"
#include "core/loop/turn_log.h"

#include <absl/time/time.h>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace orioletally::drivers::metrics {

/// Prometheus metrics of a node that relays calls between callers and backend
/// servers.
class RelayMetrics {
public:
  RelayMetrics();

  /// A call of \p kind ended with \p status after \p time.
  void callEnded(std::string_view kind, int status, absl::Duration time);
  /// The first event of a stream arrived after \p time. \p predicted is zero if
  /// there was no prediction.
  void firstEvent(absl::Duration time, absl::Duration predicted);
  void attemptEnded(std::string_view end);
  /// The body of a backend server's stream ended, completely or not.
  void streamEnded(std::string_view framing, bool isInsideEvent);
  /// This node itself answered a call, with an error of this code.
  void localErrorSent(std::string_view code);
  /// Admission control decided about a call of rank \p rank with \p outcome,
  /// while the share \p contention of the more urgent calls was refused or
  /// late.
  void callAdmitted(const std::string &service, int64_t rank,
                    std::string_view outcome, double contention);
  void connectionOpened();
  /// A backend server crashed as it began to answer a prompt, seen by this node
  /// ("own") or reported by another ("peer").
  void crashReported(std::string_view source);
  void setQuarantinedParts(int64_t n);
  /// An answer stated a limit on the backend server's requests.
  void requestLimitStated(bool isReadable);
  /// Counts an event of the placement of prompts on engines of other cells.
  void placementAcrossCells(std::string_view event, size_t n = 1);
  /// Number of cold backend servers, and of calls refused because of them
  /// since the start.
  void setCold(int64_t servers, uint64_t refusals);
  void storeCall(std::string_view topic, bool isAnswered);
  void setInProgress(int64_t n);
  void setConfigVersion(uint64_t version);
  void setBackends(int64_t n);
  void setEvacuatedZones(int64_t n);
  void setNodes(int64_t n);
  void setLogLinesDropped(uint64_t n);
  void setRefusedConnections(int64_t n);
  void setMemory(const core::limits::MemoryAccount &account);
  void setOverruns(const core::limits::ReadOverruns &overruns);
  void setCostEstimates(const core::cost::CostEstimates &costs);
  void setTurns(const core::loop::TurnLog &turns);

  /// Returns all metrics in the Prometheus text format.
  std::string text();

private:
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Calls;
  prometheus::Family<prometheus::Histogram> &CallTime;
  prometheus::Histogram &FirstEvent;
  prometheus::Histogram &PredictionRatio;
  prometheus::Family<prometheus::Counter> &Attempts;
  prometheus::Family<prometheus::Counter> &StreamEnds;
  prometheus::Family<prometheus::Counter> &LocalErrors;
  prometheus::Family<prometheus::Counter> &Admissions;
  prometheus::Family<prometheus::Gauge> &Contention;
  prometheus::Counter &Connections;
  prometheus::Family<prometheus::Counter> &StoreCalls;
  prometheus::Family<prometheus::Counter> &CrashReports;
  prometheus::Gauge &QuarantinedParts;
  prometheus::Family<prometheus::Counter> &RequestLimits;
  prometheus::Family<prometheus::Counter> &PlacementsAcrossCells;
  prometheus::Gauge &ColdBackends;
  prometheus::Counter &ColdRefusals;
  prometheus::Gauge &InProgress;
  prometheus::Gauge &ConfigVersion;
  prometheus::Gauge &Backends;
  prometheus::Gauge &EvacuatedZones;
  prometheus::Gauge &Nodes;
  prometheus::Gauge &LogLinesDropped;
  prometheus::Gauge &RefusedConnections;
  prometheus::Gauge &MemoryInUse;
  prometheus::Gauge &MemoryHighest;
  prometheus::Family<prometheus::Gauge> &MemoryRefused;
  prometheus::Family<prometheus::Gauge> &Overruns;
  prometheus::Gauge &CostEstimates;
  prometheus::Gauge &BoundedCostRatios;
  prometheus::Family<prometheus::Gauge> &LongestTurn;
  prometheus::Family<prometheus::Gauge> &LongestTurnProcessorTime;
};

} // namespace orioletally::drivers::metrics

#endif

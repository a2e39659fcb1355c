#ifndef ORIOLETALLY_DRIVERS_METRICS_NODE_METRICS_H
#define ORIOLETALLY_DRIVERS_METRICS_NODE_METRICS_H

#include "core/errors/request_error.h"
#include "core/requests/length_class.h"

#include <absl/time/time.h>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace orioletally::drivers::metrics {

/// The Prometheus metrics that an entry node serves at /metrics.
class NodeMetrics {
public:
  NodeMetrics();

  void firstToken(core::requests::LengthClass length,
                  const std::string &profile, absl::Duration time);
  void tokenGap(absl::Duration time);
  void queueWait(absl::Duration time);
  void finished(const std::string &profile);
  void refused(const core::errors::RequestError &error);
  /// Counts the retries of a request that made \p attempts.
  void retried(int64_t attempts);
  void framesDropped(uint64_t n);
  void setInProgress(int64_t n);
  void setProfileRevision(uint64_t revision);
  void setMembers(int64_t alive);
  void setTableCalls(const std::string &cause, uint64_t reads, uint64_t writes,
                     uint64_t failures);
  void setPeerBytes(uint64_t sent, uint64_t received);
  void holdingsReleased(uint64_t n);

  /// Returns all metrics in the Prometheus text format, with the CPU time that
  /// this process has used so far.
  std::string text();

private:
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Histogram> &FirstToken;
  prometheus::Histogram &TokenGap;
  prometheus::Histogram &QueueWait;
  prometheus::Family<prometheus::Counter> &Finished;
  prometheus::Family<prometheus::Counter> &Refused;
  prometheus::Counter &Retries;
  prometheus::Counter &DroppedFrames;
  prometheus::Gauge &InProgress;
  prometheus::Gauge &ProfileRevision;
  prometheus::Gauge &Members;
  prometheus::Family<prometheus::Gauge> &TableCalls;
  prometheus::Family<prometheus::Gauge> &PeerBytes;
  prometheus::Counter &HoldingsReleased;
  prometheus::Gauge &CpuSeconds;
};

} // namespace orioletally::drivers::metrics

#endif

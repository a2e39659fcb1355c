#include "drivers/metrics/node_metrics.h"

#include <ctime>
#include <prometheus/text_serializer.h>

namespace orioletally::drivers::metrics {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Histogram;

const Histogram::BucketBoundaries &secondsBuckets() {
  static const Histogram::BucketBoundaries buckets = {
      0.001, 0.002, 0.005, 0.01, 0.02, 0.032, 0.05, 0.1, 0.2,
      0.47,  1,     2,     5,    10,   30,    60,   300};
  return buckets;
}

double processCpuSeconds() {
  timespec ts{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  return absl::ToDoubleSeconds(absl::DurationFromTimespec(ts));
}

template <typename Builder>
auto &family(Builder builder, prometheus::Registry &registry, const char *name,
             const char *help) {
  return builder.Name(name).Help(help).Register(registry);
}

} // namespace

NodeMetrics::NodeMetrics()
    : FirstToken(family(BuildHistogram(), Registry,
                        "orioletally_first_token_seconds",
                        "Time from admission to the first token")),
      TokenGap(family(BuildHistogram(), Registry,
                      "orioletally_token_gap_seconds",
                      "Time between consecutive tokens of an answer")
                   .Add({}, secondsBuckets())),
      QueueWait(family(BuildHistogram(), Registry,
                       "orioletally_queue_wait_seconds",
                       "Time from admission to the last submit")
                    .Add({}, secondsBuckets())),
      Finished(family(BuildCounter(), Registry,
                      "orioletally_requests_finished_total",
                      "Requests that ended with a complete answer")),
      Refused(
          family(BuildCounter(), Registry, "orioletally_requests_refused_total",
                 "Requests that ended with an error, by code and run state")),
      Retries(family(BuildCounter(), Registry, "orioletally_retries_total",
                     "Submits after the first one of a request")
                  .Add({})),
      DroppedFrames(
          family(BuildCounter(), Registry, "orioletally_frames_dropped_total",
                 "Discarded frames: of an earlier attempt or another request, "
                 "duplicate, or after a gap")
              .Add({})),
      InProgress(family(BuildGauge(), Registry,
                        "orioletally_requests_in_progress",
                        "Requests in progress on this node")
                     .Add({})),
      ProfileRevision(family(BuildGauge(), Registry,
                             "orioletally_profile_revision",
                             "Revision of the profiles in force on this node")
                          .Add({})),
      Members(family(BuildGauge(), Registry, "orioletally_members_alive",
                     "Entry nodes considered alive, including this one")
                  .Add({})),
      TableCalls(family(
          BuildGauge(), Registry, "orioletally_table_calls",
          "Calls to the table service since the start, by cause and kind")),
      PeerBytes(family(BuildGauge(), Registry, "orioletally_peer_bytes",
                       "Bytes of control traffic between nodes, by direction")),
      HoldingsReleased(
          family(BuildCounter(), Registry,
                 "orioletally_holdings_released_total",
                 "Streams released on engines after their deadline or the loss "
                 "of their owner")
              .Add({})),
      CpuSeconds(family(BuildGauge(), Registry,
                        "orioletally_process_cpu_seconds",
                        "CPU time of this process")
                     .Add({})) {}

void NodeMetrics::firstToken(core::requests::LengthClass length,
                             const std::string &profile, absl::Duration time) {
  const std::string name(core::requests::lengthClassName(length));
  FirstToken.Add({{"length", name}, {"profile", profile}}, secondsBuckets())
      .Observe(absl::ToDoubleSeconds(time));
}

void NodeMetrics::tokenGap(absl::Duration time) {
  TokenGap.Observe(absl::ToDoubleSeconds(time));
}

void NodeMetrics::queueWait(absl::Duration time) {
  QueueWait.Observe(absl::ToDoubleSeconds(time));
}

void NodeMetrics::finished(const std::string &profile) {
  Finished.Add({{"profile", profile}}).Increment();
}

void NodeMetrics::refused(const core::errors::RequestError &error) {
  Refused
      .Add({{"code", std::string(core::errors::errorCodeName(error.Code))},
            {"run", std::string(core::errors::runStateName(error.Run))}})
      .Increment();
}

void NodeMetrics::retried(int64_t attempts) {
  if (attempts > 1)
    Retries.Increment(static_cast<double>(attempts - 1));
}

void NodeMetrics::framesDropped(uint64_t n) {
  DroppedFrames.Increment(static_cast<double>(n));
}

void NodeMetrics::setInProgress(int64_t n) {
  InProgress.Set(static_cast<double>(n));
}

void NodeMetrics::setProfileRevision(uint64_t revision) {
  ProfileRevision.Set(static_cast<double>(revision));
}

void NodeMetrics::setMembers(int64_t alive) {
  Members.Set(static_cast<double>(alive));
}

void NodeMetrics::setTableCalls(const std::string &cause, uint64_t reads,
                                uint64_t writes, uint64_t failures) {
  TableCalls.Add({{"cause", cause}, {"kind", "read"}})
      .Set(static_cast<double>(reads));
  TableCalls.Add({{"cause", cause}, {"kind", "write"}})
      .Set(static_cast<double>(writes));
  TableCalls.Add({{"cause", cause}, {"kind", "failure"}})
      .Set(static_cast<double>(failures));
}

void NodeMetrics::setPeerBytes(uint64_t sent, uint64_t received) {
  PeerBytes.Add({{"direction", "sent"}}).Set(static_cast<double>(sent));
  PeerBytes.Add({{"direction", "received"}}).Set(static_cast<double>(received));
}

void NodeMetrics::holdingsReleased(uint64_t n) {
  HoldingsReleased.Increment(static_cast<double>(n));
}

std::string NodeMetrics::text() {
  CpuSeconds.Set(processCpuSeconds());
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace orioletally::drivers::metrics

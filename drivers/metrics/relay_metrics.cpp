#include "drivers/metrics/relay_metrics.h"

#include <prometheus/text_serializer.h>

namespace orioletally::drivers::metrics {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Histogram;

/// In seconds; from the duration of a call to a plain service up to the longest
/// timeout of a route.
const Histogram::BucketBoundaries TimeBuckets = {
    0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 6, 10, 15};

prometheus::Gauge &gauge(prometheus::Registry &registry, const char *name,
                         const char *help) {
  return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

RelayMetrics::RelayMetrics()
    : Calls(BuildCounter()
                .Name("orioletally_calls_total")
                .Help("Ended calls, by kind and status.")
                .Register(Registry)),
      CallTime(BuildHistogram()
                   .Name("orioletally_call_seconds")
                   .Help("Time from arrival to the end of the answer, by kind.")
                   .Register(Registry)),
      FirstEvent(BuildHistogram()
                     .Name("orioletally_first_event_seconds")
                     .Help("Time from arrival to the first event of a stream.")
                     .Register(Registry)
                     .Add({}, TimeBuckets)),
      PredictionRatio(BuildHistogram()
                          .Name("orioletally_first_event_over_prediction")
                          .Help("Ratio of the actual to the predicted time to "
                                "the first event.")
                          .Register(Registry)
                          .Add({}, Histogram::BucketBoundaries{0.5, 0.8, 1, 1.2,
                                                               1.5, 2, 3, 5})),
      Attempts(BuildCounter()
                   .Name("orioletally_attempts_total")
                   .Help("Attempts at backend servers, by outcome.")
                   .Register(Registry)),
      StreamEnds(BuildCounter()
                     .Name("orioletally_stream_ends_total")
                     .Help("Streams of backend servers that ended, by framing "
                           "and whether the last event was incomplete.")
                     .Register(Registry)),
      LocalErrors(BuildCounter()
                      .Name("orioletally_own_answers_total")
                      .Help("Calls that this node itself answered with an "
                            "error, by code.")
                      .Register(Registry)),
      Admissions(BuildCounter()
                     .Name("orioletally_admissions_total")
                     .Help("Decisions of admission by priority, by service, "
                           "rank and outcome.")
                     .Register(Registry)),
      Contention(BuildGauge()
                     .Name("orioletally_admission_contention")
                     .Help("Share of the more urgent calls that were refused "
                           "or late as of the last decision, by service and "
                           "rank.")
                     .Register(Registry)),
      Connections(BuildCounter()
                      .Name("orioletally_backend_connections_total")
                      .Help("New connections to backend servers.")
                      .Register(Registry)
                      .Add({})),
      StoreCalls(BuildCounter()
                     .Name("orioletally_store_calls_total")
                     .Help("Calls to the platform's store, by topic and "
                           "whether they were answered.")
                     .Register(Registry)),
      CrashReports(BuildCounter()
                       .Name("orioletally_crash_reports_total")
                       .Help("Prompts that a backend server was beginning to "
                             "answer when it crashed, by source.")
                       .Register(Registry)),
      QuarantinedParts(gauge(Registry, "orioletally_quarantined_parts",
                             "Parts of prompts in quarantine.")),
      RequestLimits(BuildCounter()
                        .Name("orioletally_request_limits_total")
                        .Help("Answers that stated a limit on the requests of "
                              "their backend server, by readability.")
                        .Register(Registry)),
      PlacementsAcrossCells(
          BuildCounter()
              .Name("orioletally_placements_across_cells_total")
              .Help(
                  "Placement of prompts on engines of other cells: calls that "
                  "asked, were limited in asking, took an offer or got none; "
                  "offers that this node made, refused or that expired.")
              .Register(Registry)),
      ColdBackends(gauge(Registry, "orioletally_cold_backends",
                         "Cold backend servers.")),
      ColdRefusals(BuildCounter()
                       .Name("orioletally_cold_refusals_total")
                       .Help("Calls refused because the backend servers of "
                             "their service were cold.")
                       .Register(Registry)
                       .Add({})),
      InProgress(gauge(Registry, "orioletally_calls_in_progress",
                       "Calls in progress.")),
      ConfigVersion(gauge(Registry, "orioletally_config_version",
                          "Version of the configuration in force.")),
      Backends(
          gauge(Registry, "orioletally_backends", "Known backend servers.")),
      EvacuatedZones(gauge(Registry, "orioletally_zones_evacuated",
                           "Availability zones whose evacuation is in force.")),
      Nodes(gauge(Registry, "orioletally_nodes",
                  "Entry nodes on the list, including this one.")),
      LogLinesDropped(
          gauge(Registry, "orioletally_log_lines_dropped",
                "Log lines dropped by the rate limit or for lack of room in "
                "standard output.")),
      RefusedConnections(
          gauge(Registry, "orioletally_peer_strangers",
                "Connections to the peer port that were refused because the "
                "peer lacked the key.")),
      MemoryInUse(gauge(Registry, "orioletally_memory_bytes",
                        "Memory held for callers, backend servers and the "
                        "store.")),
      MemoryHighest(gauge(Registry, "orioletally_memory_highest_bytes",
                          "Highest value of orioletally_memory_bytes.")),
      MemoryRefused(BuildGauge()
                        .Name("orioletally_memory_refused")
                        .Help("Refusals for lack of memory, by use.")
                        .Register(Registry)),
      Overruns(BuildGauge()
                   .Name("orioletally_messages_over_bound")
                   .Help("Messages that ended because they went over a bound "
                         "of their reader, by source and bound.")
                   .Register(Registry)),
      CostEstimates(gauge(Registry, "orioletally_cost_estimates",
                          "Keys for which costs of calls are learned.")),
      BoundedCostRatios(
          gauge(Registry, "orioletally_cost_ratios_bounded",
                "Expected answer lengths that reached the bound of the "
                "learned factor.")),
      LongestTurn(BuildGauge()
                      .Name("orioletally_loop_stall_ms")
                      .Help("Longest time for which a work kept everything "
                            "else on the event loop waiting.")
                      .Register(Registry)),
      LongestTurnProcessorTime(
          BuildGauge()
              .Name("orioletally_loop_stall_processor_ms")
              .Help("Most processor time of the event loop that a work took "
                    "at once; for other, between two ticks of a timer.")
              .Register(Registry)) {}

void RelayMetrics::callEnded(std::string_view kind, int status,
                             absl::Duration time) {
  const std::string name(kind);
  Calls.Add({{"kind", name}, {"status", std::to_string(status)}}).Increment();
  CallTime.Add({{"kind", name}}, TimeBuckets)
      .Observe(absl::ToDoubleSeconds(time));
}

void RelayMetrics::firstEvent(absl::Duration time, absl::Duration predicted) {
  FirstEvent.Observe(absl::ToDoubleSeconds(time));
  if (predicted > absl::ZeroDuration())
    PredictionRatio.Observe(absl::FDivDuration(time, predicted));
}

void RelayMetrics::attemptEnded(std::string_view end) {
  Attempts.Add({{"end", std::string(end)}}).Increment();
}

void RelayMetrics::streamEnded(std::string_view framing, bool isInsideEvent) {
  StreamEnds
      .Add({{"framing", std::string(framing)},
            {"inside_event", isInsideEvent ? "yes" : "no"}})
      .Increment();
}

void RelayMetrics::localErrorSent(std::string_view code) {
  LocalErrors.Add({{"code", std::string(code)}}).Increment();
}

void RelayMetrics::callAdmitted(const std::string &service, int64_t rank,
                                std::string_view outcome, double contention) {
  const std::string rankText = std::to_string(rank);
  Admissions
      .Add({{"service", service},
            {"rank", rankText},
            {"outcome", std::string(outcome)}})
      .Increment();
  Contention.Add({{"service", service}, {"rank", rankText}}).Set(contention);
}

void RelayMetrics::connectionOpened() { Connections.Increment(); }

void RelayMetrics::crashReported(std::string_view source) {
  CrashReports.Add({{"source", std::string(source)}}).Increment();
}

void RelayMetrics::setQuarantinedParts(int64_t n) {
  QuarantinedParts.Set(static_cast<double>(n));
}

void RelayMetrics::requestLimitStated(bool isReadable) {
  RequestLimits.Add({{"readable", isReadable ? "yes" : "no"}}).Increment();
}

void RelayMetrics::placementAcrossCells(std::string_view event, size_t n) {
  PlacementsAcrossCells.Add({{"event", std::string(event)}})
      .Increment(static_cast<double>(n));
}

void RelayMetrics::setCold(int64_t servers, uint64_t refusals) {
  ColdBackends.Set(static_cast<double>(servers));
  ColdRefusals.Increment(static_cast<double>(refusals) - ColdRefusals.Value());
}

void RelayMetrics::storeCall(std::string_view topic, bool isAnswered) {
  StoreCalls
      .Add({{"topic", std::string(topic)},
            {"answered", isAnswered ? "yes" : "no"}})
      .Increment();
}

void RelayMetrics::setInProgress(int64_t n) {
  InProgress.Set(static_cast<double>(n));
}

void RelayMetrics::setConfigVersion(uint64_t version) {
  ConfigVersion.Set(static_cast<double>(version));
}

void RelayMetrics::setBackends(int64_t n) {
  Backends.Set(static_cast<double>(n));
}

void RelayMetrics::setEvacuatedZones(int64_t n) {
  EvacuatedZones.Set(static_cast<double>(n));
}

void RelayMetrics::setNodes(int64_t n) { Nodes.Set(static_cast<double>(n)); }

void RelayMetrics::setLogLinesDropped(uint64_t n) {
  LogLinesDropped.Set(static_cast<double>(n));
}

void RelayMetrics::setRefusedConnections(int64_t n) {
  RefusedConnections.Set(static_cast<double>(n));
}

void RelayMetrics::setMemory(const core::limits::MemoryAccount &account) {
  MemoryInUse.Set(static_cast<double>(account.inUse()));
  MemoryHighest.Set(static_cast<double>(account.highest()));
  for (size_t n = 0; n < core::limits::MemoryUseCount; ++n) {
    const auto use = static_cast<core::limits::MemoryUse>(n);
    MemoryRefused.Add({{"use", std::string(core::limits::memoryUseName(use))}})
        .Set(static_cast<double>(account.refused(use)));
  }
}

void RelayMetrics::setOverruns(const core::limits::ReadOverruns &overruns) {
  using core::limits::ReadOverrun;
  using core::limits::ReadSource;
  for (size_t s = 0; s < core::limits::ReadSourceCount; ++s)
    for (size_t n = 0; n < core::limits::ReadOverrunCount; ++n) {
      const auto source = static_cast<ReadSource>(s);
      const auto overrun = static_cast<ReadOverrun>(n);
      Overruns
          .Add({{"source", std::string(core::limits::readSourceName(source))},
                {"bound", std::string(core::limits::readOverrunName(overrun))}})
          .Set(static_cast<double>(overruns.count(source, overrun)));
    }
}

void RelayMetrics::setCostEstimates(const core::cost::CostEstimates &costs) {
  CostEstimates.Set(static_cast<double>(costs.keyCount()));
  BoundedCostRatios.Set(static_cast<double>(costs.boundedRatios()));
}

void RelayMetrics::setTurns(const core::loop::TurnLog &turns) {
  for (size_t n = 0; n < core::loop::LoopWorkCount; ++n) {
    const core::loop::LoopTurn turn =
        turns.longest(static_cast<core::loop::LoopWork>(n));
    const std::string work(core::loop::loopWorkName(turn.Work));
    LongestTurn.Add({{"work", work}})
        .Set(absl::ToDoubleMilliseconds(turn.Time));
    LongestTurnProcessorTime.Add({{"work", work}})
        .Set(absl::ToDoubleMilliseconds(turn.ProcessorTime));
  }
}

std::string RelayMetrics::text() {
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace orioletally::drivers::metrics

#ifndef ORIOLETALLY_TESTS_SUPPORT_WIRE_SAMPLES_H
#define ORIOLETALLY_TESTS_SUPPORT_WIRE_SAMPLES_H

namespace orioletally::tests {

/// A configuration as the platform stores it, with all fields that affect
/// routing.
inline constexpr const char *SampleConfig = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","prefix":"/s/","kind":"streaming",
   "timeout_ms":10000,"target_latency_ms":300,"priority":1,
   "traffic_split":[{"service":"x","weight":90},{"service":"y","weight":10}],
   "max_attempts":2,"public":false,"resumable":true,"gap_aim_ms":200}],
  "services":[{"name":"x","engine":{"slots":16,"kv_capacity":450000,
   "stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,
   "read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,
   "usual":{"prompt":13199,"answer":1541}}},{"name":"y"}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
   "header_timeout_ms":3000,"idle_timeout_ms":15000},
  "tenants":[{"name":"w","api_keys":["k1","k2"],"priority":1}]})";

} // namespace orioletally::tests

#endif

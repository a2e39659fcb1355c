#ifndef ORIOLETALLY_REVIEW_MANIFEST_H
#define ORIOLETALLY_REVIEW_MANIFEST_H

#include "standins.h"

namespace review {

/// A route of a manifest like those of a small deployment.
inline json route(const std::string &name, const std::string &prefix,
                  const std::string &kind, const std::string &service,
                  int timeoutMs) {
  json result = {{"name", name},
                 {"host", "front.example"},
                 {"prefix", prefix},
                 {"kind", kind},
                 {"timeout_ms", timeoutMs},
                 {"target_latency_ms", kind == "streaming" ? 3000 : 200},
                 {"priority", 1},
                 {"service", service},
                 {"max_attempts", kind == "non_idempotent" ? 1 : 2},
                 {"public", false}};
  if (kind == "streaming") {
    result["sticky"] = true;
    result["resumable"] = true;
    result["gap_aim_ms"] = 800;
  }
  return result;
}

inline json plainService(const std::string &name) {
  return {{"name", name},
          {"health_path", "/health"},
          {"max_conns", 96},
          {"protocol", "h1"},
          {"tls", false}};
}

inline json engineService(const std::string &name) {
  json result = plainService(name);
  result["max_conns"] = 424;
  result["engine"] = engineProperties();
  return result;
}

/// A manifest with the limits of the sites and two tenants.
inline json manifest(int version, const std::vector<json> &routes,
                     const std::vector<json> &services) {
  return {
      {"version", version},
      {"routes", routes},
      {"services", services},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       {{{"name", "north"}, {"api_keys", {"key-north"}}, {"priority", 1}},
        {{"name", "south"}, {"api_keys", {"key-south"}}, {"priority", 1}}}}};
}

} // namespace review

#endif

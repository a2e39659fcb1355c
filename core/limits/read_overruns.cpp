#include "core/limits/read_overruns.h"

namespace orioletally::core::limits {

namespace {

constexpr std::array<std::string_view, ReadSourceCount> SourceNames = {
    "caller", "status_page", "backend_server"};
constexpr std::array<std::string_view, ReadOverrunCount> OverrunNames = {
    "head", "chunk_header", "trailers", "body", "time"};

} // namespace

std::string_view readSourceName(ReadSource source) {
  return SourceNames[static_cast<size_t>(source)];
}

std::string_view readOverrunName(ReadOverrun overrun) {
  return OverrunNames[static_cast<size_t>(overrun)];
}

void ReadOverruns::record(ReadSource source, ReadOverrun overrun,
                          absl::Time now) {
  ++Counts[static_cast<size_t>(source)][static_cast<size_t>(overrun)];
  ++Sum;
  if (now - ReportedAt < ReportInterval)
    return;
  ReportedAt = now;
  if (OnReport)
    OnReport(source, overrun, Sum);
}

} // namespace orioletally::core::limits

#ifndef ORIOLETALLY_DRIVERS_PLATFORM_HTTP_TABLE_SERVICE_H
#define ORIOLETALLY_DRIVERS_PLATFORM_HTTP_TABLE_SERVICE_H

#include "core/platform/table_service.h"

#include <absl/time/time.h>
#include <array>
#include <atomic>
#include <string>
#include <string_view>

namespace orioletally::drivers::platform {

/// The kind of rows that a table call is about: the first part of its key.
enum class TableCause { Profiles, Claims, Nodes, Other };

constexpr size_t TableCauseCount = 4;

/// Returns the metric label value for \p cause.
std::string_view tableCauseName(TableCause cause);

/// Returns the cause of a call for \p key.
TableCause tableCauseOf(std::string_view key);

/// Counts of the calls of one cause.
struct TableCallCount {
  std::atomic<uint64_t> Reads = 0;
  std::atomic<uint64_t> Writes = 0;
  std::atomic<uint64_t> Failures = 0;
};

/// Counts of this node's calls to the table service, indexed by TableCause.
using TableCallCounts = std::array<TableCallCount, TableCauseCount>;

/// Client of the table service's HTTP API. Each call opens its own connection.
class HttpTableService : public core::platform::TableService {
public:
  /// \p address is "ip:port" or "name:port". Each call ends within \p timeout.
  HttpTableService(std::string address, absl::Duration timeout);

  boost::leaf::result<std::optional<core::platform::TableRow>>
  read(std::string_view key) override;
  boost::leaf::result<std::vector<core::platform::TableRow>>
  scan(std::string_view prefix, std::string_view after, int limit) override;
  boost::leaf::result<core::platform::TableCommit>
  commit(const core::platform::TableTransaction &transaction) override;

  const TableCallCounts &counts() const { return Counts; }

private:
  boost::leaf::result<std::string> get(const std::string &path,
                                       std::string_view key);
  TableCallCount &countFor(std::string_view key);

  std::string Address;
  absl::Duration Timeout;
  TableCallCounts Counts;
};

} // namespace orioletally::drivers::platform

#endif

#ifndef ORIOLETALLY_TESTS_SUPPORT_FAKE_TABLE_H
#define ORIOLETALLY_TESTS_SUPPORT_FAKE_TABLE_H

#include "core/platform/table_service.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace orioletally::tests {

/// Fault that a FakeTable injects into one call.
enum class TableFault {
  None,
  /// The call fails before it has any effect.
  FailBefore,
  /// A commit takes effect, but its reply is lost.
  LoseReply,
};

/// An in-memory table service with a fault that a test chooses for each call.
class FakeTable : public core::platform::TableService {
public:
  /// Called before each call with "read", "scan" or "commit"; returns the fault
  /// to inject. No faults if it isn't set.
  std::function<TableFault(const std::string &)> Fault;
  /// Called after each commit that took effect, before the reply.
  std::function<void()> AfterCommit;

  boost::leaf::result<std::optional<core::platform::TableRow>>
  read(std::string_view key) override;
  boost::leaf::result<std::vector<core::platform::TableRow>>
  scan(std::string_view prefix, std::string_view after, int limit) override;
  boost::leaf::result<core::platform::TableCommit>
  commit(const core::platform::TableTransaction &transaction) override;

  /// Number of reads and scans, and of commits. Conflicts and lost replies are
  /// counted, calls that fail with TableFault::FailBefore aren't.
  int Reads = 0;
  int Commits = 0;

private:
  TableFault faultFor(const std::string &call);

  std::mutex Guard;
  std::map<std::string, core::platform::TableRow, std::less<>> Rows;
  uint64_t Version = 0;
};

} // namespace orioletally::tests

#endif

#ifndef ORIOLETALLY_TESTS_SUPPORT_FAKE_TABLE_H
#define ORIOLETALLY_TESTS_SUPPORT_FAKE_TABLE_H

#include "core/platform/table_service.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace orioletally::tests {

/// What a FakeTable does to one call.
enum class TableFault {
  None,
  /// The call fails before it has any effect.
  FailBefore,
  /// A commit takes effect and its answer is lost.
  LoseReply,
};

/// A table service in memory whose faults a test decides call by call.
class FakeTable : public core::platform::TableService {
public:
  /// Asked before each call; the word is "read", "scan" or "commit".
  std::function<TableFault(const std::string &)> Fault;
  /// Called after each commit that took effect and before its answer.
  std::function<void()> AfterCommit;

  boost::leaf::result<std::optional<core::platform::TableRow>>
  read(std::string_view key) override;
  boost::leaf::result<std::vector<core::platform::TableRow>>
  scan(std::string_view prefix, std::string_view after, int limit) override;
  boost::leaf::result<core::platform::TableCommit>
  commit(const core::platform::TableTransaction &transaction) override;

  /// Number of calls of each kind, failed ones too.
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

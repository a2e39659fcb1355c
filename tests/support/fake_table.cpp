#include "tests/support/fake_table.h"

namespace leaf = boost::leaf;

namespace orioletally::tests {

using core::platform::TableCommit;
using core::platform::TableCondition;
using core::platform::TableError;
using core::platform::TableFailure;
using core::platform::TableRow;
using core::platform::TableTransaction;
using core::platform::TableWrite;

namespace {

leaf::error_id unavailable() {
  return leaf::new_error(TableError{TableFailure::Unavailable, "fault"});
}

} // namespace

TableFault FakeTable::faultFor(const std::string &call) {
  return Fault ? Fault(call) : TableFault::None;
}

leaf::result<std::optional<TableRow>> FakeTable::read(std::string_view key) {
  if (faultFor("read") != TableFault::None)
    return unavailable();
  const std::lock_guard lock(Guard);
  ++Reads;
  const auto it = Rows.find(key);
  if (it == Rows.end())
    return std::optional<TableRow>();
  return std::optional<TableRow>(it->second);
}

leaf::result<std::vector<TableRow>>
FakeTable::scan(std::string_view prefix, std::string_view after, int limit) {
  if (faultFor("scan") != TableFault::None)
    return unavailable();
  const std::lock_guard lock(Guard);
  ++Reads;
  std::vector<TableRow> result;
  for (auto it = Rows.upper_bound(std::max(prefix, after));
       it != Rows.end() && it->first.starts_with(prefix) &&
       result.size() < static_cast<size_t>(limit);
       ++it)
    result.push_back(it->second);
  return result;
}

leaf::result<TableCommit>
FakeTable::commit(const TableTransaction &transaction) {
  const TableFault fault = faultFor("commit");
  if (fault == TableFault::FailBefore)
    return unavailable();
  {
    const std::lock_guard lock(Guard);
    ++Commits;
    for (const TableCondition &it : transaction.Conditions) {
      const auto row = Rows.find(it.Key);
      const uint64_t version = row == Rows.end() ? 0 : row->second.Version;
      if (version != it.Version)
        return TableCommit{false, 0, it.Key, version};
    }
    ++Version;
    for (const TableWrite &it : transaction.Writes) {
      if (it.Value.has_value())
        Rows[it.Key] = {it.Key, Version, *it.Value};
      else
        Rows.erase(it.Key);
    }
  }
  if (AfterCommit)
    AfterCommit();
  if (fault == TableFault::LoseReply)
    return leaf::new_error(TableError{TableFailure::OutcomeUnknown, "lost"});
  return TableCommit{true, Version, "", 0};
}

} // namespace orioletally::tests

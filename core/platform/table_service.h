#ifndef ORIOLETALLY_CORE_PLATFORM_TABLE_SERVICE_H
#define ORIOLETALLY_CORE_PLATFORM_TABLE_SERVICE_H

#include <boost/leaf.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::platform {

/// How a call to the table service failed.
enum class TableFailure {
  /// The call surely had no effect.
  Unavailable,
  /// The write may have taken effect; only a read can tell.
  OutcomeUnknown,
};

/// The error of the platform layer.
struct TableError {
  TableFailure Failure = TableFailure::Unavailable;
  std::string Detail;
};

/// One row. Versions grow with each write of the row; 0 stands for "absent".
struct TableRow {
  std::string Key;
  uint64_t Version = 0;
  /// JSON text.
  std::string Value;
};

/// A transaction takes effect only when each named row has this version.
struct TableCondition {
  std::string Key;
  uint64_t Version = 0;
};

/// Writes a row, or deletes it when there is no value.
struct TableWrite {
  std::string Key;
  std::optional<std::string> Value;
};

/// Conditions and writes that take effect together or not at all.
struct TableTransaction {
  std::vector<TableCondition> Conditions;
  std::vector<TableWrite> Writes;
};

/// Whether a transaction took effect, and the first row that stood against it.
struct TableCommit {
  bool Committed = false;
  /// The version that every written row now has.
  uint64_t Version = 0;
  std::string ConflictKey;
  uint64_t ConflictVersion = 0;
};

/// The platform's transactional table. Every call is bounded in time by the
/// implementation. Implementations must pass tests/contract/table_contract.
class TableService {
public:
  virtual ~TableService() = default;

  /// Reads one row; an absent row is an empty optional.
  virtual boost::leaf::result<std::optional<TableRow>>
  read(std::string_view key) = 0;

  /// Reads up to \p limit rows whose keys begin with \p prefix and come after
  /// the key \p after, in the order of their keys.
  virtual boost::leaf::result<std::vector<TableRow>>
  scan(std::string_view prefix, std::string_view after, int limit) = 0;

  /// Applies \p transaction. A lost answer is a TableError with
  /// OutcomeUnknown, never a commit or a conflict.
  virtual boost::leaf::result<TableCommit>
  commit(const TableTransaction &transaction) = 0;
};

} // namespace orioletally::core::platform

#endif

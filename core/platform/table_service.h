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
  /// The call definitely had no effect.
  Unavailable,
  /// The write may have taken effect; only a read can tell.
  OutcomeUnknown,
};

/// A failed call to the table service.
struct TableError {
  TableFailure Failure = TableFailure::Unavailable;
  std::string Detail;
};

/// A row. Its version grows with each write; 0 means that the row doesn't
/// exist.
struct TableRow {
  std::string Key;
  uint64_t Version = 0;
  /// JSON text.
  std::string Value;
};

/// Requires that a row has a certain version for a transaction to take effect.
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

/// Whether a transaction took effect, and if not, the first conflicting row.
struct TableCommit {
  bool Committed = false;
  /// The new version of every written row.
  uint64_t Version = 0;
  std::string ConflictKey;
  uint64_t ConflictVersion = 0;
};

/// The platform's transactional table. Implementations apply a timeout to every
/// call and must pass the contract tests in tests/contract.
class TableService {
public:
  virtual ~TableService() = default;

  /// Reads one row; returns an empty optional when it doesn't exist.
  virtual boost::leaf::result<std::optional<TableRow>>
  read(std::string_view key) = 0;

  /// Reads up to \p limit rows, ordered by key, whose keys begin with \p prefix
  /// and come after the key \p after.
  virtual boost::leaf::result<std::vector<TableRow>>
  scan(std::string_view prefix, std::string_view after, int limit) = 0;

  /// Applies \p transaction. A lost answer is reported as a TableError with
  /// OutcomeUnknown, never as a commit or a conflict.
  virtual boost::leaf::result<TableCommit>
  commit(const TableTransaction &transaction) = 0;
};

} // namespace orioletally::core::platform

#endif

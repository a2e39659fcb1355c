#ifndef ORIOLETALLY_CORE_PROFILES_PROFILE_STORE_H
#define ORIOLETALLY_CORE_PROFILES_PROFILE_STORE_H

#include "core/platform/table_service.h"
#include "core/profiles/profile_change.h"
#include "core/profiles/profile_set.h"

#include <boost/leaf.hpp>
#include <optional>
#include <string>
#include <vector>

namespace orioletally::core::profiles {

/// A row of the table that this version can't read.
struct UnreadableRow {
  std::string Key;
  std::string Reason;
};

/// Keeps profiles in the platform's table, which alone decides what is in
/// force. One transaction writes the profile, its audit row, the change id and
/// the head revision, so that every order of two changes is one of them first.
///
/// Rows: `profiles/head`, `profiles/row/NAME`, `profiles/log/REVISION` and
/// `profiles/change/ID`.
class ProfileStore {
public:
  explicit ProfileStore(platform::TableService &service);

  /// Carries out \p change. A lost answer is resolved by reading the change id
  /// back; an error with OutcomeUnknown is left only when that fails too.
  boost::leaf::result<ChangeOutcome> commit(const ProfileChange &change);

  /// The highest revision committed; 0 before the first change.
  boost::leaf::result<uint64_t> headRevision();

  /// Reads every profile at once.
  boost::leaf::result<ProfileSet> snapshot();

  /// Reads up to \p limit audit rows that come after \p revision, oldest first.
  boost::leaf::result<std::vector<AuditRecord>> logAfter(uint64_t revision,
                                                         int limit);

private:
  struct CurrentRows;

  boost::leaf::result<CurrentRows> readCurrentRows(const ProfileChange &change);
  boost::leaf::result<ChangeOutcome> readConflict(const CurrentRows &rows,
                                                  std::string reason);

  boost::leaf::result<ChangeOutcome> repeated(const ProfileChange &change,
                                              const platform::TableRow &row);
  static platform::TableTransaction transactionFor(const ProfileChange &change,
                                                   const CurrentRows &rows,
                                                   const AuditRecord &record);
  /// Tries once; empty when another write came first or the answer was lost.
  boost::leaf::result<std::optional<ChangeOutcome>>
  tryOnce(const ProfileChange &change, bool &isInDoubt);

  platform::TableService &Table;
};

} // namespace orioletally::core::profiles

#endif

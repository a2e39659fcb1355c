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

/// A row of the table that this version can't parse.
struct UnreadableRow {
  std::string Key;
  std::string Reason;
};

/// Stores profiles in the platform's table, which is the only source of truth.
/// One transaction writes the profile, its audit row, the change id and the
/// head revision, so concurrent changes are serialized.
///
/// Rows: `profiles/head`, `profiles/row/NAME`, `profiles/log/REVISION` and
/// `profiles/change/ID`.
class ProfileStore {
public:
  explicit ProfileStore(platform::TableService &service);

  /// Commits \p change. If the answer to the write is lost, the row of the
  /// change id shows the outcome. Fails with OutcomeUnknown only if that row
  /// can't be read either.
  boost::leaf::result<ChangeOutcome> commit(const ProfileChange &change);

  /// Returns the highest committed revision; 0 before the first change.
  boost::leaf::result<uint64_t> headRevision();

  /// Reads all profiles.
  boost::leaf::result<ProfileSet> snapshot();

  /// Reads at most \p limit audit rows after \p revision, oldest first.
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
  /// Makes one attempt. Returns nothing if another write came first or if the
  /// answer was lost; sets \p isOutcomeUnknown in the latter case.
  boost::leaf::result<std::optional<ChangeOutcome>>
  tryOnce(const ProfileChange &change, bool &isOutcomeUnknown);

  platform::TableService &Table;
};

} // namespace orioletally::core::profiles

#endif

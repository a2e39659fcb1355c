#include "core/profiles/profile_store.h"

#include "core/platform/table_outcome.h"

#include <absl/strings/str_format.h>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::core::profiles {

namespace {

using nlohmann::json;
using platform::TableCommit;
using platform::TableError;
using platform::TableFailure;
using platform::TableRow;
using platform::TableTransaction;

constexpr std::string_view HeadKey = "profiles/head";
constexpr std::string_view RowPrefix = "profiles/row/";
constexpr std::string_view LogPrefix = "profiles/log/";
constexpr std::string_view ChangePrefix = "profiles/change/";
constexpr int ScanPage = 500;
/// A further attempt follows a lost answer or another operator's commit.
constexpr int MaxCommitTries = 8;

std::string logKey(uint64_t revision) {
  return fmt::format("{}{}", LogPrefix, absl::StrFormat("%016d", revision));
}

uint64_t versionOf(const std::optional<TableRow> &row) {
  return row.has_value() ? row->Version : 0;
}

leaf::error_id unreadable(std::string key, std::string reason) {
  return leaf::new_error(UnreadableRow{std::move(key), std::move(reason)});
}

/// Parses the JSON of \p row with \p reader. Fails with an UnreadableRow.
template <typename Value, typename Reader>
leaf::result<Value> decode(const TableRow &row, Reader reader) {
  return leaf::try_handle_some(
      [&]() -> leaf::result<Value> {
        return reader(json::parse(row.Value, nullptr, false));
      },
      [&](const fields::FieldError &ec) -> leaf::result<Value> {
        return unreadable(row.Key, fmt::format("{}: {}", ec.Key, ec.Reason));
      });
}

uint64_t revisionIn(const std::optional<TableRow> &row) {
  if (!row.has_value())
    return 0;
  const json object = json::parse(row->Value, nullptr, false);
  return object.is_object() ? object.value("revision", uint64_t{0}) : 0;
}

/// Returns a text that differs between different changes, so that the reuse of
/// a change id is detected.
std::string digestOf(const ProfileChange &change) {
  return fmt::format("{} {} {} {}", changeKindName(change.Kind), change.Name,
                     change.ExpectedRevision,
                     absl::StrFormat("%016x", change.Values.hash()));
}

} // namespace

/// The rows that a change depends on, as read before its transaction.
struct ProfileStore::CurrentRows {
  std::optional<TableRow> Head;
  std::optional<TableRow> Row;
  std::optional<TableRow> Change;
  std::optional<Profile> Current;

  bool exists() const { return Current.has_value() && !Current->Retired; }
};

ProfileStore::ProfileStore(platform::TableService &service) : Table(service) {}

leaf::result<uint64_t> ProfileStore::headRevision() {
  BOOST_LEAF_AUTO(row, Table.read(HeadKey));
  return revisionIn(row);
}

leaf::result<ProfileSet> ProfileStore::snapshot() {
  // The head is read first: rows newer than the head are harmless, while a head
  // newer than the rows would mark changes as applied that weren't read.
  BOOST_LEAF_AUTO(head, headRevision());
  ProfileSet set;
  std::string after;
  while (true) {
    BOOST_LEAF_AUTO(rows, Table.scan(RowPrefix, after, ScanPage));
    for (const TableRow &it : rows) {
      BOOST_LEAF_AUTO(profile, decode<Profile>(it, Profile::fromJson));
      set.apply(profile);
      after = it.Key;
    }
    if (rows.size() < static_cast<size_t>(ScanPage))
      break;
  }
  set.advanceTo(head);
  return set;
}

leaf::result<std::vector<AuditRecord>> ProfileStore::logAfter(uint64_t revision,
                                                              int limit) {
  BOOST_LEAF_AUTO(rows, Table.scan(LogPrefix, logKey(revision), limit));
  std::vector<AuditRecord> records;
  for (const TableRow &it : rows) {
    BOOST_LEAF_AUTO(record, decode<AuditRecord>(it, AuditRecord::fromJson));
    records.push_back(std::move(record));
  }
  return records;
}

leaf::result<ProfileStore::CurrentRows>
ProfileStore::readCurrentRows(const ProfileChange &change) {
  CurrentRows result;
  BOOST_LEAF_ASSIGN(result.Head, Table.read(HeadKey));
  BOOST_LEAF_ASSIGN(result.Row,
                    Table.read(fmt::format("{}{}", RowPrefix, change.Name)));
  // The row of the change id is read last: if an earlier attempt of this change
  // commits between the reads, it must not look like another change.
  BOOST_LEAF_ASSIGN(result.Change, Table.read(fmt::format("{}{}", ChangePrefix,
                                                          change.ChangeId)));
  if (result.Row.has_value()) {
    BOOST_LEAF_ASSIGN(result.Current,
                      decode<Profile>(*result.Row, Profile::fromJson));
  }
  return result;
}

leaf::result<ChangeOutcome> ProfileStore::readConflict(const CurrentRows &rows,
                                                       std::string reason) {
  ChangeConflict result;
  result.Reason = std::move(reason);
  if (!rows.Current.has_value())
    return ChangeOutcome(std::move(result));
  BOOST_LEAF_AUTO(row, Table.read(logKey(rows.Current->Revision)));
  if (row.has_value()) {
    BOOST_LEAF_ASSIGN(result.Against,
                      decode<AuditRecord>(*row, AuditRecord::fromJson));
  }
  return ChangeOutcome(std::move(result));
}

namespace {

/// Returns why \p change conflicts with the current profile, or nothing.
std::optional<std::string> mismatch(const ProfileChange &change, bool exists,
                                    const std::optional<Profile> &current) {
  if (change.Kind == ChangeKind::Create)
    return exists ? std::optional<std::string>("the profile exists already")
                  : std::nullopt;
  if (!exists)
    return "the profile doesn't exist or is retired";
  if (current->Revision != change.ExpectedRevision)
    return fmt::format("the profile is at revision {}, the change expected {}",
                       current->Revision, change.ExpectedRevision);
  return std::nullopt;
}

AuditRecord recordOf(const ProfileChange &change,
                     const std::optional<Profile> &current, uint64_t revision) {
  AuditRecord record;
  record.Revision = revision;
  record.Kind = change.Kind;
  record.Origin = change.Origin;
  record.ChangeId = change.ChangeId;
  record.Findings = change.Findings;
  record.After.Name = change.Name;
  record.After.Revision = revision;
  record.After.Retired = change.Kind == ChangeKind::Retire;
  record.After.Values = record.After.Retired ? current->Values : change.Values;
  const bool isNew = change.Kind == ChangeKind::Create;
  record.Differences =
      differences(isNew ? nullptr : &current->Values, record.After.Values);
  if (record.After.Retired)
    record.Differences.push_back({"retired", false, true});
  return record;
}

/// \p isOutcomeUnknown tells whether the answer to one of the writes was lost.
leaf::error_id tableError(bool isOutcomeUnknown, std::string detail) {
  return leaf::new_error(TableError{isOutcomeUnknown
                                        ? TableFailure::OutcomeUnknown
                                        : TableFailure::Unavailable,
                                    std::move(detail)});
}

} // namespace

leaf::result<ChangeOutcome> ProfileStore::repeated(const ProfileChange &change,
                                                   const TableRow &row) {
  const json before = json::parse(row.Value, nullptr, false);
  const uint64_t revision = revisionIn(row);
  if (before.value("digest", std::string()) != digestOf(change))
    return ChangeOutcome(ChangeIdTaken{revision});
  BOOST_LEAF_AUTO(log, logAfter(revision - 1, 1));
  if (log.empty())
    return unreadable(logKey(revision), "the audit row is missing");
  return ChangeOutcome(ChangeCommitted{log.front().After, true});
}

TableTransaction ProfileStore::transactionFor(const ProfileChange &change,
                                              const CurrentRows &rows,
                                              const AuditRecord &record) {
  const std::string rowKey = fmt::format("{}{}", RowPrefix, change.Name);
  const std::string changeKey =
      fmt::format("{}{}", ChangePrefix, change.ChangeId);
  const std::string headKey(HeadKey);
  const json changeRow = {{"revision", record.Revision},
                          {"digest", digestOf(change)}};
  const json headRow = {{"revision", record.Revision}};
  TableTransaction transaction;
  transaction.Conditions = {{changeKey, 0},
                            {rowKey, versionOf(rows.Row)},
                            {headKey, versionOf(rows.Head)}};
  transaction.Writes = {{changeKey, changeRow.dump()},
                        {rowKey, record.After.toJson().dump()},
                        {logKey(record.Revision), record.toJson().dump()},
                        {headKey, headRow.dump()}};
  return transaction;
}

leaf::result<std::optional<ChangeOutcome>>
ProfileStore::tryOnce(const ProfileChange &change, bool &isOutcomeUnknown) {
  BOOST_LEAF_AUTO(rows, readCurrentRows(change));
  if (rows.Change.has_value()) {
    BOOST_LEAF_AUTO(outcome, repeated(change, *rows.Change));
    return std::optional<ChangeOutcome>(std::move(outcome));
  }
  if (auto reason = mismatch(change, rows.exists(), rows.Current)) {
    BOOST_LEAF_AUTO(outcome, readConflict(rows, *std::move(reason)));
    return std::optional<ChangeOutcome>(std::move(outcome));
  }
  const AuditRecord record =
      recordOf(change, rows.Current, revisionIn(rows.Head) + 1);
  const TableTransaction transaction = transactionFor(change, rows, record);
  BOOST_LEAF_AUTO(outcome, platform::tableOutcome<TableCommit>(
                               [&] { return Table.commit(transaction); }));
  if (!outcome.Done.has_value()) {
    if (outcome.Error.Failure != TableFailure::OutcomeUnknown)
      return leaf::new_error(outcome.Error);
    isOutcomeUnknown = true;
    return std::optional<ChangeOutcome>();
  }
  if (!outcome.Done->Committed)
    return std::optional<ChangeOutcome>();
  return std::optional<ChangeOutcome>(ChangeCommitted{record.After, false});
}

leaf::result<ChangeOutcome> ProfileStore::commit(const ProfileChange &change) {
  bool isOutcomeUnknown = false;
  for (int n = 0; n < MaxCommitTries; ++n) {
    BOOST_LEAF_AUTO(tried,
                    platform::tableOutcome<std::optional<ChangeOutcome>>(
                        [&] { return tryOnce(change, isOutcomeUnknown); }));
    if (!tried.Done.has_value())
      return tableError(isOutcomeUnknown, tried.Error.Detail);
    if (tried.Done->has_value())
      return **std::move(tried.Done);
  }
  return tableError(
      isOutcomeUnknown,
      "every attempt conflicted with another change or got no answer");
}

} // namespace orioletally::core::profiles

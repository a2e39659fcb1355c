#include "core/claims/claim_ledger.h"

#include "core/platform/table_outcome.h"

#include <absl/strings/escaping.h>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace leaf = boost::leaf;

namespace orioletally::core::claims {

namespace {

using nlohmann::json;
using platform::TableCommit;
using platform::TableError;
using platform::TableFailure;
using platform::TableRow;
using platform::TableTransaction;

constexpr std::array<std::string_view, 3> StateNames = {"claimed", "answered",
                                                        "released"};
constexpr int MaxAttempts = 4;

std::string rowKey(const ClaimName &name) {
  // Keys come from callers; hexadecimal prevents them from forming a path.
  return fmt::format("claims/{}/{}", absl::BytesToHexString(name.Workspace),
                     absl::BytesToHexString(name.Key));
}

json rowValue(const ClaimName &name, const std::string &owner,
              const std::string &token, ClaimState state) {
  return {{"state", claimStateName(state)},
          {"owner", owner},
          {"token", token},
          {"call", name.CallDigest}};
}

ClaimAnswer answerFromRow(const json &row) {
  ClaimAnswer answer;
  answer.Status = row.value("status", 0);
  answer.ContentType = row.value("content_type", std::string());
  absl::Base64Unescape(row.value("body", std::string()), &answer.Body);
  return answer;
}

/// Returns the result that follows from the current row; empty when the call
/// may be claimed again.
std::optional<ClaimResult> resultFromRow(const TableRow &found,
                                         const ClaimName &name,
                                         const std::string &token) {
  const json row = json::parse(found.Value, nullptr, false);
  if (!row.is_object())
    return ClaimPending{};
  const std::string state = row.value("state", std::string());
  if (row.value("token", std::string()) == token)
    return ClaimGranted{found.Version};
  if (row.value("call", uint64_t{0}) != name.CallDigest)
    return ClaimKeyReused{};
  if (state == claimStateName(ClaimState::Answered))
    return ClaimAnswered{answerFromRow(row)};
  if (state == claimStateName(ClaimState::Released))
    return std::nullopt;
  return ClaimPending{row.value("owner", std::string())};
}

/// Commits \p transaction. A lost answer sets \p isOutcomeUnknown and is
/// reported as not committed: the caller finds the current owner by reading the
/// row.
leaf::result<TableCommit> commitOrUnknown(platform::TableService &table,
                                          const TableTransaction &transaction,
                                          bool &isOutcomeUnknown) {
  BOOST_LEAF_AUTO(outcome, platform::tableOutcome<TableCommit>(
                               [&] { return table.commit(transaction); }));
  if (outcome.Done.has_value())
    return *outcome.Done;
  if (outcome.Error.Failure != TableFailure::OutcomeUnknown)
    return leaf::new_error(outcome.Error);
  isOutcomeUnknown = true;
  return TableCommit{};
}

} // namespace

std::string_view claimStateName(ClaimState state) {
  return StateNames[static_cast<size_t>(state)];
}

ClaimLedger::ClaimLedger(platform::TableService &service) : Table(service) {}

leaf::result<ClaimResult> ClaimLedger::claim(const ClaimName &name,
                                             const std::string &owner,
                                             const std::string &token) {
  const std::string key = rowKey(name);
  const std::string value =
      rowValue(name, owner, token, ClaimState::Claimed).dump();
  uint64_t version = 0;
  bool isOutcomeUnknown = false;
  for (int n = 0; n < MaxAttempts; ++n) {
    TableTransaction transaction;
    transaction.Conditions = {{key, version}};
    transaction.Writes = {{key, value}};
    BOOST_LEAF_AUTO(commit,
                    commitOrUnknown(Table, transaction, isOutcomeUnknown));
    if (commit.Committed)
      return ClaimResult(ClaimGranted{commit.Version});
    BOOST_LEAF_AUTO(found, Table.read(key));
    version = 0;
    if (!found.has_value())
      continue;
    if (auto result = resultFromRow(*found, name, token))
      return *std::move(result);
    version = found->Version;
  }
  return leaf::new_error(TableError{
      isOutcomeUnknown ? TableFailure::OutcomeUnknown
                       : TableFailure::Unavailable,
      "every attempt to claim the call conflicted or got no answer"});
}

leaf::result<void> ClaimLedger::recordAnswer(const ClaimName &name,
                                             const std::string &owner,
                                             const std::string &token,
                                             const ClaimGranted &granted,
                                             const ClaimAnswer &answer) {
  json row = rowValue(name, owner, token, ClaimState::Answered);
  row["status"] = answer.Status;
  row["content_type"] = answer.ContentType;
  row["body"] = absl::Base64Escape(answer.Body);
  return replace(name, granted, row.dump());
}

leaf::result<void> ClaimLedger::release(const ClaimName &name,
                                        const std::string &owner,
                                        const std::string &token,
                                        const ClaimGranted &granted) {
  return replace(name, granted,
                 rowValue(name, owner, token, ClaimState::Released).dump());
}

leaf::result<void> ClaimLedger::replace(const ClaimName &name,
                                        const ClaimGranted &granted,
                                        std::string value) {
  TableTransaction transaction;
  const std::string key = rowKey(name);
  transaction.Conditions = {{key, granted.Version}};
  transaction.Writes = {{key, std::move(value)}};
  BOOST_LEAF_CHECK(Table.commit(transaction));
  return {};
}

bool maySend(absl::Time claimRequestedAt, absl::Duration maxAge,
             absl::Time deadline, absl::Time now) {
  return now - claimRequestedAt <= maxAge && now < deadline;
}

} // namespace orioletally::core::claims

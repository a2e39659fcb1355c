#include "drivers/gateway/profile_changes.h"

#include "drivers/clock/clock.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::gateway {

namespace {

using core::errors::ErrorCode;
using core::errors::RequestErrorBuilder;
using core::errors::RunState;
using core::membership::AgedMember;
using core::membership::MemberStatus;
using core::membership::MemberView;
using core::membership::ProfileRecords;
using core::platform::TableError;
using core::platform::TableFailure;
using core::profiles::ChangeCommitted;
using core::profiles::ChangeConflict;
using core::profiles::ChangeOutcome;
using core::profiles::ProfileChange;
using core::profiles::UnreadableRow;

constexpr int64_t TableRetryMs = 2000;
/// Pause before the change is sent again, directly, to nodes that haven't
/// confirmed it.
constexpr absl::Duration ResendPause = absl::Milliseconds(200);
constexpr size_t MaxResendTargets = 16;

ChangeRefused refused(const RequestErrorBuilder &error) {
  return {error.build(), std::nullopt};
}

ChangeRefused tableFailed(const TableError &ec) {
  const bool isUnknown = ec.Failure == TableFailure::OutcomeUnknown;
  return refused(
      RequestErrorBuilder(
          ErrorCode::PlatformUnavailable,
          isUnknown ? "the change may have taken effect; repeat it with the "
                      "same change id to find out"
                    : "the table service can't be reached; nothing changed")
          .run(isUnknown ? RunState::Unknown : RunState::NotRun)
          .rule("a change needs the table service")
          .retryAfterMs(TableRetryMs));
}

} // namespace

ProfileChanges::ProfileChanges(core::platform::TableService &table,
                               ProfileSync &sync, peer::PeerService &peers)
    : Store(table), Sync(sync), Peers(peers) {}

void ProfileChanges::setListedEntryNodes(std::vector<std::string> names) {
  const std::lock_guard lock(Guard);
  ListedNodes = std::move(names);
}

std::vector<std::string> ProfileChanges::waitingFor(uint64_t revision) const {
  const absl::Time now = clock::steadyNow();
  std::vector<AgedMember> members;
  for (const MemberView &it : Peers.members())
    members.push_back({it, Peers.statusAge(it.Info.Name, now)});
  const std::lock_guard lock(Guard);
  return core::membership::unconfirmedNodes(revision, Peers.self().Name,
                                            members, ListedNodes);
}

std::optional<ChangeRefused>
ProfileChanges::checkPeerVersions(const ProfileChange &change) const {
  if (change.Kind == core::profiles::ChangeKind::Retire)
    return std::nullopt;
  const uint64_t localHash = Peers.self().FieldsHash;
  for (const MemberView &it : Peers.members()) {
    const bool isServing =
        it.Status == MemberStatus::Alive || it.Status == MemberStatus::Suspect;
    if (!isServing || it.Info.FieldsHash == localHash)
      continue;
    return refused(
        RequestErrorBuilder(
            ErrorCode::Conflict,
            fmt::format(
                "entry node {} runs a version with different profile fields",
                it.Info.Name))
            .rule("a change must be readable by every entry node")
            .retryAfterMs(TableRetryMs));
  }
  return std::nullopt;
}

ChangeReply ProfileChanges::apply(const ProfileChange &change,
                                  absl::Duration timeout) {
  if (auto refusal = checkPeerVersions(change))
    return *std::move(refusal);
  return leaf::try_handle_all(
      [&]() -> leaf::result<ChangeReply> {
        BOOST_LEAF_AUTO(outcome, Store.commit(change));
        if (const auto *done = std::get_if<ChangeCommitted>(&outcome))
          return waitForConfirmations(*done, timeout);
        if (const auto *conflict = std::get_if<ChangeConflict>(&outcome))
          return conflictReply(*conflict);
        return ChangeReply(
            refused(RequestErrorBuilder(
                        ErrorCode::Conflict,
                        "the change id was already used for another change")
                        .rule("change id")));
      },
      [](const TableError &ec) { return ChangeReply(tableFailed(ec)); },
      [](const UnreadableRow &row) {
        return ChangeReply(refused(RequestErrorBuilder(
            ErrorCode::Internal,
            fmt::format("{} can't be read: {}", row.Key, row.Reason))));
      },
      [] {
        return ChangeReply(
            refused(RequestErrorBuilder(
                        ErrorCode::Internal,
                        "unexpected failure; the change may have taken effect")
                        .run(RunState::Unknown)));
      });
}

ChangeReply ProfileChanges::waitForConfirmations(const ChangeCommitted &outcome,
                                                 absl::Duration timeout) {
  const uint64_t revision = outcome.After.Revision;
  Sync.applyCommitted(outcome.After);
  ProfileRecords records;
  records.After = revision - 1;
  records.CompleteTo = revision;
  records.Profiles = {outcome.After.toJson().dump()};
  records.ConfirmTo = Peers.address();
  Peers.gossipProfiles(records);

  const absl::Time deadline = clock::steadyNow() + timeout;
  absl::Time resendAt = clock::steadyNow() + ResendPause;
  std::vector<std::string> waiting = waitingFor(revision);
  while (!waiting.empty()) {
    const absl::Time now = clock::steadyNow();
    if (now >= deadline)
      break;
    if (now >= resendAt) {
      resendAt = now + ResendPause;
      std::vector<std::string> targets = waiting;
      targets.resize(std::min(targets.size(), MaxResendTargets));
      Peers.sendTo(targets, records);
    }
    Peers.waitForUpdates(std::min(resendAt, deadline) - now);
    waiting = waitingFor(revision);
  }
  return ChangeApplied{outcome.After, outcome.Repeated, std::move(waiting)};
}

ChangeReply ProfileChanges::conflictReply(const ChangeConflict &outcome) {
  ChangeRefused result;
  const bool isKnown = outcome.Against.Revision > 0;
  std::string message = outcome.Reason;
  if (isKnown)
    message +=
        fmt::format("; the current version was written by {} at {}",
                    outcome.Against.Origin.Operator, outcome.Against.Origin.At);
  result.Error =
      RequestErrorBuilder(ErrorCode::PreconditionFailed, std::move(message))
          .rule("a change names the revision it was made from")
          .build();
  if (isKnown)
    result.ConflictingRecord = outcome.Against;
  return result;
}

} // namespace orioletally::drivers::gateway

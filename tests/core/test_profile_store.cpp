#include "core/profiles/profile_store.h"
#include "tests/support/fake_table.h"
#include "tests/support/request_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace orioletally;
using namespace orioletally::core::profiles;
using core::platform::TableError;
using core::platform::TableFailure;
using tests::FakeTable;
using tests::TableFault;
namespace leaf = boost::leaf;

namespace {

ProfileChange changeOf(ChangeKind kind, uint64_t expected,
                       const std::string &id, int64_t deadlineMs = 5000) {
  ProfileChange change;
  change.Kind = kind;
  change.Name = "p";
  change.ExpectedRevision = expected;
  change.ChangeId = id;
  change.Values = tests::profileWith({{"deadline_ms", deadlineMs}}).Values;
  change.Origin.Operator = id;
  return change;
}

/// Commits \p change and describes the outcome, with the revision if there is
/// one and the operator of a conflicting change.
std::string outcomeOf(FakeTable &table, const ProfileChange &change) {
  ProfileStore store(table);
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(outcome, store.commit(change));
        if (const auto *done = std::get_if<ChangeCommitted>(&outcome))
          return (done->Repeated ? "repeated " : "committed ") +
                 std::to_string(done->After.Revision);
        if (const auto *conflict = std::get_if<ChangeConflict>(&outcome))
          return "conflict with " + conflict->Against.Origin.Operator;
        return std::string("id taken");
      },
      [](const TableError &ec) {
        return std::string(ec.Failure == TableFailure::OutcomeUnknown
                               ? "unknown"
                               : "unavailable");
      },
      [] { return std::string("?"); });
}

uint64_t headRevisionOf(FakeTable &table) {
  ProfileStore store(table);
  return leaf::try_handle_all([&] { return store.headRevision(); },
                              [] { return uint64_t{999}; });
}

} // namespace

TEST_GROUP(ProfileStore) { FakeTable table; };

TEST(ProfileStore, ConflictNamesTheOperatorOfTheCommittedChange) {
  outcomeOf(table, changeOf(ChangeKind::Create, 0, "asha"));
  STRCMP_EQUAL(
      "committed 2",
      outcomeOf(table, changeOf(ChangeKind::Change, 1, "ben", 6000)).c_str());
  STRCMP_EQUAL(
      "conflict with ben",
      outcomeOf(table, changeOf(ChangeKind::Change, 1, "carla", 7000)).c_str());
}

TEST(ProfileStore, RetryUnderTheSameIdFindsTheFirstOutcome) {
  const ProfileChange change = changeOf(ChangeKind::Create, 0, "c1");
  STRCMP_EQUAL("committed 1", outcomeOf(table, change).c_str());
  STRCMP_EQUAL("repeated 1", outcomeOf(table, change).c_str());
  STRCMP_EQUAL(
      "id taken",
      outcomeOf(table, changeOf(ChangeKind::Create, 0, "c1", 9000)).c_str());
  LONGS_EQUAL(1, headRevisionOf(table));
}

TEST(ProfileStore, LostAnswerIsResolvedByReadingBack) {
  int commits = 0;
  table.Fault = [&](const std::string &call) {
    return call == "commit" && ++commits == 1 ? TableFault::LoseReply
                                              : TableFault::None;
  };
  STRCMP_EQUAL("repeated 1",
               outcomeOf(table, changeOf(ChangeKind::Create, 0, "c1")).c_str());
  LONGS_EQUAL(1, headRevisionOf(table));
}

TEST(ProfileStore, OutageAfterALostAnswerLeavesTheOutcomeUnknown) {
  bool hasLostReply = false;
  table.Fault = [&](const std::string &call) {
    if (hasLostReply)
      return TableFault::FailBefore;
    hasLostReply = call == "commit";
    return hasLostReply ? TableFault::LoseReply : TableFault::None;
  };
  const ProfileChange change = changeOf(ChangeKind::Create, 0, "c1");
  STRCMP_EQUAL("unknown", outcomeOf(table, change).c_str());
  table.Fault = nullptr;
  STRCMP_EQUAL("repeated 1", outcomeOf(table, change).c_str());
}

TEST(ProfileStore, OutageBeforeAnyWriteChangedNothing) {
  table.Fault = [](const std::string &) { return TableFault::FailBefore; };
  STRCMP_EQUAL("unavailable",
               outcomeOf(table, changeOf(ChangeKind::Create, 0, "c1")).c_str());
  table.Fault = nullptr;
  LONGS_EQUAL(0, headRevisionOf(table));
}

TEST(ProfileStore, ConcurrentChangeOfAnotherProfileIsNoConflict) {
  bool hasCommittedOther = false;
  table.Fault = [&](const std::string &call) {
    if (call != "commit" || hasCommittedOther)
      return TableFault::None;
    hasCommittedOther = true;
    ProfileChange other = changeOf(ChangeKind::Create, 0, "other");
    other.Name = "q";
    outcomeOf(table, other);
    return TableFault::None;
  };
  STRCMP_EQUAL("committed 2",
               outcomeOf(table, changeOf(ChangeKind::Create, 0, "c1")).c_str());
}

TEST(ProfileStore, RetiredProfileLeavesATombstoneAndCanBeRecreated) {
  outcomeOf(table, changeOf(ChangeKind::Create, 0, "c1"));
  outcomeOf(table, changeOf(ChangeKind::Retire, 1, "c2"));
  STRCMP_EQUAL("conflict with c2",
               outcomeOf(table, changeOf(ChangeKind::Change, 1, "c3")).c_str());
  ProfileStore store(table);
  const ProfileSet set = leaf::try_handle_all([&] { return store.snapshot(); },
                                              [] { return ProfileSet(); });
  CHECK(set.find("p") == nullptr);
  CHECK(set.findAny("p")->Retired);
  STRCMP_EQUAL("committed 3",
               outcomeOf(table, changeOf(ChangeKind::Create, 0, "c4")).c_str());
}

TEST(ProfileStore, StaleCopyDoesNotRestoreARetiredProfile) {
  Profile live = tests::profileWith();
  live.Revision = 4;
  Profile retired = live;
  retired.Revision = 5;
  retired.Retired = true;
  ProfileSet set;
  CHECK(set.apply(retired));
  CHECK_FALSE(set.apply(live));
  CHECK(set.find("test") == nullptr);
}

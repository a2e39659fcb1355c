#include "core/fleet/backend_directory.h"
#include "drivers/clock/clock.h"
#include "tests/support/request_fixture.h"

#include <algorithm>
#include <string>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally::core::fleet;
using orioletally::tests::at;

namespace {

BackendEntry entry(const std::string &id, uint64_t rowVersion,
                   bool leaving = false, int64_t startedAtMs = 1) {
  BackendEntry result;
  result.Id = id;
  result.Service = "s";
  result.Address = "10.0.0.1:1";
  result.RowVersion = rowVersion;
  result.Leaving = leaving;
  result.StartedAtMs = startedAtMs;
  return result;
}

BackendChange removal(const std::string &id, uint64_t rowVersion) {
  BackendChange change;
  change.Entry.Id = id;
  change.Entry.RowVersion = rowVersion;
  change.Removed = true;
  return change;
}

} // namespace

TEST_GROUP(BackendDirectory) {
  BackendDirectory directory;

  size_t usableCount(absl::Time now) {
    return directory.usable("s", now).size();
  }
};

TEST(BackendDirectory, LeavingBackendServerGetsNoNewWork) {
  directory.put(entry("a", 1), at(0));
  LONGS_EQUAL(1, usableCount(at(0)));
  CHECK(directory.put(entry("a", 2, true), at(1)) == DirectoryChange::Leaving);
  LONGS_EQUAL(0, usableCount(at(1)));
}

// 25 ms on a VM that has 0.12 of a core; sanitizers take many times as long.
TEST(BackendDirectory, ThreeHundredChangesAtOnceTakeThreeMilliseconds) {
  constexpr int Servers = 300;
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  constexpr absl::Duration MaxTime = 20 * absl::Milliseconds(3);
#else
  constexpr absl::Duration MaxTime = absl::Milliseconds(3);
#endif
  const auto change = [](int n, uint64_t version, int64_t startedAtMs) {
    BackendChange result;
    result.Entry = entry(std::to_string(n), version, false, startedAtMs);
    return result;
  };
  absl::Duration least = absl::InfiniteDuration();
  for (uint64_t round = 1; round <= 3; ++round) {
    const absl::Duration before =
        orioletally::drivers::clock::threadProcessorTime();
    {
      const BackendDirectory::Batch batch(directory);
      for (int n = 0; n < Servers; ++n)
        directory.apply(change(n, round, static_cast<int64_t>(round)),
                        ChangeSource::Store, at(0));
    }
    least = std::min(least, orioletally::drivers::clock::threadProcessorTime() -
                                before);
    LONGS_EQUAL(Servers, usableCount(at(0)));
  }
  CHECK(least <= MaxTime);
}

TEST(BackendDirectory, IgnoresAnOlderRowVersion) {
  directory.put(entry("a", 5, true), at(0));
  CHECK(directory.put(entry("a", 4), at(1)) == DirectoryChange::None);
  LONGS_EQUAL(0, usableCount(at(1)));
}

TEST(BackendDirectory, AppliesARemovalAtOnceWhileTheListIsAvailable) {
  directory.put(entry("a", 1), at(0));
  CHECK(directory.remove("a", at(1)) == DirectoryChange::Gone);
  LONGS_EQUAL(0, usableCount(at(1)));
}

TEST(BackendDirectory, KeepsEntriesThatExpireInAnOutageUntilTheRelistTimeout) {
  directory.put(entry("a", 1), at(0));
  directory.put(entry("b", 1), at(0));
  directory.setListUnavailable(at(10'000));
  directory.setListAvailable(at(20'000));
  directory.remove("a", at(20'050));
  directory.remove("b", at(20'050));
  LONGS_EQUAL(2, usableCount(at(20'060)));
  directory.put(entry("a", 7), at(21'000));
  LONGS_EQUAL(1, usableCount(at(22'301)));
  STRCMP_EQUAL("a", directory.usable("s", at(22'301))[0]->Entry.Id.c_str());
}

TEST(BackendDirectory, OutageDoesNotBringBackALeavingBackendServer) {
  directory.put(entry("a", 1, true), at(0));
  directory.setListUnavailable(at(10));
  directory.setListAvailable(at(20));
  directory.remove("a", at(30));
  LONGS_EQUAL(0, usableCount(at(31)));
}

TEST(BackendDirectory, RestartUnderTheSameIdResetsItsHealth) {
  directory.put(entry("a", 1), at(0));
  const auto before = directory.find("a");
  before->Health.observe(HealthSignal::Lost, at(0));
  CHECK(directory.put(entry("a", 2, false, 99), at(1)) ==
        DirectoryChange::Restarted);
  CHECK(directory.find("a") != before);
  CHECK(directory.find("a")->Health.acceptsCalls(at(1)));
}

TEST(BackendDirectory, ReplacingTheListDropsMissingEntries) {
  directory.put(entry("a", 1), at(0));
  directory.put(entry("b", 1), at(0));
  directory.replace({entry("b", 3), entry("c", 4)}, at(5));
  LONGS_EQUAL(2, usableCount(at(5)));
  CHECK(directory.find("a") == nullptr);
}

TEST(BackendDirectory, MarkLeavingReportsAChangeOnce) {
  directory.put(entry("a", 1), at(0));
  CHECK(directory.markLeaving("a"));
  CHECK_FALSE(directory.markLeaving("a"));
  CHECK_FALSE(directory.markLeaving("unknown"));
  LONGS_EQUAL(0, usableCount(at(0)));
}

// The store came back from a copy, and a leaving backend server got calls.
TEST(BackendDirectory, CopyOfTheListRevivesNoBackendServerThatSaidItLeaves) {
  directory.put(entry("a", 1, false, 7), at(0));
  CHECK(directory.markLeaving("a"));
  directory.remove("a", at(1'000));
  directory.put(entry("a", 9, false, 7), at(4'000));
  LONGS_EQUAL(0, usableCount(at(4'000)));
  LONGS_EQUAL(1, directory.leaving().size());
  directory.put(entry("a", 10, false, 8), at(5'000));
  LONGS_EQUAL(1, usableCount(at(5'000)));
}

// Its last answers arrive after its entry is gone.
TEST(BackendDirectory, RemembersWhoSaidItLeavesAfterItsEntryWasGone) {
  directory.put(entry("a", 1, false, 7), at(0));
  directory.remove("a", at(1'000));
  CHECK_FALSE(directory.markLeaving(entry("a", 1, false, 7), at(1'100)));
  directory.put(entry("a", 9, false, 7), at(4'000));
  LONGS_EQUAL(0, usableCount(at(4'000)));
  directory.put(entry("a", 10, false, 8), at(5'000));
  CHECK_FALSE(directory.markLeaving(entry("a", 1, false, 7), at(5'100)));
  LONGS_EQUAL(1, usableCount(at(5'100)));
}

TEST(BackendDirectory, CopyOfTheListRevivesNoDrainingBackendServer) {
  for (const bool isRemoved : {false, true}) {
    BackendDirectory listed;
    listed.put(entry("a", 1, false, 7), at(0));
    listed.put(entry("a", 2, true, 7), at(100));
    if (isRemoved)
      listed.remove("a", at(1'000));
    listed.replace({entry("a", 9, false, 7), entry("b", 9)}, at(4'000));
    LONGS_EQUAL(1, listed.usable("s", at(4'000)).size());
    listed.put(entry("a", 10, false, 8), at(5'000));
    LONGS_EQUAL(2, listed.usable("s", at(5'000)).size());
  }
}

TEST(BackendDirectory, EntryThatOnlyExpiredIsUsedAgain) {
  directory.put(entry("a", 1, false, 7), at(0));
  directory.remove("a", at(1'000));
  directory.put(entry("a", 9, false, 7), at(4'000));
  LONGS_EQUAL(1, usableCount(at(4'000)));
}

TEST(BackendDirectory, OrderPositionIsIndependentOfInsertionOrder) {
  BackendDirectory other;
  for (const char *id : {"a", "b", "c", "d"})
    directory.put(entry(id, 1), at(0));
  for (const char *id : {"d", "b", "a", "c"})
    other.put(entry(id, 1), at(0));
  for (const char *id : {"a", "b", "c", "d"})
    DOUBLES_EQUAL(directory.find(id)->OrderPosition,
                  other.find(id)->OrderPosition, 0);
}

TEST(BackendDirectory, AppliesARemovalFromAnotherNodeDuringAnOutage) {
  // The store rejects this node but serves the others, so a removal that they
  // report isn't an entry that expired in an outage.
  directory.put(entry("a", 1), at(0));
  directory.put(entry("b", 1), at(0));
  directory.setListUnavailable(at(10'000));
  BackendChange change = removal("a", 7);
  CHECK(directory.apply(change, ChangeSource::Node, at(12'000)) ==
        DirectoryChange::Gone);
  LONGS_EQUAL(1, usableCount(at(12'000)));
  // An entry that the other node keeps for a while is kept here as long.
  change.Entry.Id = "b";
  change.ExpiresIn = absl::Milliseconds(700);
  CHECK(directory.apply(change, ChangeSource::Node, at(12'000)) ==
        DirectoryChange::Changed);
  LONGS_EQUAL(1, usableCount(at(12'699)));
  LONGS_EQUAL(0, usableCount(at(12'700)));
}

TEST(BackendDirectory, AppliesARemovalFromAnotherNodeAtOnceAfterAnOutage) {
  // Only this node had lost the store. It delays the removal that the store
  // reports, and immediately applies the one that the other node reports.
  directory.put(entry("a", 1), at(0));
  directory.setListUnavailable(at(10'000));
  directory.setListAvailable(at(20'000));
  BackendChange change = removal("a", 7);
  CHECK(directory.apply(change, ChangeSource::Store, at(20'200)) ==
        DirectoryChange::Changed);
  LONGS_EQUAL(1, usableCount(at(20'200)));
  CHECK(directory.apply(change, ChangeSource::Node, at(20'210)) ==
        DirectoryChange::Gone);
  LONGS_EQUAL(0, usableCount(at(20'210)));
}

TEST(BackendDirectory, IgnoresARemovalThatIsOlderThanTheEntry) {
  directory.put(entry("a", 1), at(0));
  BackendChange change = removal("a", 7);
  BackendEntry relisted = entry("a", 1);
  relisted.RowVersion = 9;
  directory.put(relisted, at(100));
  CHECK(directory.apply(change, ChangeSource::Node, at(200)) ==
        DirectoryChange::None);
  LONGS_EQUAL(1, usableCount(at(200)));
}

TEST(BackendDirectory, DelaysARemovalFromTheStoreAfterAnOutage) {
  directory.put(entry("a", 1), at(0));
  directory.setListUnavailable(at(10'000));
  directory.setListAvailable(at(20'000));
  BackendChange change;
  change.Entry.Id = "a";
  change.Removed = true;
  CHECK(directory.apply(change, ChangeSource::Store, at(20'050)) ==
        DirectoryChange::Changed);
  LONGS_EQUAL(1, usableCount(at(20'060)));
}

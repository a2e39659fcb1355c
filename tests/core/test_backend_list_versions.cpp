#include "core/fleet/backend_list_versions.h"

#include <CppUTest/TestHarness.h>

using orioletally::core::fleet::BackendListVersions;

TEST_GROUP(BackendListVersions) { BackendListVersions versions; };

TEST(BackendListVersions, RejectsASnapshotOlderThanAppliedChanges) {
  CHECK(versions.acceptSnapshot(20, 10));
  // Another node passes a change on while a second read is on its way.
  CHECK(versions.canApplyAfter(10));
  versions.recordApplied(30);
  CHECK_FALSE(versions.acceptSnapshot(25, 10));
  LONGS_EQUAL(30, versions.appliedVersion());
  CHECK(versions.acceptSnapshot(31, 30));
}

TEST(BackendListVersions, SnapshotVersionMayExceedTheNewestChange) {
  CHECK(versions.acceptSnapshot(25, 10));
  LONGS_EQUAL(10, versions.newestChange());
  // The next change of the store follows the last change, not the read.
  LONGS_EQUAL(10, versions.advanceStore(30));
  versions.recordApplied(30);
  BackendListVersions other;
  CHECK(other.acceptSnapshot(15, 10));
  CHECK(other.canApplyAfter(10));
}

TEST(BackendListVersions, DetectsMissingChanges) {
  CHECK(versions.acceptSnapshot(15, 10));
  CHECK(versions.canApplyAfter(12));
  CHECK_FALSE(versions.canApplyAfter(20));
}

TEST(BackendListVersions, AppliesOverlappingBatchesOnce) {
  CHECK(versions.acceptSnapshot(10, 10));
  // One node tells of 11 and 12 at once, another of 11, then of 12.
  CHECK(versions.canApplyAfter(10) && versions.isNew(11) && versions.isNew(12));
  versions.recordApplied(12);
  CHECK_FALSE(versions.isNew(11));
  CHECK(versions.canApplyAfter(11));
  CHECK_FALSE(versions.isNew(12));
}

TEST(BackendListVersions, StoreChangesFollowTheLastChangeFromTheStore) {
  CHECK(versions.acceptSnapshot(10, 10));
  // Other nodes were faster.
  versions.recordApplied(12);
  // What this node passes on helps those that the others' news didn't reach.
  LONGS_EQUAL(10, versions.advanceStore(11));
  LONGS_EQUAL(11, versions.advanceStore(12));
}

#include "core/fleet/backend_list_versions.h"

#include <CppUTest/TestHarness.h>

using orioletally::core::fleet::BackendListVersions;

TEST_GROUP(BackendListVersions) { BackendListVersions versions; };

TEST(BackendListVersions, RejectsASnapshotOlderThanAppliedChanges) {
  CHECK(versions.acceptSnapshot(20, 10));
  // Another node forwards a change while a second snapshot is in transit.
  CHECK(versions.canApplyAfter(10));
  versions.recordApplied(30);
  CHECK_FALSE(versions.acceptSnapshot(25, 10));
  LONGS_EQUAL(30, versions.appliedVersion());
  CHECK(versions.acceptSnapshot(31, 30));
}

TEST(BackendListVersions, SnapshotVersionMayExceedTheNewestChange) {
  CHECK(versions.acceptSnapshot(25, 10));
  LONGS_EQUAL(10, versions.newestChange());
  // The store's next change follows the newest row, not the snapshot.
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
  // One node forwards 11 and 12 in one batch, another 11 and then 12.
  CHECK(versions.canApplyAfter(10) && versions.isNew(11) && versions.isNew(12));
  versions.recordApplied(12);
  CHECK_FALSE(versions.isNew(11));
  CHECK(versions.canApplyAfter(11));
  CHECK_FALSE(versions.isNew(12));
}

TEST(BackendListVersions, StoreChangesFollowTheLastChangeFromTheStore) {
  CHECK(versions.acceptSnapshot(10, 10));
  // Other nodes forward the changes before the store reports them.
  versions.recordApplied(12);
  // This node still forwards them, for nodes that the others didn't reach.
  LONGS_EQUAL(10, versions.advanceStore(11));
  LONGS_EQUAL(11, versions.advanceStore(12));
}

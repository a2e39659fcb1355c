#include "core/fleet/backend_list_versions.h"

#include <CppUTest/TestHarness.h>

using orioletally::core::fleet::BackendListVersions;

TEST_GROUP(BackendListVersions) { BackendListVersions position; };

TEST(BackendListVersions, AWholeReadOlderThanWhatIsKnownIsLeft) {
  CHECK(position.acceptSnapshot(20, 10));
  // Another node passes a change on while a second read is on its way.
  CHECK(position.canApplyAfter(10));
  position.recordApplied(30);
  CHECK_FALSE(position.acceptSnapshot(25, 10));
  LONGS_EQUAL(30, position.appliedVersion());
  CHECK(position.acceptSnapshot(31, 30));
}

TEST(BackendListVersions, AReadIsNewerThanTheLastChangeButOthersNeedNotBe) {
  CHECK(position.acceptSnapshot(25, 10));
  LONGS_EQUAL(10, position.newestChange());
  // The next change of the store follows the last change, not the read.
  LONGS_EQUAL(10, position.advanceStore(30));
  position.recordApplied(30);
  BackendListVersions other;
  CHECK(other.acceptSnapshot(15, 10));
  CHECK(other.canApplyAfter(10));
}

TEST(BackendListVersions, AGapIsSeen) {
  CHECK(position.acceptSnapshot(15, 10));
  CHECK(position.canApplyAfter(12));
  CHECK_FALSE(position.canApplyAfter(20));
}

TEST(BackendListVersions, BatchesOfSeveralNodesCutInDifferentPlacesCountOnce) {
  CHECK(position.acceptSnapshot(10, 10));
  // One node tells of 11 and 12 at once, another of 11, then of 12.
  CHECK(position.canApplyAfter(10) && position.isNew(11) && position.isNew(12));
  position.recordApplied(12);
  CHECK_FALSE(position.isNew(11));
  CHECK(position.canApplyAfter(11));
  CHECK_FALSE(position.isNew(12));
}

TEST(BackendListVersions, WhatTheStoreTellsFollowsItsOwnLastChange) {
  CHECK(position.acceptSnapshot(10, 10));
  // Other nodes were faster.
  position.recordApplied(12);
  // What this node passes on helps those that the others' news didn't reach.
  LONGS_EQUAL(10, position.advanceStore(11));
  LONGS_EQUAL(11, position.advanceStore(12));
}

#include "core/fleet/list_position.h"

#include <CppUTest/TestHarness.h>

using orioletally::core::fleet::ListPosition;

TEST_GROUP(ListPosition) { ListPosition position; };

TEST(ListPosition, AWholeReadOlderThanWhatIsKnownIsLeft) {
  CHECK(position.readWhole(20, 10));
  // Another node passes a change on while a second read is on its way.
  CHECK(position.canTake(10));
  position.took(30);
  CHECK_FALSE(position.readWhole(25, 10));
  LONGS_EQUAL(30, position.knownTo());
  CHECK(position.readWhole(31, 30));
}

TEST(ListPosition, AReadIsNewerThanTheLastChangeButOthersNeedNotBe) {
  CHECK(position.readWhole(25, 10));
  LONGS_EQUAL(10, position.changedAt());
  // The next change of the store follows the last change, not the read.
  LONGS_EQUAL(10, position.fed(30));
  position.took(30);
  ListPosition other;
  CHECK(other.readWhole(15, 10));
  CHECK(other.canTake(10));
}

TEST(ListPosition, AGapIsSeen) {
  CHECK(position.readWhole(15, 10));
  CHECK(position.canTake(12));
  CHECK_FALSE(position.canTake(20));
}

TEST(ListPosition, BatchesOfSeveralNodesCutInDifferentPlacesCountOnce) {
  CHECK(position.readWhole(10, 10));
  // One node tells of 11 and 12 at once, another of 11, then of 12.
  CHECK(position.canTake(10) && position.isNew(11) && position.isNew(12));
  position.took(12);
  CHECK_FALSE(position.isNew(11));
  CHECK(position.canTake(11));
  CHECK_FALSE(position.isNew(12));
}

TEST(ListPosition, WhatTheStoreTellsFollowsItsOwnLastChange) {
  CHECK(position.readWhole(10, 10));
  // Other nodes were faster.
  position.took(12);
  // What this node passes on helps those that the others' news didn't reach.
  LONGS_EQUAL(10, position.fed(11));
  LONGS_EQUAL(11, position.fed(12));
}

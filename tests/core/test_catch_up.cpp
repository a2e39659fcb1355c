#include "core/fleet/catch_up.h"
#include "tests/support/request_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace orioletally::core::fleet;
using orioletally::tests::at;

namespace {

CatchUpDelays delays() {
  CatchUpDelays result;
  result.ReadDelay = absl::ZeroDuration();
  result.AskPeerDelay = absl::Milliseconds(700);
  return result;
}

} // namespace

TEST_GROUP(CatchUp) { CatchUp catchUp{delays()}; };

TEST(CatchUp, ReadsTheStoreOnceForManyReportsOfAChange) {
  int reads = 0;
  int peerRequests = 0;
  // 28 nodes of a cell report the change within 100 ms, again and again.
  for (int ms = 0; ms < 650; ++ms)
    switch (catchUp.stepFor(1, 2, false, at(ms))) {
    case CatchUpStep::ReadStore:
      ++reads;
      break;
    case CatchUpStep::AskPeer:
      ++peerRequests;
      break;
    case CatchUpStep::None:
      break;
    }
  LONGS_EQUAL(1, reads);
  LONGS_EQUAL(0, peerRequests);
}

TEST(CatchUp, AsksOnePeerIfTheStoreDoesNotAnswer) {
  CHECK(catchUp.stepFor(1, 2, false, at(0)) == CatchUpStep::ReadStore);
  CHECK(catchUp.stepFor(1, 2, false, at(699)) == CatchUpStep::None);
  CHECK(catchUp.stepFor(1, 2, false, at(700)) == CatchUpStep::ReadStore);
  CHECK(catchUp.stepFor(1, 2, false, at(701)) == CatchUpStep::AskPeer);
  CHECK(catchUp.stepFor(1, 2, false, at(702)) == CatchUpStep::None);
}

TEST(CatchUp, WatcherWaitsForTheStoreBeforeItCatchesUp) {
  CHECK(catchUp.stepFor(1, 2, true, at(0)) == CatchUpStep::None);
  CHECK(catchUp.stepFor(1, 2, true, at(699)) == CatchUpStep::None);
  CHECK(catchUp.stepFor(1, 2, true, at(700)) == CatchUpStep::AskPeer);
  // The long poll of its watch must be hanging by now.
  CHECK(catchUp.stepFor(1, 2, true, at(1'500)) == CatchUpStep::ReadStore);
}

TEST(CatchUp, DelaysStartAnewAfterCatchingUp) {
  CHECK(catchUp.stepFor(1, 2, false, at(0)) == CatchUpStep::ReadStore);
  CHECK(catchUp.stepFor(2, 2, false, at(50)) == CatchUpStep::None);
  CHECK(catchUp.stepFor(2, 3, true, at(5'000)) == CatchUpStep::None);
  CHECK(catchUp.stepFor(2, 3, true, at(5'700)) == CatchUpStep::AskPeer);
}

TEST(CatchUp, IgnoresVersionsThatAreNotNewer) {
  CHECK(catchUp.stepFor(5, 4, false, at(0)) == CatchUpStep::None);
  CHECK(catchUp.stepFor(0, 0, false, at(0)) == CatchUpStep::None);
}

#include "core/fleet/address_doubt.h"
#include "core/fleet/backend_directory.h"
#include "tests/support/request_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace orioletally::core::fleet;
using orioletally::tests::at;

TEST_GROUP(AddressDoubt) { AddressDoubt doubt; };

TEST(AddressDoubt, SendsOneTrialCallAfterAWhile) {
  CHECK(doubt.begin(at(0)));
  CHECK_FALSE(doubt.begin(at(10)));
  CHECK_FALSE(doubt.acceptsCalls(at(10'009)));
  CHECK(doubt.acceptsCalls(at(10'010)));
  doubt.recordSend(at(10'010));
  CHECK_FALSE(doubt.acceptsCalls(at(10'011)));
  CHECK_FALSE(doubt.begin(at(10'012)));
  CHECK_FALSE(doubt.acceptsCalls(at(20'000)));
}

// One wrong word took a backend server out of use for good.
TEST(AddressDoubt, EndsWithACallThatWasExecuted) {
  doubt.begin(at(0));
  doubt.recordSend(at(10'000));
  doubt.end();
  CHECK(doubt.acceptsCalls(at(10'001)));
  doubt.recordSend(at(10'002));
  CHECK(doubt.acceptsCalls(at(10'003)));
}

TEST(AddressDoubt, LostTrialCallAllowsTheNextOne) {
  doubt.begin(at(0));
  doubt.recordSend(at(10'000));
  CHECK_FALSE(doubt.acceptsCalls(at(10'999)));
  CHECK(doubt.acceptsCalls(at(11'000)));
}

TEST(AddressDoubt, IsNotAnnouncedAndEndsWithARestart) {
  BackendDirectory directory;
  BackendEntry entry;
  entry.Id = "a";
  entry.Service = "s";
  entry.StartedAtMs = 1;
  directory.put(entry, at(0));
  directory.find("a")->Address.begin(at(0));
  CHECK(directory.usable("s", at(1)).empty());
  CHECK(directory.leaving().empty());
  entry.StartedAtMs = 2;
  directory.put(entry, at(2));
  LONGS_EQUAL(1, directory.usable("s", at(2)).size());
}

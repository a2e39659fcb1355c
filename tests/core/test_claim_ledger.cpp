#include "core/claims/claim_ledger.h"
#include "tests/support/fake_table.h"
#include "tests/support/request_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace orioletally;
using namespace orioletally::core::claims;
using core::platform::TableError;
using tests::FakeTable;
using tests::TableFault;
namespace leaf = boost::leaf;

namespace {

const ClaimName Name = {"w", "key", 42};

std::string claimAs(FakeTable &table, const std::string &token,
                    const ClaimName &name = Name) {
  ClaimLedger ledger(table);
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(result, ledger.claim(name, "node", token));
        if (std::holds_alternative<ClaimGranted>(result))
          return std::string("granted");
        if (const auto *answered = std::get_if<ClaimAnswered>(&result))
          return "answered " + answered->Answer.Body;
        if (std::holds_alternative<ClaimKeyReused>(result))
          return std::string("reused");
        return std::string("pending");
      },
      [](const TableError &) { return std::string("failed"); },
      [] { return std::string("?"); });
}

ClaimGranted grantFor(FakeTable &table, const std::string &token) {
  ClaimLedger ledger(table);
  return leaf::try_handle_all(
      [&]() -> leaf::result<ClaimGranted> {
        BOOST_LEAF_AUTO(result, ledger.claim(Name, "node", token));
        return std::get<ClaimGranted>(result);
      },
      [] { return ClaimGranted{}; });
}

} // namespace

TEST_GROUP(ClaimLedger) { FakeTable table; };

TEST(ClaimLedger, GrantsAKeyToOneOnly) {
  STRCMP_EQUAL("granted", claimAs(table, "t1").c_str());
  STRCMP_EQUAL("pending", claimAs(table, "t2").c_str());
  LONGS_EQUAL(2, table.Commits);
}

TEST(ClaimLedger, RecognisesItsOwnClaimAfterALostAnswer) {
  int commits = 0;
  table.Fault = [&](const std::string &call) {
    return call == "commit" && ++commits == 1 ? TableFault::LoseReply
                                              : TableFault::None;
  };
  STRCMP_EQUAL("granted", claimAs(table, "t1").c_str());
  STRCMP_EQUAL("pending", claimAs(table, "t2").c_str());
}

TEST(ClaimLedger, OutageGrantsNothing) {
  table.Fault = [](const std::string &) { return TableFault::FailBefore; };
  STRCMP_EQUAL("failed", claimAs(table, "t1").c_str());
}

TEST(ClaimLedger, RepeatGetsTheFirstAnswer) {
  const ClaimGranted granted = grantFor(table, "t1");
  ClaimLedger ledger(table);
  CHECK(static_cast<bool>(ledger.recordAnswer(Name, "node", "t1", granted,
                                              {200, "text/plain", "done"})));
  STRCMP_EQUAL("answered done", claimAs(table, "t2").c_str());
}

TEST(ClaimLedger, KeyOfAnotherCallIsRefused) {
  claimAs(table, "t1");
  STRCMP_EQUAL("reused", claimAs(table, "t2", {"w", "key", 43}).c_str());
  STRCMP_EQUAL("granted", claimAs(table, "t3", {"v", "key", 43}).c_str());
}

TEST(ClaimLedger, ReleasedClaimCanBeGrantedAgain) {
  const ClaimGranted granted = grantFor(table, "t1");
  ClaimLedger ledger(table);
  CHECK(static_cast<bool>(ledger.release(Name, "node", "t1", granted)));
  STRCMP_EQUAL("granted", claimAs(table, "t2").c_str());
  STRCMP_EQUAL("pending", claimAs(table, "t3").c_str());
}

// A node that was frozen after its claim must not send the call later.
TEST(ClaimLedger, OwnerMayNotSendAfterTheClaimAgeOrDeadline) {
  const absl::Duration maxAge = absl::Seconds(5);
  CHECK(maySend(tests::at(0), maxAge, tests::at(10000), tests::at(5000)));
  CHECK_FALSE(maySend(tests::at(0), maxAge, tests::at(10000), tests::at(5001)));
  CHECK_FALSE(maySend(tests::at(0), maxAge, tests::at(3000), tests::at(3000)));
}

#include "core/limits/memory_account.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using orioletally::core::limits::MemoryAccount;
using orioletally::core::limits::memoryBudget;
using orioletally::core::limits::MemoryGrant;
using orioletally::core::limits::MemoryRefusal;
using orioletally::core::limits::MemoryUse;
using orioletally::core::limits::memoryUseName;

namespace {

constexpr size_t MiB = 1 << 20;
constexpr size_t ProcessBytes = 260 * MiB;
/// Of the largest answers and of usual request bodies.
constexpr size_t SoundBytes = 800;
constexpr size_t SoundCalls = 40;
constexpr size_t PromptBytes = 4'100'000;

} // namespace

TEST_GROUP(MemoryAccount) {
  absl::Time Now = absl::UnixEpoch();
  MemoryAccount Account{memoryBudget(ProcessBytes)};

  MemoryGrant grant(MemoryUse use = MemoryUse::PlainAnswer) {
    return MemoryGrant(Account, use);
  }

  /// Lets \p n holders grow in turn until each was refused.
  std::vector<MemoryGrant> endlessHolders(size_t n) {
    std::vector<MemoryGrant> holders(n);
    for (MemoryGrant &it : holders)
      it = grant();
    for (bool hasGrown = true; hasGrown;) {
      hasGrown = false;
      for (MemoryGrant &it : holders)
        hasGrown = it.cover(it.bytes() + 8'192, Now) || hasGrown;
    }
    return holders;
  }

  size_t soundCallsServed() {
    std::vector<MemoryGrant> held;
    size_t served = 0;
    for (size_t n = 0; n < SoundCalls; ++n) {
      MemoryGrant body = grant(MemoryUse::RequestBody);
      MemoryGrant answer = grant();
      if (body.grow(SoundBytes, Now) && answer.grow(SoundBytes, Now))
        ++served;
      held.push_back(std::move(body));
      held.push_back(std::move(answer));
    }
    return served;
  }
};

TEST(MemoryAccount, EndlessAnswersLeaveRoomForSoundCalls) {
  for (const size_t n : {60, 120, 240}) {
    const std::vector<MemoryGrant> holders = endlessHolders(n);
    CHECK(Account.inUse() <= Account.budget());
    LONGS_EQUAL(SoundCalls, soundCallsServed());
    // A prompt of usual size arrives as well.
    MemoryGrant prompt = grant(MemoryUse::RequestBody);
    CHECK_TEXT(prompt.grow(29'000, Now), std::to_string(n).c_str());
  }
  LONGS_EQUAL(0, Account.inUse());
}

TEST(MemoryAccount, LargePromptsAreRefusedBeforeMemoryIsExceeded) {
  std::vector<MemoryGrant> prompts;
  for (int n = 0; n < 90; ++n) {
    MemoryGrant it = grant(MemoryUse::RequestBody);
    if (it.grow(PromptBytes, Now))
      prompts.push_back(std::move(it));
  }
  CHECK(prompts.size() >= 28);
  CHECK(Account.highest() <= Account.budget());
  LONGS_EQUAL(90 - prompts.size(), Account.refused(MemoryUse::RequestBody));
  LONGS_EQUAL(SoundCalls, soundCallsServed());
  prompts.pop_back();
  MemoryGrant next = grant(MemoryUse::RequestBody);
  CHECK(next.grow(PromptBytes, Now));
}

TEST(MemoryAccount, LargePromptsAndEndlessAnswersFitTogether) {
  for (const size_t n : {60, 120, 240}) {
    std::vector<MemoryGrant> prompts;
    for (int i = 0; i < 90; ++i) {
      MemoryGrant it = grant(MemoryUse::RequestBody);
      if (it.grow(PromptBytes, Now))
        prompts.push_back(std::move(it));
    }
    const std::vector<MemoryGrant> holders = endlessHolders(n);
    CHECK(Account.inUse() <= Account.budget());
    LONGS_EQUAL_TEXT(SoundCalls, soundCallsServed(), std::to_string(n).c_str());
    MemoryGrant prompt = grant(MemoryUse::RequestBody);
    CHECK_TEXT(prompt.grow(29'000, Now), std::to_string(n).c_str());
  }
}

TEST(MemoryAccount, AHolderAloneMayUseNearlyHalf) {
  const std::vector<MemoryGrant> holders = endlessHolders(1);
  CHECK(holders[0].bytes() > Account.budget() * 43 / 100);
  CHECK(holders[0].bytes() <= Account.budget() / 2);
}

TEST(MemoryAccount, GrantsAreReleasedOnce) {
  {
    MemoryGrant first = grant();
    CHECK(first.grow(1'000, Now));
    MemoryGrant second = std::move(first);
    MemoryGrant third = grant();
    CHECK(third.grow(500, Now));
    third = std::move(second);
    LONGS_EQUAL(1'000, Account.inUse());
    third.release();
    LONGS_EQUAL(0, Account.inUse());
  }
  LONGS_EQUAL(0, Account.inUse());
  LONGS_EQUAL(1'500, Account.highest());
}

// The store's answers are counted even when others have used the budget.
TEST(MemoryAccount, RequiredMemoryLeavesLessToOthers) {
  MemoryGrant store = grant(MemoryUse::StoreAnswer);
  store.require(Account.budget() + MiB);
  LONGS_EQUAL(Account.budget() + MiB, Account.inUse());
  MemoryGrant small = grant();
  CHECK_FALSE(small.grow(1, Now));
  store.release();
  CHECK(small.grow(1, Now));
}

TEST(MemoryAccount, HugeSizesAreRefused) {
  MemoryGrant it = grant();
  CHECK(it.grow(1'000, Now));
  CHECK_FALSE(it.grow(SIZE_MAX, Now));
  CHECK_FALSE(it.grow(SIZE_MAX - 500, Now));
  CHECK_FALSE(MemoryGrant().grow(1, Now));
  LONGS_EQUAL(1'000, it.bytes());
}

TEST(MemoryAccount, RefusalsAreReportedOnceUntilTheyCease) {
  std::vector<MemoryRefusal> reports;
  Account.setRefusalHandler(
      [&](const MemoryRefusal &it) { reports.push_back(it); });
  MemoryGrant large = grant(MemoryUse::Event);
  for (int n = 0; n < 100; ++n) {
    CHECK_FALSE(large.grow(Account.budget(), Now));
    Now += absl::Milliseconds(500);
  }
  LONGS_EQUAL(1, reports.size());
  CHECK(reports[0].Use == MemoryUse::Event);
  Now += MemoryAccount::QuietTime;
  CHECK_FALSE(large.grow(Account.budget(), Now));
  LONGS_EQUAL(2, reports.size());
  LONGS_EQUAL(101, reports[1].Refused);
}

TEST(MemoryAccount, UsesHaveNames) {
  STRCMP_EQUAL("request_head",
               std::string(memoryUseName(MemoryUse::RequestHead)).c_str());
  STRCMP_EQUAL("store_answer",
               std::string(memoryUseName(MemoryUse::StoreAnswer)).c_str());
}

#include "core/limits/memory_account.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace orioletally::core::limits {

namespace {

constexpr std::array<std::string_view, MemoryUseCount> UseNames = {
    "request_head", "request_body", "answer_head",
    "plain_answer", "event",        "store_answer"};

/// Steps in which cover() grows.
constexpr size_t StepBytes = 4 << 10;
/// Memory of a process that holds nothing for outsiders.
constexpr size_t BaseBytes = 48 << 20;
/// Fraction of the remaining memory that is handed out. The rest is for unused
/// capacity of buffers and bytes that the kernel has received.
constexpr size_t SharePercent = 65;
/// Smallest budget, however small the limit of the process is.
constexpr size_t MinBudget = 8 << 20;

} // namespace

std::string_view memoryUseName(MemoryUse use) {
  return UseNames[static_cast<size_t>(use)];
}

size_t memoryBudget(size_t processBytes) {
  const size_t rest = processBytes > BaseBytes ? processBytes - BaseBytes : 0;
  return std::max(MinBudget, rest / 100 * SharePercent);
}

MemoryGrant::MemoryGrant(MemoryGrant &&other) noexcept
    : Account(other.Account), Use(other.Use),
      Held(std::exchange(other.Held, 0)) {}

MemoryGrant &MemoryGrant::operator=(MemoryGrant &&other) noexcept {
  if (this == &other)
    return *this;
  release();
  Account = other.Account;
  Use = other.Use;
  Held = std::exchange(other.Held, 0);
  return *this;
}

bool MemoryGrant::grow(size_t n, absl::Time now) {
  if (Account == nullptr || !Account->take(Use, Held, n, now))
    return false;
  Held += n;
  return true;
}

bool MemoryGrant::cover(size_t n, absl::Time now) {
  if (n <= Held)
    return true;
  const size_t missing = n - Held;
  return grow((missing + StepBytes - 1) / StepBytes * StepBytes, now);
}

void MemoryGrant::require(size_t n) {
  if (Account == nullptr || n <= Held)
    return;
  Account->add(n - Held);
  Held = n;
}

void MemoryGrant::release() {
  if (Account != nullptr)
    Account->give(std::exchange(Held, 0));
}

bool MemoryAccount::canTake(size_t held, size_t n) const {
  if (n > free())
    return false;
  // Differences instead of sums, which could overflow.
  if (n <= SmallBytes && held <= SmallBytes - n)
    return true;
  const size_t left = free() - n;
  return left >= reserve() && held <= left - reserve() &&
         n <= left - reserve() - held;
}

bool MemoryAccount::take(MemoryUse use, size_t held, size_t n, absl::Time now) {
  if (!canTake(held, n)) {
    recordRefusal(use, held, n, now);
    return false;
  }
  add(n);
  return true;
}

void MemoryAccount::recordRefusal(MemoryUse use, size_t held, size_t n,
                                  absl::Time now) {
  ++Refused[static_cast<size_t>(use)];
  const bool isFirst = now - LastRefusedAt >= QuietTime;
  LastRefusedAt = now;
  if (isFirst && OnRefusal)
    OnRefusal({use, held, n, InUse, Budget,
               std::accumulate(Refused.begin(), Refused.end(), uint64_t{0})});
}

} // namespace orioletally::core::limits

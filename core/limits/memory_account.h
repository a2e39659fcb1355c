#ifndef ORIOLETALLY_CORE_LIMITS_MEMORY_ACCOUNT_H
#define ORIOLETALLY_CORE_LIMITS_MEMORY_ACCOUNT_H

#include <absl/time/time.h>
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>

namespace orioletally::core::limits {

/// What memory that outsiders can make a node keep is used for.
enum class MemoryUse {
  RequestHead,
  RequestBody,
  AnswerHead,
  PlainAnswer,
  /// The incomplete event of a stream.
  Event,
  /// Answers of the platform's services.
  StoreAnswer,
};

constexpr size_t MemoryUseCount = 6;

/// Returns the name of \p use in logs and metrics.
std::string_view memoryUseName(MemoryUse use);

/// Returns the budget of a process that may use \p processBytes, which leaves
/// room for the program itself, the allocator and the kernel's buffers.
size_t memoryBudget(size_t processBytes);

class MemoryAccount;

/// Memory held by one request, answer or event; released when destroyed. The
/// account must outlive it.
class MemoryGrant {
public:
  MemoryGrant() = default;
  MemoryGrant(MemoryAccount &account, MemoryUse use)
      : Account(&account), Use(use) {}
  ~MemoryGrant() { release(); }
  MemoryGrant(MemoryGrant &&other) noexcept;
  MemoryGrant &operator=(MemoryGrant &&other) noexcept;
  MemoryGrant(const MemoryGrant &) = delete;
  MemoryGrant &operator=(const MemoryGrant &) = delete;

  /// Adds \p n bytes at the time \p now. Returns false and adds nothing if the
  /// account refuses them.
  bool grow(size_t n, absl::Time now);

  /// Holds at least \p n bytes. Grows in steps, so that a holder which grows
  /// byte by byte rarely asks.
  bool cover(size_t n, absl::Time now);

  /// Counts \p n bytes in all, without asking. For what the node needs to do
  /// its work at all, and what is bounded elsewhere.
  void require(size_t n);

  void release();

  size_t bytes() const { return Held; }

private:
  MemoryAccount *Account = nullptr;
  MemoryUse Use = MemoryUse::RequestHead;
  size_t Held = 0;
};

/// A refusal that is worth a log line.
struct MemoryRefusal {
  MemoryUse Use;
  /// Bytes that the refused holder has and wanted in addition.
  size_t Held;
  size_t Wanted;
  size_t InUse;
  size_t Budget;
  /// Refusals so far, including this one.
  uint64_t Refused;
};

/// Shares a fixed number of bytes among holders of unknown final size by
/// dynamic thresholds: a holder may grow to as much as remains free, so that n
/// endless holders leave 1/(n+1) to others. A part of the budget is kept for
/// holders of up to SmallBytes.
class MemoryAccount {
public:
  /// Holders of at most this size are refused only when nothing is free.
  static constexpr size_t SmallBytes = 64 << 10;
  /// A refusal is reported if none came this long before it.
  static constexpr absl::Duration QuietTime = absl::Seconds(10);

  explicit MemoryAccount(size_t budget) : Budget(budget) {}
  MemoryAccount(const MemoryAccount &) = delete;
  MemoryAccount &operator=(const MemoryAccount &) = delete;

  /// \p handler is called with the first refusal and with those that follow a
  /// time without any.
  void setRefusalHandler(std::function<void(const MemoryRefusal &)> handler) {
    OnRefusal = std::move(handler);
  }

  size_t budget() const { return Budget; }
  size_t inUse() const { return InUse; }
  size_t highest() const { return Highest; }
  uint64_t refused(MemoryUse use) const {
    return Refused[static_cast<size_t>(use)];
  }

private:
  friend class MemoryGrant;

  static constexpr size_t ReserveDivisor = 8;

  size_t free() const { return Budget - std::min(Budget, InUse); }
  bool take(MemoryUse use, size_t held, size_t n, absl::Time now);
  void add(size_t n) {
    InUse += n;
    Highest = std::max(Highest, InUse);
  }
  void give(size_t n) { InUse -= n; }
  bool canTake(size_t held, size_t n) const;
  /// What only small holders may use.
  size_t reserve() const { return Budget / ReserveDivisor; }
  void recordRefusal(MemoryUse use, size_t held, size_t n, absl::Time now);

  size_t Budget;
  size_t InUse = 0;
  size_t Highest = 0;
  std::array<uint64_t, MemoryUseCount> Refused{};
  absl::Time LastRefusedAt = absl::InfinitePast();
  std::function<void(const MemoryRefusal &)> OnRefusal;
};

} // namespace orioletally::core::limits

#endif

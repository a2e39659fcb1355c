#include "drivers/relay/memory_lease.h"

#include "drivers/log/log.h"

#include <utility>

namespace orioletally::drivers::relay {

namespace {

using loop::AsTuple;

/// Memory must be free four seconds after the death of the node that held it.
constexpr absl::Duration Hold = absl::Milliseconds(3500);
/// Two renewals in a row may be lost.
constexpr absl::Duration RenewEvery = absl::Milliseconds(1000);
constexpr absl::Duration OrderBound = absl::Milliseconds(400);
constexpr int ReleaseTries = 3;
constexpr int StatusDone = 200;

} // namespace

MemoryLease::MemoryLease(asio::io_context &loop,
                         const core::relay::CallCodec &codec,
                         std::string address, std::string name, int64_t tokens)
    : Loop(loop), Codec(codec), Name(std::move(name)), Tokens(tokens),
      Caller(loop, std::move(address)), Timer(loop) {}

asio::awaitable<int> MemoryLease::order(core::relay::BackendCommand wanted) {
  loop::HttpCall call = loop::HttpCall::post(
      std::move(wanted.Target), std::move(wanted.Body), OrderBound);
  const loop::HttpCallResult answer = co_await Caller.call(std::move(call));
  co_return answer.Status;
}

asio::awaitable<bool> MemoryLease::acquire() {
  const int status = co_await order(Codec.encodeReserve(Name, Tokens, Hold));
  log::write(log::Level::Info, "memory_reserved",
             {{"reservation", Name}, {"tokens", Tokens}, {"status", status}});
  const bool isHeld = status == StatusDone && !IsReleased;
  if (isHeld) {
    IsRenewing = true;
    asio::co_spawn(
        Loop, [self = shared_from_this()] { return self->renew(); },
        asio::detached);
  }
  co_return isHeld;
}

asio::awaitable<void> MemoryLease::renew() {
  while (!IsReleased) {
    Timer.expires_after(absl::ToChronoNanoseconds(RenewEvery));
    co_await Timer.async_wait(AsTuple);
    if (IsReleased)
      break;
    const int status = co_await order(Codec.encodeReserve(Name, Tokens, Hold));
    if (status != StatusDone)
      log::write(log::Level::Warn, "memory_not_renewed",
                 {{"reservation", Name}, {"status", status}});
  }
  co_await giveBack();
}

void MemoryLease::release() {
  IsReleased = true;
  Timer.cancel();
  // renew() gives the memory back itself.
  if (IsRenewing)
    return;
  asio::co_spawn(
      Loop, [self = shared_from_this()] { return self->giveBack(); },
      asio::detached);
}

asio::awaitable<void> MemoryLease::giveBack() {
  for (int n = 0; n < ReleaseTries; ++n) {
    const int status = co_await order(Codec.encodeRelease(Name));
    if (status == StatusDone) {
      log::write(log::Level::Info, "memory_released", {{"reservation", Name}});
      co_return;
    }
  }
  log::write(log::Level::Warn, "memory_left_to_lease", {{"reservation", Name}});
}

} // namespace orioletally::drivers::relay

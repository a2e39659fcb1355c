#include "drivers/relay/memory_lease.h"

#include "drivers/clock/clock.h"
#include "drivers/log/log.h"

#include <utility>

namespace orioletally::drivers::relay {

namespace {

using loop::AsTuple;

/// Memory must be free four seconds after the node that reserved it dies.
constexpr absl::Duration LeaseDuration = absl::Milliseconds(3500);
/// Two consecutive renewals may fail before the lease expires.
constexpr absl::Duration RenewInterval = absl::Milliseconds(1000);
constexpr absl::Duration CommandTimeout = absl::Milliseconds(400);
constexpr int MaxReleaseAttempts = 3;
constexpr int StatusOk = 200;
/// A report lists at most 64 reservations.
constexpr uint64_t MaxAnswerBytes = 64 << 10;

} // namespace

MemoryLease::MemoryLease(asio::io_context &loop,
                         const core::relay::CallCodec &codec,
                         std::string address, std::string name, int64_t tokens,
                         std::function<void()> onUnused,
                         std::function<bool()> mayReserve)
    : Loop(loop), Codec(codec), Name(std::move(name)), Tokens(tokens),
      Client(loop, std::move(address)), Timer(loop),
      OnUnused(std::move(onUnused)), MayReserve(std::move(mayReserve)) {}

asio::awaitable<int>
MemoryLease::sendCommand(core::relay::BackendCommand command) {
  loop::HttpCall call = loop::HttpCall::post(
      std::move(command.Target), std::move(command.Body), CommandTimeout);
  call.MaxAnswerBytes = MaxAnswerBytes;
  const loop::HttpCallResult answer = co_await Client.call(std::move(call));
  co_return answer.Status;
}

asio::awaitable<bool> MemoryLease::acquire() {
  if (!MayReserve())
    co_return false;
  WasRequested = true;
  IsAcquiring = true;
  ReservedAt = clock::steadyNow();
  const int status =
      co_await sendCommand(Codec.encodeReserve(Name, Tokens, LeaseDuration));
  IsAcquiring = false;
  log::write(log::Level::Info, "memory_reserved",
             {{"reservation", Name}, {"tokens", Tokens}, {"status", status}});
  const bool isReserved = status == StatusOk && !IsReleased;
  if (isReserved) {
    IsRenewing = true;
    asio::co_spawn(
        Loop, [self = shared_from_this()] { return self->renew(); },
        asio::detached);
  }
  if (IsReleased)
    spawnRelease();
  co_return isReserved;
}

asio::awaitable<void> MemoryLease::renew() {
  while (!IsReleased) {
    Timer.expires_after(absl::ToChronoNanoseconds(RenewInterval));
    co_await Timer.async_wait(AsTuple);
    if (IsReleased)
      break;
    const int status =
        co_await sendCommand(Codec.encodeReserve(Name, Tokens, LeaseDuration));
    if (status != StatusOk)
      log::write(log::Level::Warn, "memory_not_renewed",
                 {{"reservation", Name}, {"status", status}});
    const bool isAsking =
        core::relay::shouldAskForUse(clock::steadyNow() - ReservedAt, Use);
    if (isAsking && !IsReleased) {
      co_await askForUse();
    }
  }
  co_await sendRelease();
}

asio::awaitable<void> MemoryLease::askForUse() {
  loop::HttpCall call =
      loop::HttpCall::get(Codec.reportTarget(), CommandTimeout);
  call.MaxAnswerBytes = MaxAnswerBytes;
  const loop::HttpCallResult answer = co_await Client.call(std::move(call));
  Use = answer.Status == StatusOk
            ? Codec.decodeReservationUse(answer.Body, Name)
            : core::relay::ReservationUse::Unknown;
  // Most prompts don't come here.
  log::write(
      log::Level::Info, "memory_use",
      {{"reservation", Name},
       {"held_ms", absl::ToInt64Milliseconds(clock::steadyNow() - ReservedAt)},
       {"status", answer.Status},
       {"use", core::relay::reservationUseName(Use)}});
  const std::function<void()> onUnused = OnUnused;
  if (Use == core::relay::ReservationUse::Unused && onUnused)
    onUnused();
}

void MemoryLease::release() {
  if (IsReleased)
    return;
  IsReleased = true;
  OnUnused = nullptr;
  Timer.cancel();
  // The command in progress ends early; the release follows it.
  if (IsAcquiring)
    Client.close();
  // renew() sends the release itself when it ends.
  else if (WasRequested && !IsRenewing)
    spawnRelease();
}

void MemoryLease::spawnRelease() {
  asio::co_spawn(
      Loop, [self = shared_from_this()] { return self->sendRelease(); },
      asio::detached);
}

asio::awaitable<void> MemoryLease::sendRelease() {
  for (int n = 0; n < MaxReleaseAttempts; ++n) {
    const int status = co_await sendCommand(Codec.encodeRelease(Name));
    if (status == StatusOk) {
      log::write(log::Level::Info, "memory_released", {{"reservation", Name}});
      co_return;
    }
  }
  log::write(log::Level::Warn, "memory_left_to_lease", {{"reservation", Name}});
}

} // namespace orioletally::drivers::relay

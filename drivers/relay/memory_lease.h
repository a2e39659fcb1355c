#ifndef ORIOLETALLY_DRIVERS_RELAY_MEMORY_LEASE_H
#define ORIOLETALLY_DRIVERS_RELAY_MEMORY_LEASE_H

#include "core/relay/call_head.h"
#include "drivers/loop/asio_use.h"
#include "drivers/loop/http_client.h"

#include <absl/time/time.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace orioletally::drivers::relay {

/// KV memory of an engine, reserved under a short lease that is renewed while
/// the prompt is in progress. If this node dies, the lease expires.
class MemoryLease : public std::enable_shared_from_this<MemoryLease> {
public:
  /// \p address is the engine's "ip:port". \p name is the id of the reservation
  /// and must be unique among all nodes. Calls \p onUnused, until release(),
  /// when the memory has been reserved for almost as long as engines may keep
  /// it unused, and the engine says that no prompt uses it. Reserves nothing if
  /// \p mayReserve returns false.
  MemoryLease(asio::io_context &loop, const core::relay::CallCodec &codec,
              std::string address, std::string name, int64_t tokens,
              std::function<void()> onUnused, std::function<bool()> mayReserve);

  /// Reserves the memory and, on success, keeps renewing the lease. Returns
  /// false when the engine refuses or doesn't answer in time, when release()
  /// was called meanwhile, or when nothing may be reserved.
  asio::awaitable<bool> acquire();

  /// Releases the memory, also when it is unknown whether it was reserved.
  void release();

private:
  /// Returns the status of the answer; 0 without one.
  asio::awaitable<int> sendCommand(core::relay::BackendCommand command);
  asio::awaitable<void> renew();
  /// Asks the engine whether a prompt uses the memory.
  asio::awaitable<void> askForUse();
  void spawnRelease();
  asio::awaitable<void> sendRelease();

  asio::io_context &Loop;
  const core::relay::CallCodec &Codec;
  std::string Name;
  int64_t Tokens;
  loop::HttpClient Client;
  asio::steady_timer Timer;
  std::function<void()> OnUnused;
  std::function<bool()> MayReserve;
  absl::Time ReservedAt;
  core::relay::ReservationUse Use = core::relay::ReservationUse::Unknown;
  /// Whether the engine was asked to reserve the memory.
  bool WasRequested = false;
  bool IsAcquiring = false;
  bool IsRenewing = false;
  bool IsReleased = false;
};

} // namespace orioletally::drivers::relay

#endif

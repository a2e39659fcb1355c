#include "drivers/relay/backend_channel.h"

#include "drivers/loop/connection_end.h"

#include <algorithm>
#include <utility>

namespace orioletally::drivers::relay {

namespace {

/// Used when the server names no keep-alive timeout.
constexpr absl::Duration DefaultKeepAlive = absl::Seconds(4);
/// A connection isn't reused this close to the server's keep-alive timeout:
/// the call could cross the server's close.
constexpr absl::Duration KeepAliveMargin = absl::Milliseconds(900);
/// Idle connections kept per backend server; more of them, left by a burst,
/// would expire unused.
constexpr size_t MaxIdlePerServer = 8;

} // namespace

std::unique_ptr<BackendChannel> ChannelPool::acquire(const std::string &address,
                                                     absl::Time now) {
  const auto found = IdleChannels.find(address);
  if (found == IdleChannels.end())
    return nullptr;
  std::vector<std::unique_ptr<BackendChannel>> &channels = found->second;
  while (!channels.empty()) {
    std::unique_ptr<BackendChannel> channel = std::move(channels.back());
    channels.pop_back();
    if (now < channel->ReusableUntil && loop::isOpenAndIdle(channel->Socket))
      return channel;
  }
  return nullptr;
}

void ChannelPool::release(std::unique_ptr<BackendChannel> channel,
                          absl::Duration keepAlive, absl::Time now) {
  if (channel->Buffer.size() > 0)
    return;
  std::vector<std::unique_ptr<BackendChannel>> &channels =
      IdleChannels[channel->Address];
  if (channels.size() >= MaxIdlePerServer)
    return;
  const absl::Duration idleTime =
      keepAlive > absl::ZeroDuration() ? keepAlive : DefaultKeepAlive;
  channel->Buffer.releaseIfEmpty();
  channel->Reused = true;
  channel->ReusableUntil =
      now + std::max(absl::ZeroDuration(), idleTime - KeepAliveMargin);
  channels.push_back(std::move(channel));
}

void ChannelPool::drop(const std::string &address) {
  IdleChannels.erase(address);
}

void ChannelPool::closeIdle(absl::Time now) {
  for (auto &[address, channels] : IdleChannels)
    std::erase_if(channels, [&](const std::unique_ptr<BackendChannel> &it) {
      return now >= it->ReusableUntil;
    });
}

} // namespace orioletally::drivers::relay

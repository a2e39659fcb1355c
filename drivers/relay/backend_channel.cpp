#include "drivers/relay/backend_channel.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace orioletally::drivers::relay {

namespace {

/// Kept when the other end doesn't say for how long it keeps a connection.
constexpr absl::Duration UsualKeep = absl::Seconds(4);
/// A call that is sent this close to the end of the time that the other end
/// named may cross its close.
constexpr absl::Duration KeepSlack = absl::Milliseconds(900);
/// More connections to one backend server wait for a second burst in vain.
constexpr size_t MaxWaiting = 8;

/// Whether the connection is open and nothing has come that nobody asked for.
bool isQuiet(BackendChannel &channel) {
  char c = 0;
  const ssize_t n =
      ::recv(channel.Socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::unique_ptr<BackendChannel> ChannelPool::take(const std::string &address,
                                                  absl::Time now) {
  const auto found = Waiting.find(address);
  if (found == Waiting.end())
    return nullptr;
  std::vector<std::unique_ptr<BackendChannel>> &channels = found->second;
  while (!channels.empty()) {
    std::unique_ptr<BackendChannel> channel = std::move(channels.back());
    channels.pop_back();
    if (now < channel->IdleUntil && isQuiet(*channel))
      return channel;
  }
  return nullptr;
}

void ChannelPool::give(std::unique_ptr<BackendChannel> channel,
                       absl::Duration keepFor, absl::Time now) {
  if (channel->Buffer.size() > 0)
    return;
  std::vector<std::unique_ptr<BackendChannel>> &channels =
      Waiting[channel->Address];
  if (channels.size() >= MaxWaiting)
    return;
  const absl::Duration keep =
      keepFor > absl::ZeroDuration() ? keepFor : UsualKeep;
  channel->Reused = true;
  channel->IdleUntil = now + std::max(absl::ZeroDuration(), keep - KeepSlack);
  channels.push_back(std::move(channel));
}

void ChannelPool::drop(const std::string &address) { Waiting.erase(address); }

void ChannelPool::closeIdle(absl::Time now) {
  for (auto &[address, channels] : Waiting)
    std::erase_if(channels, [&](const std::unique_ptr<BackendChannel> &it) {
      return now >= it->IdleUntil;
    });
}

} // namespace orioletally::drivers::relay

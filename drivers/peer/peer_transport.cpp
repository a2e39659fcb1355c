#include "drivers/peer/peer_transport.h"

#include "drivers/clock/clock.h"
#include "drivers/log/log.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace leaf = boost::leaf;

namespace orioletally::drivers::peer {

namespace {

constexpr size_t KeyLength = 40;
constexpr size_t RawKeyLength = 32;
/// Messages that ZeroMQ queues for each node; further ones are dropped.
constexpr int MaxQueuedPerPeer = 64;
/// The receive queue has no limit, because ZeroMQ 4.3.4 aborts the process when
/// a connection is lost while its input is paused by a full queue with a
/// heartbeat behind it. Only nodes with the key can fill the queue, each with
/// at most the contents of its own send queue and the socket buffers.
constexpr int UnboundedQueue = 0;
/// Messages that wait for the thread; further ones are dropped.
constexpr size_t MaxQueuedMessages = 4096;
constexpr size_t MaxInvalidAddresses = 1000;
constexpr int64_t MaxMessageBytes = 16 << 20;
/// How long a closing socket goes on sending its queued messages.
constexpr int LingerMs = 100;
/// A connection on which a heartbeat isn't answered in time is reopened.
constexpr int HeartbeatMs = 1000;
constexpr int HeartbeatTimeoutMs = 3000;
/// The thread waits this long for something to do; while messages are delayed
/// by LinkDelay, it checks them after DelayedPollTimeout.
constexpr auto PollTimeout = std::chrono::milliseconds(1000);
constexpr auto DelayedPollTimeout = std::chrono::milliseconds(1);
/// Connections to nodes that nothing was sent to for this long are closed.
constexpr absl::Duration IdleTimeout = absl::Seconds(60);
constexpr const char *AuthenticatorEndpoint = "inproc://zeromq.zap.01";
constexpr const char *MonitorEndpoint = "inproc://failed-handshakes";
/// Events for a peer that expects another key of this node, or that doesn't
/// encrypt.
constexpr int FailedHandshakeEvents =
    ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL;
/// Number of frames of a ZAP request (ZeroMQ RFC 27) up to and including the
/// CURVE credentials.
constexpr size_t ZapRequestFrames = 7;

} // namespace

std::string makeSecretKey() {
  std::array<char, KeyLength + 1> publicKey{};
  std::array<char, KeyLength + 1> secretKey{};
  if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0)
    return "";
  return secretKey.data();
}

bool isSecretKey(const std::string &key) {
  std::array<uint8_t, RawKeyLength> raw{};
  return key.size() == KeyLength &&
         zmq_z85_decode(raw.data(), key.c_str()) != nullptr;
}

PeerTransport::PeerTransport(const TransportSettings &settings, Handler receive)
    : Settings(settings), Receive(std::move(receive)),
      WakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

PeerTransport::~PeerTransport() {
  stop();
  ::close(WakeFd);
}

leaf::result<void> PeerTransport::start() {
  try {
    if (!Settings.SecretKey.empty()) {
      if (Settings.SecretKey.size() != KeyLength)
        return leaf::new_error(
            TransportError{"the secret key must have 40 characters in Z85"});
      std::array<char, KeyLength + 1> buf{};
      if (zmq_curve_public(buf.data(), Settings.SecretKey.c_str()) != 0)
        return leaf::new_error(
            TransportError{"the secret key isn't valid Z85"});
      PublicKey = buf.data();
      Authenticator = zmq::socket_t(Context, zmq::socket_type::rep);
      Authenticator.bind(AuthenticatorEndpoint);
    }
    Inbound = zmq::socket_t(Context, zmq::socket_type::pull);
    Inbound.set(zmq::sockopt::linger, 0);
    Inbound.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
    Inbound.set(zmq::sockopt::rcvhwm, UnboundedQueue);
    if (!PublicKey.empty()) {
      Inbound.set(zmq::sockopt::curve_server, 1);
      Inbound.set(zmq::sockopt::curve_secretkey, Settings.SecretKey);
      Inbound.set(zmq::sockopt::zap_domain, "peers");
    }
    if (!PublicKey.empty()) {
      if (zmq_socket_monitor(Inbound.handle(), MonitorEndpoint,
                             FailedHandshakeEvents) != 0)
        throw zmq::error_t();
      Monitor = zmq::socket_t(Context, zmq::socket_type::pair);
      Monitor.connect(MonitorEndpoint);
    }
    const std::string port =
        Settings.Port == 0 ? "*" : std::to_string(Settings.Port);
    Inbound.bind(fmt::format("tcp://{}:{}", Settings.Address, port));
    const std::string bound = Inbound.get(zmq::sockopt::last_endpoint);
    OwnAddress = bound.substr(std::strlen("tcp://"));
  } catch (const zmq::error_t &ec) {
    return leaf::new_error(TransportError{
        fmt::format("{}:{}: {}", Settings.Address, Settings.Port, ec.what())});
  }
  Worker = std::thread([this] { run(); });
  return {};
}

void PeerTransport::stop() {
  if (!Worker.joinable())
    return;
  Stopping = true;
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t n = ::write(WakeFd, &one, sizeof(one));
  Worker.join();
}

void PeerTransport::send(const std::string &address, std::string bytes) {
  absl::Time dueAt = absl::InfinitePast();
  if (Settings.LinkDelay) {
    const std::optional<absl::Duration> delay = Settings.LinkDelay();
    if (!delay.has_value())
      return;
    dueAt = clock::steadyNow() + *delay;
  }
  {
    const std::lock_guard lock(Guard);
    if (Queue.size() >= MaxQueuedMessages)
      return;
    Queue.push_back({address, std::move(bytes), dueAt});
  }
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t n = ::write(WakeFd, &one, sizeof(one));
}

void PeerTransport::run() {
  while (!Stopping) {
    std::vector<zmq::pollitem_t> items = {{nullptr, WakeFd, ZMQ_POLLIN, 0},
                                          {Inbound.handle(), 0, ZMQ_POLLIN, 0}};
    if (Authenticator)
      items.push_back({Authenticator.handle(), 0, ZMQ_POLLIN, 0});
    if (Monitor)
      items.push_back({Monitor.handle(), 0, ZMQ_POLLIN, 0});
    try {
      zmq::poll(items, pollTimeout());
      uint64_t ignored = 0;
      [[maybe_unused]] const ssize_t n =
          ::read(WakeFd, &ignored, sizeof(ignored));
      if (Authenticator)
        answerAuthentication();
      if (Monitor)
        countFailedHandshakes();
      receiveAll();
      sendQueued();
      closeIdle();
    } catch (const zmq::error_t &) {
      // An interrupted call is retried in the next iteration.
    }
  }
  sendQueued();
  Outbounds.clear();
  Inbound.close();
  if (Authenticator)
    Authenticator.close();
  if (Monitor)
    Monitor.close();
}

std::chrono::milliseconds PeerTransport::pollTimeout() const {
  return DelayedMessages.empty() ? PollTimeout : DelayedPollTimeout;
}

void PeerTransport::receiveAll() {
  zmq::message_t message;
  while (Inbound.recv(message, zmq::recv_flags::dontwait)) {
    Counts.ReceivedBytes += message.size();
    Receive(message.to_string_view());
  }
}

void PeerTransport::sendQueued() {
  std::deque<QueuedMessage> messages;
  {
    const std::lock_guard lock(Guard);
    messages.swap(Queue);
  }
  std::vector<QueuedMessage> due;
  const absl::Time now = clock::steadyNow();
  for (QueuedMessage &it : messages)
    (it.DueAt <= now ? due : DelayedMessages).push_back(std::move(it));
  for (QueuedMessage &it : DelayedMessages)
    if (it.DueAt <= now)
      due.push_back(std::move(it));
  std::erase_if(DelayedMessages,
                [&](const QueuedMessage &it) { return it.DueAt <= now; });
  for (const QueuedMessage &it : due)
    sendOne(it);
}

void PeerTransport::sendOne(const QueuedMessage &message) {
  if (InvalidAddresses.contains(message.Address))
    return;
  try {
    const auto n =
        outbound(message.Address)
            .send(zmq::buffer(message.Bytes), zmq::send_flags::dontwait);
    if (n.has_value())
      Counts.SentBytes += message.Bytes.size();
  } catch (const zmq::error_t &ec) {
    log::write(
        log::Level::Warn, "peer_message_not_sent",
        {{"address", message.Address}, {"reason", std::string(ec.what())}});
    // Anything else may succeed for the next message.
    if (ec.num() == EINVAL && InvalidAddresses.size() < MaxInvalidAddresses)
      InvalidAddresses.insert(message.Address);
  }
}

zmq::socket_t &PeerTransport::outbound(const std::string &address) {
  const absl::Time now = clock::steadyNow();
  const auto found = Outbounds.find(address);
  if (found != Outbounds.end()) {
    found->second.LastUsedAt = now;
    return found->second.Socket;
  }
  zmq::socket_t socket(Context, zmq::socket_type::push);
  socket.set(zmq::sockopt::linger, LingerMs);
  socket.set(zmq::sockopt::sndhwm, MaxQueuedPerPeer);
  socket.set(zmq::sockopt::heartbeat_ivl, HeartbeatMs);
  socket.set(zmq::sockopt::heartbeat_timeout, HeartbeatTimeoutMs);
  if (!PublicKey.empty()) {
    socket.set(zmq::sockopt::curve_serverkey, PublicKey);
    socket.set(zmq::sockopt::curve_publickey, PublicKey);
    socket.set(zmq::sockopt::curve_secretkey, Settings.SecretKey);
  }
  socket.connect(fmt::format("tcp://{}", address));
  const auto entry =
      Outbounds.emplace(address, Outbound{std::move(socket), now});
  return entry.first->second.Socket;
}

void PeerTransport::answerAuthentication() {
  std::vector<zmq::message_t> frames;
  zmq::message_t frame;
  while (Authenticator.recv(frame, zmq::recv_flags::dontwait)) {
    const bool hasMoreFrames = frame.more();
    frames.push_back(std::move(frame));
    if (hasMoreFrames)
      continue;
    std::array<uint8_t, RawKeyLength> expected{};
    zmq_z85_decode(expected.data(), PublicKey.c_str());
    const bool isAuthorized =
        frames.size() >= ZapRequestFrames &&
        frames[ZapRequestFrames - 1].size() == RawKeyLength &&
        std::memcmp(frames[ZapRequestFrames - 1].data(), expected.data(),
                    RawKeyLength) == 0;
    if (!isAuthorized)
      ++Counts.RefusedConnections;
    const std::string requestId =
        frames.size() > 1 ? frames[1].to_string() : std::string();
    const std::array<std::string, 6> reply = {"1.0",
                                              requestId,
                                              isAuthorized ? "200" : "400",
                                              isAuthorized ? "OK"
                                                           : "unknown key",
                                              "node",
                                              ""};
    for (size_t n = 0; n < reply.size(); ++n)
      Authenticator.send(zmq::buffer(reply[n]), n + 1 < reply.size()
                                                    ? zmq::send_flags::sndmore
                                                    : zmq::send_flags::none);
    frames.clear();
  }
}

void PeerTransport::countFailedHandshakes() {
  // An event has two frames, the event and the address; only the first has
  // more to follow.
  zmq::message_t frame;
  while (Monitor.recv(frame, zmq::recv_flags::dontwait)) {
    if (frame.more())
      ++Counts.RefusedConnections;
  }
}

void PeerTransport::closeIdle() {
  const absl::Time now = clock::steadyNow();
  absl::erase_if(Outbounds, [&](const auto &it) {
    return now - it.second.LastUsedAt > IdleTimeout;
  });
}

} // namespace orioletally::drivers::peer

#ifndef ORIOLETALLY_DRIVERS_PEER_PEER_TRANSPORT_H
#define ORIOLETALLY_DRIVERS_PEER_PEER_TRANSPORT_H

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <atomic>
#include <boost/leaf.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>
#include <zmq.hpp>

namespace orioletally::drivers::peer {

/// The transport can't be set up.
struct TransportError {
  std::string Reason;
};

/// Makes a secret key for nodes to share, 40 characters of Z85; empty when
/// this ZeroMQ has no encryption.
std::string makeSecretKey();

/// Whether \p key is 40 characters of Z85.
bool isSecretKey(const std::string &key);

/// Parameters of a PeerTransport.
struct TransportSettings {
  std::string Address = "127.0.0.1";
  /// 0 takes a free port.
  int Port = 0;
  /// Secret key that all nodes share, 40 characters of Z85; empty turns
  /// encryption and the refusal of strangers off.
  std::string SecretKey;
  /// Decides for each message how long the link to the other node takes, or
  /// drops it; for measurements of slow links. Unset sends at once.
  std::function<std::optional<absl::Duration>()> LinkDelay;
};

/// How many bytes went to and came from other nodes.
struct TransportCounts {
  std::atomic<uint64_t> SentBytes = 0;
  std::atomic<uint64_t> ReceivedBytes = 0;
  std::atomic<uint64_t> RefusedConnections = 0;
};

/// Carries whole messages between entry nodes over ZeroMQ. One thread owns all
/// sockets. A message that can't be sent at once is dropped; whoever needs it
/// to arrive asks again.
class PeerTransport {
public:
  using Handler = std::function<void(std::string_view bytes)>;

  PeerTransport(const TransportSettings &settings, Handler receive);
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Binds and starts the thread, which calls the handler.
  boost::leaf::result<void> start();
  void stop();

  /// Queues \p bytes for the node at \p address ("ip:port"). Any thread.
  void send(const std::string &address, std::string bytes);

  /// "ip:port" that other nodes reach this one under, after start().
  const std::string &address() const { return OwnAddress; }

  const TransportCounts &counts() const { return Counts; }

private:
  struct Outbound {
    zmq::socket_t Socket;
    absl::Time LastUsedAt;
  };
  struct QueuedMessage {
    std::string Address;
    std::string Bytes;
    absl::Time DueAt;
  };

  void run();
  void receiveAll();
  void sendQueued();
  std::chrono::milliseconds pollTimeout() const;
  void answerAuthentication();
  /// Counts the connections that failed before they named a key.
  void countFailedHandshakes();
  void closeIdle();
  zmq::socket_t &outbound(const std::string &address);

  TransportSettings Settings;
  Handler Receive;
  std::string PublicKey;
  std::string OwnAddress;
  TransportCounts Counts;

  zmq::context_t Context;
  zmq::socket_t Inbound;
  zmq::socket_t Authenticator;
  /// Tells of handshakes with Inbound that failed.
  zmq::socket_t Monitor;
  absl::flat_hash_map<std::string, Outbound> Outbounds;

  std::mutex Guard;
  std::deque<QueuedMessage> Queue;
  /// Letters on a slow link, owned by the thread.
  std::vector<QueuedMessage> DelayedMessages;
  int WakeFd = -1;
  std::atomic<bool> Stopping = false;
  std::thread Worker;
};

} // namespace orioletally::drivers::peer

#endif

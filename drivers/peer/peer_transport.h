#ifndef ORIOLETALLY_DRIVERS_PEER_PEER_TRANSPORT_H
#define ORIOLETALLY_DRIVERS_PEER_PEER_TRANSPORT_H

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
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

/// The reason why the transport can't be set up.
struct TransportError {
  std::string Reason;
};

/// Generates a secret key for all nodes to share, 40 characters in Z85; empty
/// when ZeroMQ was built without encryption.
std::string makeSecretKey();

/// Whether \p key is 40 characters in Z85.
bool isSecretKey(const std::string &key);

/// Parameters of a PeerTransport.
struct TransportSettings {
  std::string Address = "127.0.0.1";
  /// 0 takes a free port.
  int Port = 0;
  /// Secret key that all nodes share, 40 characters in Z85. When it is empty,
  /// traffic isn't encrypted and any peer may connect.
  std::string SecretKey;
  /// Simulates slow links in measurements: returns the delay of the next
  /// message, or empty to drop it. When unset, messages aren't delayed.
  std::function<std::optional<absl::Duration>()> LinkDelay;
};

/// Traffic with other nodes since the start.
struct TransportCounts {
  std::atomic<uint64_t> SentBytes = 0;
  std::atomic<uint64_t> ReceivedBytes = 0;
  /// Connections refused because the peer lacked the key or didn't encrypt.
  std::atomic<uint64_t> RefusedConnections = 0;
};

/// Sends and receives whole messages between entry nodes over ZeroMQ. One
/// thread owns all sockets. A message that can't be queued is dropped; a node
/// that needs it must ask again.
class PeerTransport {
public:
  using Handler = std::function<void(std::string_view bytes)>;

  PeerTransport(const TransportSettings &settings, Handler receive);
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Binds the address and starts the thread that calls the handler. Fails with
  /// a TransportError.
  boost::leaf::result<void> start();
  void stop();

  /// Queues \p bytes for the node at \p address ("ip:port"). May be called on
  /// any thread.
  void send(const std::string &address, std::string bytes);

  /// "ip:port" at which other nodes reach this one, after start().
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
  /// Sends one message, or logs why it can't be sent.
  void sendOne(const QueuedMessage &message);
  std::chrono::milliseconds pollTimeout() const;
  /// Answers requests of ZeroMQ whether to accept a peer by its public key.
  void answerAuthentication();
  /// Counts the handshakes that failed before the peer sent its public key.
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
  /// Receives events about failed handshakes with Inbound.
  zmq::socket_t Monitor;
  absl::flat_hash_map<std::string, Outbound> Outbounds;
  /// Nothing is sent to these, so that they are logged once.
  absl::flat_hash_set<std::string> InvalidAddresses;

  std::mutex Guard;
  std::deque<QueuedMessage> Queue;
  /// Messages delayed by LinkDelay; used by the thread only.
  std::vector<QueuedMessage> DelayedMessages;
  int WakeFd = -1;
  std::atomic<bool> Stopping = false;
  std::thread Worker;
};

} // namespace orioletally::drivers::peer

#endif

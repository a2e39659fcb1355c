#include "drivers/peer/peer_transport.h"
#include "tests/support/fleet_fixture.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <sys/socket.h>
#include <unistd.h>

using namespace orioletally;
using drivers::peer::PeerTransport;
using drivers::peer::TransportSettings;
using tests::eventually;

namespace {

constexpr size_t GreetingBytes = 64;
constexpr size_t ReadyBytes = 28;

/// The sending side of an unencrypted connection in ZMTP 3.1 (RFC 37).
class ZmtpSender {
public:
  explicit ZmtpSender(const std::string &address)
      : Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const size_t colon = address.find(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port =
        htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    IsOpen =
        ::connect(Fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) == 0;
    using namespace std::string_literals;
    write("\xff\0\0\0\0\0\0\0\1\x7f\3\1NULL"s + std::string(48, '\0'));
    write("\4\x1a\5READY\13Socket-Type\0\0\0\4PUSH"s);
    // Messages may follow once the greeting and READY of the peer have arrived.
    std::array<char, GreetingBytes + ReadyBytes> answer{};
    IsOpen = IsOpen && ::recv(Fd, answer.data(), answer.size(), MSG_WAITALL) ==
                           static_cast<ssize_t>(answer.size());
  }
  ~ZmtpSender() { ::close(Fd); }
  ZmtpSender(const ZmtpSender &) = delete;
  ZmtpSender &operator=(const ZmtpSender &) = delete;

  bool isOpen() const { return IsOpen; }

  void write(const std::string &bytes) {
    IsOpen = IsOpen && ::send(Fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                           static_cast<ssize_t>(bytes.size());
  }

  /// Makes the destructor reset the connection instead of closing it.
  void reset() const {
    const linger now{1, 0};
    ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }

private:
  int Fd;
  bool IsOpen = false;
};

/// Returns \p n messages of one byte, with a heartbeat after each tenth.
std::string messagesWithHeartbeats(int n) {
  using namespace std::string_literals;
  std::string bytes;
  for (int message = 1; message <= n; ++message) {
    bytes += "\0\1x"s;
    if (message % 10 == 0)
      bytes += "\4\7\4PING\0\0"s;
  }
  return bytes;
}

} // namespace

TEST_GROUP(PeerTransport){};

// A node that was frozen receives thousands of messages, with heartbeats among
// them, from peers that have meanwhile closed their connections. With a
// bounded queue, ZeroMQ 4.3.4 aborts the process then.
TEST(PeerTransport, SurvivesAConnectionResetBehindABacklog) {
  std::atomic<int> received = 0;
  std::atomic<bool> isResumed = false;
  PeerTransport transport(TransportSettings(), [&](std::string_view) {
    isResumed.wait(false);
    ++received;
  });
  CHECK(static_cast<bool>(transport.start()));
  {
    ZmtpSender sender(transport.address());
    // The transport reads all of it at once. With a bounded queue, what follows
    // the queued messages is still partly decoded when the connection is lost.
    sender.write(messagesWithHeartbeats(2000));
    CHECK(sender.isOpen());
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    sender.reset();
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  isResumed = true;
  isResumed.notify_all();
  CHECK(eventually([&] { return received >= 1000; }));
  // The node still receives messages from others.
  const int before = received;
  ZmtpSender next(transport.address());
  next.write(messagesWithHeartbeats(10));
  CHECK(eventually([&] { return received >= before + 10; }));
  transport.stop();
}

// An invalid address on the list of nodes discarded the messages queued behind
// it, and ended the process when it was still queued at the stop.
TEST(PeerTransport, InvalidAddressAffectsNoOtherMessage) {
  std::atomic<int> received = 0;
  TransportSettings settings;
  settings.Address = "127.0.0.1";
  PeerTransport receiver(settings, [&](std::string_view) { ++received; });
  CHECK(static_cast<bool>(receiver.start()));
  PeerTransport sender(settings, [](std::string_view) {});
  CHECK(static_cast<bool>(sender.start()));
  // Fewer than ZeroMQ queues for a peer that it isn't connected to yet.
  constexpr int Messages = 40;
  for (int n = 0; n < Messages; ++n) {
    for (const char *invalid :
         {"127.0.0.1:99999", "127.0.0.1", "", "127.0.0.1:x"})
      sender.send(invalid, "lost");
    sender.send(receiver.address(), "kept");
  }
  CHECK(eventually([&] { return received == Messages; }));
  for (int n = 0; n < Messages; ++n)
    sender.send("127.0.0.1:99999", "lost");
  sender.stop();
}

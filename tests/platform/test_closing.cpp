#include "tests/support/relay_fixture.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally;
using namespace orioletally::tests;

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int AnswerMs = 12'000;
/// The process is stopped for StopMs of every StopEveryMs.
constexpr int StopMs = 60;
constexpr int StopEveryMs = 160;
/// Longest pause of a caller between two of its connections.
constexpr unsigned MaxPauseMs = 100;

void sleepMs(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

int environmentNumber(const char *name, int otherwise) {
  const char *value = std::getenv(name);
  return value == nullptr ? otherwise : std::atoi(value);
}

std::string request(const std::string &path, const std::string &id,
                    const std::string &body = "b") {
  return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nAuthorization: "
                     "Token key-n\r\nX-Orioletally-Attempt-Id: {}\r\n"
                     "Content-Length: {}\r\n\r\n{}",
                     path, id, body.size(), body);
}

/// How a request on a connection ended.
enum class Outcome { NotConnected, Served, Refused, Closed, Reset, Odd };

/// A caller's connection that tells a close from a reset.
class Connection {
public:
  explicit Connection(const std::string &address)
      : Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(
        std::atoi(address.substr(address.rfind(':') + 1).c_str())));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    IsOpen = ::connect(Fd, reinterpret_cast<sockaddr *>(&to), sizeof(to)) == 0;
  }
  ~Connection() { ::close(Fd); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool isOpen() const { return IsOpen; }

  /// Sends \p text; returns whether the connection was reset.
  bool send(const std::string &text) {
    const ssize_t n = ::send(Fd, text.data(), text.size(), MSG_NOSIGNAL);
    return n < 0 && (errno == ECONNRESET || errno == EPIPE);
  }

  /// Reads the answer to one request.
  Outcome read() {
    std::string all;
    char buf[4096];
    for (;;) {
      pollfd it{Fd, POLLIN, 0};
      if (::poll(&it, 1, AnswerMs) != 1)
        return Outcome::Odd;
      const ssize_t n = ::recv(Fd, buf, sizeof(buf), 0);
      if (n < 0)
        return Outcome::Reset;
      if (n == 0)
        return all.empty() ? Outcome::Closed : Outcome::Odd;
      all.append(buf, static_cast<size_t>(n));
      const size_t end = all.find("\r\n\r\n");
      const size_t at = all.find("Content-Length: ");
      if (end == std::string::npos || at == std::string::npos)
        continue;
      if (all.size() < end + 4 + std::strtoul(&all[at + 16], nullptr, 10))
        continue;
      if (all.starts_with("HTTP/1.1 200"))
        return Outcome::Served;
      return all.starts_with("HTTP/1.1 503") &&
                     all.find("Retry-After") != std::string::npos
                 ? Outcome::Refused
                 : Outcome::Odd;
    }
  }

  Outcome call(const std::string &text) {
    if (!IsOpen)
      return Outcome::NotConnected;
    send(text);
    return read();
  }

private:
  int Fd;
  bool IsOpen = false;
};

/// Counts of outcomes, indexed by Outcome.
class Outcomes {
public:
  void add(Outcome it) { ++Counts[static_cast<size_t>(it)]; }
  int of(Outcome it) const { return Counts[static_cast<size_t>(it)]; }
  int requests() const {
    return of(Outcome::Served) + of(Outcome::Refused) + of(Outcome::Closed) +
           of(Outcome::Reset) + of(Outcome::Odd);
  }
  std::string text() const {
    return fmt::format(
        "{} requests: {} served, {} refused, {} closed, {} reset, {} odd",
        requests(), of(Outcome::Served), of(Outcome::Refused),
        of(Outcome::Closed), of(Outcome::Reset), of(Outcome::Odd));
  }

private:
  std::atomic<int> Counts[6] = {};
};

} // namespace

TEST_GROUP(Closing) {
  RelayFixture fixture;
  StandInBackend backend{scripts::answer("whole")};

  void setup() override { fixture.configure(1); }

  bool start(const std::string &nodeLines) {
    for (int n = 0; n < 3; ++n)
      fixture.listBackend(fmt::format("p-{}", n), "plain", backend.address());
    const std::string path = fixture.writeSettings("");
    std::ifstream in(path);
    std::string text(std::istreambuf_iterator<char>(in), {});
    const std::string section = "[node]\n";
    text.insert(text.find(section) + section.size(), nodeLines + "\n");
    fixture.Process.start(
        {"entry", "--settings", fixture.Process.writeFile("entry.toml", text)});
    return fixture.Process
               .waitEvent("backends_read_whole", std::chrono::seconds(15))
               .has_value() &&
           within(AnswerMs, [this] { return fixture.isReady(); });
  }

  /// Counts the calls that the node has read and not answered.
  int callsWithoutAnswer() {
    int count = 0;
    std::istringstream lines(fixture.Process.log());
    for (std::string line; std::getline(lines, line);) {
      const json it = json::parse(line, nullptr, false);
      if (it.is_object() && it.value("event", "") == "call" &&
          !it.value("whole", true))
        ++count;
    }
    return count;
  }

  /// Stops the node beside callers that open a connection for each request, and
  /// checks that each gets an answer. A body that arrives slowly keeps the node
  /// up to the end of \p graceS.
  void stopBesideNewConnections(bool isStopped) {
    const int graceS = environmentNumber("ORIOLETALLY_CLOSING_GRACE_S", 4);
    const int callerCount =
        environmentNumber("ORIOLETALLY_CLOSING_CALLERS", 40);
    const auto seed =
        static_cast<unsigned>(environmentNumber("ORIOLETALLY_CLOSING_SEED", 1));
    CHECK(start(fmt::format("grace_s = {}", graceS)));
    Connection slow(fixture.CallsAddress);
    const std::string text = request("/write/x", "slow", "body");
    slow.send(text.substr(0, text.size() - 2));
    sleepMs(100);
    Outcomes outcomes;
    std::vector<std::thread> callers;
    for (int n = 0; n < callerCount; ++n)
      callers.emplace_back([&, n] {
        std::mt19937 random(seed * 1'000 + static_cast<unsigned>(n));
        for (int k = 0;; ++k) {
          sleepMs(static_cast<int>(random() % MaxPauseMs));
          Connection caller(fixture.CallsAddress);
          const Outcome it =
              caller.call(request("/read/x", fmt::format("c{}-{}", n, k)));
          outcomes.add(it);
          if (it == Outcome::NotConnected)
            return;
        }
      });
    std::atomic<bool> hasEnded = false;
    std::thread stopper([&] {
      while (isStopped && !hasEnded) {
        fixture.Process.signal(SIGSTOP);
        sleepMs(StopMs);
        fixture.Process.signal(SIGCONT);
        sleepMs(StopEveryMs - StopMs);
      }
    });
    fixture.Process.signal(SIGTERM);
    for (std::thread &it : callers)
      it.join();
    hasEnded = true;
    stopper.join();
    CHECK(fixture.Process.waitExit(std::chrono::seconds(2)) >= 0);
    const Outcome slowOutcome = slow.read();
    const int unanswered = callsWithoutAnswer();
    fmt::print("seed {}: {}, {} read and not answered\n", seed, outcomes.text(),
               unanswered);
    LONGS_EQUAL(0, unanswered);
    LONGS_EQUAL(0, outcomes.of(Outcome::Reset));
    LONGS_EQUAL(0, outcomes.of(Outcome::Odd));
    // At most 5 of 13,000: fewer than one in the short form.
    CHECK(outcomes.of(Outcome::Closed) <= 5 * outcomes.requests() / 13'000);
    CHECK(slowOutcome == Outcome::Refused);
  }
};

TEST(Closing, NewConnectionsOfAStoppingNodeAreAnswered) {
  stopBesideNewConnections(false);
}

TEST(Closing, NewConnectionsOfAStoppingNodeThatStandsStillAreAnswered) {
  stopBesideNewConnections(true);
}

// A request that crosses the close of an idle connection must see the close
// rather than a reset.
TEST(Closing, RequestsThatCrossTheIdleTimeoutAreNotReset) {
  constexpr int IdleMs = 1'000;
  constexpr int SpreadMs = 20;
  const int callerCount = environmentNumber("ORIOLETALLY_CLOSING_CALLERS", 40);
  const auto seed =
      static_cast<unsigned>(environmentNumber("ORIOLETALLY_CLOSING_SEED", 1));
  json config = json::parse(fixture.Store.value("op", "config"));
  config["limits"]["idle_timeout_ms"] = IdleMs;
  fixture.Store.put("op", "config", config.dump());
  CHECK(start("grace_s = 4"));
  Outcomes outcomes;
  std::vector<std::thread> callers;
  for (int n = 0; n < callerCount; ++n)
    callers.emplace_back([&, n] {
      std::mt19937 random(seed * 1'000 + static_cast<unsigned>(n));
      for (int k = 0; k < 3; ++k) {
        Connection caller(fixture.CallsAddress);
        outcomes.add(
            caller.call(request("/read/x", fmt::format("a{}-{}", n, k))));
        sleepMs(IdleMs - SpreadMs / 2 + static_cast<int>(random() % SpreadMs));
        outcomes.add(
            caller.call(request("/read/x", fmt::format("b{}-{}", n, k))));
      }
    });
  for (std::thread &it : callers)
    it.join();
  const int unanswered = callsWithoutAnswer();
  fmt::print("seed {}: {}, {} read and not answered\n", seed, outcomes.text(),
             unanswered);
  LONGS_EQUAL(0, unanswered);
  LONGS_EQUAL(0, outcomes.of(Outcome::Reset));
  LONGS_EQUAL(0, outcomes.of(Outcome::Odd));
  CHECK(fixture.Process.waitEvent("connection_closed", std::chrono::seconds(2))
            .has_value());
}

// Callers learn of a shorter idle timeout later than the node does.
TEST(Closing, CallersMayFollowTheEarlierIdleTimeoutForAWhile) {
  CHECK(start("grace_s = 4"));
  Connection caller(fixture.CallsAddress);
  CHECK(caller.call(request("/read/x", "a1")) == Outcome::Served);
  json config = json::parse(fixture.Store.value("op", "config"));
  config["limits"]["idle_timeout_ms"] = 1'000;
  config["version"] = 2;
  fixture.Store.put("op", "config", config.dump());
  CHECK(within(AnswerMs, [this] {
    Connection(fixture.CallsAddress).call(request("/read/x", "look"));
    return fixture.Process.log().find("\"config\":2,") != std::string::npos;
  }));
  CHECK(caller.call(request("/read/x", "a2")) == Outcome::Served);
  sleepMs(2'000);
  CHECK(caller.call(request("/read/x", "a3")) == Outcome::Served);
}

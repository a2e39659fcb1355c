#include "tests/support/relay_fixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fmt/format.h>
#include <functional>
#include <list>
#include <string>
#include <thread>
#include <vector>

using namespace orioletally::tests;
namespace lab = orioletally::lab;

namespace {

constexpr int MemoryMb = 260;
constexpr int DefaultCalls = 60;
/// With 4.1 MB each, more than the process may use.
constexpr int DefaultPrompts = 90;
constexpr int SoundThreads = 4;
constexpr double SoundShare = 0.9;
constexpr size_t PromptBytes = 4'100'000;
constexpr size_t MaxBodyBytes = 4'194'304;
constexpr size_t BlockBytes = 1 << 16;
/// Endless callers and servers stop after this time.
constexpr int EndlessMs = 5'000;

using Clock = std::chrono::steady_clock;

bool isPast(Clock::time_point start, int ms) {
  return Clock::now() - start > std::chrono::milliseconds(ms);
}

/// Calls at once; ENDLESS_CALLS replaces the default in a run by hand.
int callsAtOnce(int usual = DefaultCalls) {
  const char *text = std::getenv("ENDLESS_CALLS");
  return text == nullptr ? usual : std::atoi(text);
}

std::string repeated(const std::string &part) {
  std::string many;
  while (many.size() < BlockBytes)
    many += part;
  return many;
}

const std::string OkHead = "HTTP/1.1 200 OK\r\n"
                           "X-Orioletally-Attempt-Id: {id}\r\n"
                           "X-Orioletally-Response-Signature: s\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";

/// Writes \p start, the first \p limit bytes of an endless repetition of
/// \p more, and then nothing.
StandInBackend::Script endless(std::string start, std::string more,
                               size_t limit = SIZE_MAX) {
  return [=, many = repeated(more)](const lab::RawRequest &request,
                                    const lab::RawConnection &out) {
    const auto startedAt = Clock::now();
    std::string head = start;
    const size_t at = head.find("{id}");
    if (at != std::string::npos)
      head.replace(at, 4, request.header("x-orioletally-attempt-id"));
    out.write(head);
    size_t written = 0;
    while (!isPast(startedAt, EndlessMs) && !out.closesWithin(0)) {
      if (written >= limit) {
        out.closesWithin(EndlessMs);
        break;
      }
      out.write(many);
      written += many.size();
    }
    return false;
  };
}

std::string requestHead(const std::string &path, const std::string &more) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-n\r\n"
         "X-Orioletally-Attempt-Id: a-1\r\n" +
         more + "\r\n";
}

} // namespace

TEST_GROUP(EndlessBytes) {
  struct Outcome {
    long PeakKilobytes = 0;
    int Calls = 0;
    int Sound = 0;
    int Served = 0;
  };

  RelayFixture Node;
  std::list<StandInBackend> Servers;

  void addServer(const std::string &service, const StandInBackend::Script &it) {
    Servers.emplace_back(it);
    Node.listBackend(fmt::format("i-{}", Servers.size()), service,
                     Servers.back().address());
  }

  void startNode() {
    Node.MemoryMb = MemoryMb;
    Node.MaxBodyBytes = MaxBodyBytes;
    Node.PlainTimeoutMs = EndlessMs;
    Node.configure(1);
    CHECK(Node.start(Servers.size()));
  }

  /// Runs \p caller in \p calls threads beside sound calls to \p path.
  Outcome play(const std::string &path, int calls,
               const std::function<void(int)> &caller) {
    std::atomic<bool> isOver = false;
    std::atomic<int> sound = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> soundCallers;
    for (int n = 0; n < SoundThreads; ++n)
      soundCallers.emplace_back([&] {
        while (!isOver) {
          const CallerAnswer answer =
              Node.call("POST", path, "", std::string(800, 'p'));
          ++sound;
          if (answer.Status == 200 && answer.Complete)
            ++served;
          std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
      });
    std::vector<std::thread> callers;
    for (int n = 0; n < calls; ++n)
      callers.emplace_back([&caller, n] { caller(n); });
    for (std::thread &it : callers)
      it.join();
    isOver = true;
    for (std::thread &it : soundCallers)
      it.join();
    return {Node.Process.highestKilobytes(), calls, sound, served};
  }

  void checkOutcome(const char *name, const Outcome &it) {
    if (std::getenv("ENDLESS_CALLS") != nullptr)
      fmt::print(stderr, "{}: calls {}, highest {} kB, sound {} of {}\n", name,
                 it.Calls, it.PeakKilobytes, it.Served, it.Sound);
    CHECK_TEXT(it.PeakKilobytes > 0, "the node has ended");
    CHECK_TEXT(it.PeakKilobytes < MemoryMb * 1'024, name);
    CHECK_TEXT(it.Sound >= SoundThreads, name);
    CHECK_TEXT(it.Served >= SoundShare * it.Sound, name);
  }

  /// Plays endless answers of servers for plain calls.
  void playPlain(const char *name, const StandInBackend::Script &script) {
    for (int n = 0; n < 4; ++n)
      addServer("plain", script);
    addServer("engine", scripts::stream(1, 3, 1));
    startNode();
    checkOutcome(name, play("/ask/x", callsAtOnce(),
                            [this](int) { Node.call("GET", "/read/x"); }));
  }

  /// Plays endless answers of servers for streams.
  void playStream(const char *name, const StandInBackend::Script &script) {
    for (int n = 0; n < 4; ++n)
      addServer("engine", script);
    addServer("plain", scripts::answer(std::string(800, 'a')));
    startNode();
    checkOutcome(name, play("/read/x", callsAtOnce(),
                            [this](int) { Node.call("GET", "/ask/x"); }));
  }

  void addSoundServers() {
    for (int n = 0; n < 2; ++n)
      addServer("plain", scripts::answer(std::string(800, 'a')));
    addServer("engine", scripts::stream(1, 3, 1));
  }

  /// Sends a prompt whose body ends after about \p ms, in chunks or not, and
  /// returns the answer.
  std::string sendPrompt(bool isChunked, int ms) {
    constexpr int Parts = 64;
    const auto connection = lab::connectTo(Node.CallsAddress);
    if (connection == nullptr)
      return "";
    const std::string part(PromptBytes / Parts, 'p');
    connection->write(
        requestHead("/read/x", isChunked ? "Transfer-Encoding: chunked\r\n"
                                         : fmt::format("Content-Length: {}\r\n",
                                                       part.size() * Parts)));
    for (int n = 0; n < Parts; ++n) {
      connection->write(
          isChunked ? fmt::format("{:x}\r\n{}\r\n", part.size(), part) : part);
      std::this_thread::sleep_for(std::chrono::milliseconds(ms / Parts));
    }
    if (isChunked)
      connection->write("0\r\n\r\n");
    return connection->receive(EndlessMs);
  }
};

TEST(EndlessBytes, EndlessChunks) {
  playPlain("chunks", endless(OkHead + Chunked,
                              "1000\r\n" + std::string(4096, 'a') + "\r\n"));
}

TEST(EndlessBytes, NoLength) {
  playPlain("no length", endless(OkHead + "\r\n", "aaaaaaaaaaaaaaaa"));
}

TEST(EndlessBytes, FalseLength) {
  playPlain("false length",
            endless(OkHead + "Content-Length: 8388608\r\n\r\n",
                    "aaaaaaaaaaaaaaaa", (8 << 20) - BlockBytes));
}

TEST(EndlessBytes, EndlessFailure) {
  playPlain("failure",
            endless("HTTP/1.1 500 X\r\nX-Orioletally-Attempt-Id: {id}\r\n\r\n",
                    "aaaaaaaaaaaaaaaa"));
}

TEST(EndlessBytes, EndlessTrailers) {
  playPlain("trailers", endless(OkHead + Chunked + "1\r\na\r\n0\r\nX-A: ",
                                "aaaaaaaaaaaaaaaa"));
}

TEST(EndlessBytes, EndlessChunkExtension) {
  playPlain("chunk extension",
            endless(OkHead + Chunked + "1;x=", "aaaaaaaaaaaaaaaa"));
}

TEST(EndlessBytes, EndlessHead) {
  playPlain("head", endless(OkHead + "X-Long: ", "aaaaaaaaaaaaaaaa"));
}

TEST(EndlessBytes, BytesAfterAnAnswer) {
  playPlain("after an answer", endless(OkHead + "Content-Length: 4\r\n\r\nbody",
                                       "aaaaaaaaaaaaaaaa"));
}

TEST(EndlessBytes, EndlessEvent) {
  playStream("event", endless(OkHead + "\r\n", "data: aaaaaaaaaa"));
}

// Each caller takes a second and more to send its body.
TEST(EndlessBytes, LargeBodiesWithALength) {
  addSoundServers();
  startNode();
  std::atomic<int> served = 0;
  std::atomic<int> refused = 0;
  const Outcome it = play("/read/x", callsAtOnce(DefaultPrompts), [&](int) {
    const std::string answer = sendPrompt(false, 1'500);
    if (answer.starts_with("HTTP/1.1 200"))
      ++served;
    else if (answer.find("memory_full") != std::string::npos &&
             answer.starts_with("HTTP/1.1 503") &&
             answer.find("Retry-After: ") != std::string::npos &&
             answer.find("\"not_run\"") != std::string::npos)
      ++refused;
  });
  checkOutcome("large bodies", it);
  CHECK(served > 0);
  LONGS_EQUAL(it.Calls, served + refused);
}

TEST(EndlessBytes, LargeBodiesInChunks) {
  addSoundServers();
  startNode();
  checkOutcome("large bodies in chunks",
               play("/read/x", callsAtOnce(DefaultPrompts),
                    [&](int) { sendPrompt(true, 1'500); }));
}

TEST(EndlessBytes, LargeBodiesBesideEndlessAnswers) {
  for (int n = 0; n < 4; ++n)
    addServer("plain", endless(OkHead + "\r\n", "aaaaaaaaaaaaaaaa"));
  addServer("engine", scripts::stream(1, 3, 1));
  startNode();
  checkOutcome(
      "large bodies and endless answers",
      play("/ask/x", callsAtOnce() + callsAtOnce(DefaultPrompts), [&](int n) {
        if (n % 2 == 0)
          sendPrompt(false, 1'500);
        else
          Node.call("GET", "/read/x");
      }));
}

// Callers that don't read their large answers.
TEST(EndlessBytes, CallersThatDoNotRead) {
  addServer("plain", scripts::answer(std::string(8'000'000, 'a')));
  addServer("engine", scripts::stream(1, 3, 1));
  startNode();
  checkOutcome(
      "callers that don't read", play("/ask/x", callsAtOnce(), [&](int) {
        const auto connection = lab::connectTo(Node.CallsAddress);
        if (connection == nullptr)
          return;
        connection->write(requestHead("/read/x", "Content-Length: 0\r\n"));
        std::this_thread::sleep_for(std::chrono::milliseconds(EndlessMs));
      }));
}

#include "tests/support/relay_fixture.h"

#include <chrono>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally::tests;
namespace lab = orioletally::lab;

namespace {

using lab::RawConnection;
using lab::RawRequest;

/// After an answer that isn't HTTP, a server gets no calls for a while, so that
/// each of the answers below needs servers of its own.
constexpr int ServersPerService = 24;

/// Headers of an answer that the node would deliver.
constexpr const char *Identity = "X-Orioletally-Attempt-Id: {id}\r\n"
                                 "X-Orioletally-Response-Signature: s\r\n";

/// One answer of a backend server.
struct Spoiled {
  /// Has "{id}" for the attempt's id.
  std::string Bytes;
  /// Whether the connection is closed behind it.
  bool IsClosed = false;
};

/// Servers that spoil the answer to the first attempt at each call and answer
/// later ones as they should.
class SpoilingServers {
public:
  SpoilingServers(RelayFixture &fixture, const std::string &service,
                  StandInBackend::Script sound)
      : Sound(std::move(sound)) {
    for (int n = 0; n < ServersPerService; ++n) {
      Servers.push_back(std::make_unique<StandInBackend>(
          [this](const RawRequest &request, const RawConnection &out) {
            return answer(request, out);
          }));
      fixture.listBackend(fmt::format("{}-{}", service, n), service,
                          Servers.back()->address());
    }
  }

  void spoil(const Spoiled &next) {
    const std::lock_guard lock(Guard);
    Next = next;
  }

  int attempts(const std::string &id) {
    const std::lock_guard lock(Guard);
    return Attempts[id];
  }

private:
  bool answer(const RawRequest &request, const RawConnection &out) {
    std::unique_lock lock(Guard);
    const Spoiled own = Next;
    const int attempt = ++Attempts[request.header("x-orioletally-attempt-id")];
    lock.unlock();
    if (attempt > 1)
      return Sound(request, out);
    return scripts::bytes(own.Bytes, own.IsClosed)(request, out);
  }

  std::mutex Guard;
  Spoiled Next;
  std::map<std::string, int> Attempts;
  StandInBackend::Script Sound;
  std::vector<std::unique_ptr<StandInBackend>> Servers;
};

} // namespace

TEST_GROUP(BackendAnswers) {
  RelayFixture fixture;
  int Calls = 0;

  void setup() override { fixture.configure(1); }

  std::string nextId() { return fmt::format("a{}", ++Calls); }

  CallerAnswer call(const std::string &path, const std::string &id) const {
    return fixture.call(
        "POST", path, fmt::format("X-Orioletally-Attempt-Id: {}\r\n", id), "b");
  }

  /// Checks that no caller gets one of \p answers: an order ends with 502 after
  /// one attempt, a call that may be repeated has its answer from another
  /// server.
  void checkRefused(const std::vector<Spoiled> &answers) {
    SpoilingServers servers(fixture, "plain", scripts::answer("sound"));
    CHECK(fixture.start(ServersPerService));
    for (const Spoiled &it : answers) {
      servers.spoil(it);
      const std::string order = nextId();
      const CallerAnswer answer = call("/write/x", order);
      LONGS_EQUAL_TEXT(502, answer.Status, it.Bytes.c_str());
      LONGS_EQUAL_TEXT(1, servers.attempts(order), it.Bytes.c_str());
      STRCMP_EQUAL("sound", call("/read/x", nextId()).Body.c_str());
    }
  }

  /// The same for streams, which no other server continues before an event.
  void checkStreamsRefused(const std::vector<Spoiled> &answers) {
    SpoilingServers servers(fixture, "engine", scripts::stream(1, 3, 1));
    CHECK(fixture.start(ServersPerService));
    for (const Spoiled &it : answers) {
      servers.spoil(it);
      const std::string id = nextId();
      const CallerAnswer answer = call("/once/x", id);
      LONGS_EQUAL_TEXT(502, answer.Status, it.Bytes.c_str());
      LONGS_EQUAL_TEXT(1, servers.attempts(id), it.Bytes.c_str());
    }
  }
};

namespace {

std::vector<Spoiled> withStatuses(const std::string &rest) {
  std::vector<Spoiled> answers;
  for (const char *status : {"000", "007", "099", "600", "999"})
    answers.push_back(
        {fmt::format("HTTP/1.1 {} X\r\n{}{}", status, Identity, rest)});
  answers.push_back(
      {fmt::format("HTTP/1.1 101 Switching Protocols\r\n{}\r\n", Identity) +
       fmt::format("HTTP/1.1 200 OK\r\n{}{}", Identity, rest)});
  return answers;
}

} // namespace

// Guards against an answer whose status HTTP doesn't have reaching a caller
// (review/10).
TEST(BackendAnswers, StatusOutsideOfHttpIsNotDelivered) {
  checkRefused(withStatuses("Content-Length: 5\r\n\r\nwhole"));
}

TEST(BackendAnswers, StreamWithStatusOutsideOfHttpIsNotDelivered) {
  checkStreamsRefused(withStatuses("Content-Type: text/event-stream\r\n"
                                   "Content-Length: 18\r\n\r\n"
                                   "id: 1\ndata: whole\n"));
}

// Guards against a head with a line that begins with a blank: the line is
// joined to the one before it, so that the body's length or the answer's
// signature may be lost.
TEST(BackendAnswers, FoldedLineIsNotDelivered) {
  const std::string start = fmt::format("HTTP/1.1 200 OK\r\n{}", Identity);
  checkRefused({
      {start + "X-A: b\r\n X-B: c\r\nContent-Length: 5\r\n\r\nwhole"},
      {start + "X-A: b\r\n\tX-B: c\r\nContent-Length: 5\r\n\r\nwhole"},
      {start + "X-A: b\r\n Content-Length: 20\r\n\r\nwhole", true},
  });
}

TEST(BackendAnswers, StreamWithFoldedLineIsNotDelivered) {
  checkStreamsRefused(
      {{fmt::format("HTTP/1.1 200 OK\r\n{}X-A: b\r\n Content-Length: 99\r\n"
                    "\r\nid: 1\ndata: whole\n\n",
                    Identity),
        true}});
}

// Guards against a body whose end or coding the node takes for another than the
// server does.
TEST(BackendAnswers, AmbiguousFramingIsNotDelivered) {
  const std::string start = fmt::format("HTTP/1.1 200 OK\r\n{}", Identity);
  const std::string old = fmt::format("HTTP/1.0 200 OK\r\n{}", Identity);
  const std::string chunked = "\r\n5\r\nwhole\r\n0\r\n\r\n";
  checkRefused({
      {start + "Transfer-Encoding: gzip, chunked\r\n" + chunked},
      {start + "Transfer-Encoding: gzip\r\n\r\nwhole", true},
      {start + "Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nwhole"},
      {start + "Transfer-Encoding:\r\nContent-Length: 5\r\n\r\nwhole"},
      {start + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole"},
      {old + "Transfer-Encoding: chunked\r\n" + chunked},
  });
}

TEST(BackendAnswers, StreamWithAmbiguousFramingIsNotDelivered) {
  const std::string start = fmt::format(
      "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n", Identity);
  const std::string event = "id: 1\ndata: a\n\n";
  checkStreamsRefused({
      {start + "Transfer-Encoding: gzip\r\n\r\n" + event, true},
      {fmt::format("{}Transfer-Encoding: gzip, chunked\r\n\r\n{:x}\r\n{}\r\n"
                   "0\r\n\r\n",
                   start, event.size(), event)},
  });
}

// Guards against fields of a trailer delivered as fields of the head.
TEST(BackendAnswers, TrailersAreNotDeliveredAsHead) {
  StandInBackend server(scripts::bytes(
      fmt::format("HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n"
                  "5\r\nwhole\r\n0\r\nX-Late: 1\r\n"
                  "X-Orioletally-Response-Signature: other\r\n\r\n",
                  Identity),
      false));
  fixture.listBackend("plain", "plain", server.address());
  CHECK(fixture.start(1));
  const CallerAnswer answer = call("/write/x", "a1");
  LONGS_EQUAL(200, answer.Status);
  STRCMP_EQUAL("whole", answer.Body.c_str());
  STRCMP_EQUAL("", answer.header("x-late").c_str());
  LONGS_EQUAL(std::string::npos, answer.Head.find("other"));
}

TEST_GROUP(EarlyAnswers) {
  /// More than a server with small buffers accepts before it reads.
  static constexpr size_t UploadBytes = 400'000;
  static constexpr size_t MaxUploadBytes = 4'000'000;
  RelayFixture fixture;

  void setup() override {
    fixture.MaxBodyBytes = MaxUploadBytes;
    fixture.configure(1);
  }

  /// What a server does after the first bytes of an answer without a length,
  /// which it has written without reading the request's body.
  enum class End { Close, HalfClose, Reset, HalfCloseThenReset };

  /// Makes \p calls calls to \p path with bodies of \p bytes and returns how
  /// many had a part of an answer delivered as a whole one. The servers wait
  /// \p delayMs before the end.
  int countTruncated(const char *service, const char *path,
                     const std::string &type, End end, size_t bytes,
                     int delayMs) {
    std::vector<std::unique_ptr<lab::RawServer>> servers;
    for (int n = 0; n < ServersPerService; ++n) {
      servers.push_back(std::make_unique<lab::RawServer>(
          [=](const RawRequest &request, const RawConnection &out) {
            out.write(fmt::format(
                "HTTP/1.1 200 OK\r\nX-Orioletally-Attempt-Id: {}\r\n"
                "X-Orioletally-Response-Signature: s\r\n{}\r\n{}",
                request.header("x-orioletally-attempt-id"), type,
                type.empty() ? "abc" : "id: 1\ndata: a\n\n"));
            std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
            if (end == End::HalfClose || end == End::HalfCloseThenReset) {
              out.shutdownSending();
              std::this_thread::sleep_for(std::chrono::milliseconds(
                  end == End::HalfClose ? HalfCloseMs : delayMs));
            }
            if (end == End::Reset || end == End::HalfCloseThenReset)
              out.reset();
            return false;
          },
          lab::RequestPart::Head));
      fixture.listBackend(fmt::format("{}-{}", service, n), service,
                          servers.back()->address());
    }
    CHECK(fixture.start(ServersPerService));
    int truncated = 0;
    for (int n = 0; n < ServersPerService / 2; ++n) {
      const CallerAnswer answer = fixture.call(
          "POST", path, fmt::format("X-Orioletally-Attempt-Id: a{}\r\n", n),
          std::string(bytes, 'b'));
      const bool isWhole =
          answer.Complete || answer.header("content-length") == "3";
      truncated += answer.Status == 200 && isWhole ? 1 : 0;
    }
    return truncated;
  }

  static constexpr int HalfCloseMs = 1'500;

  void checkPlain(End end, size_t bytes, int delayMs) {
    LONGS_EQUAL(0,
                countTruncated("plain", "/write/x", "", end, bytes, delayMs));
  }
  void checkStream(End end, size_t bytes, int delayMs) {
    LONGS_EQUAL(0, countTruncated("engine", "/once/x",
                                  "Content-Type: text/event-stream\r\n", end,
                                  bytes, delayMs));
  }
};

// These guard against a part of an answer delivered as a whole one: the server
// ends the connection before it has received the request.
TEST(EarlyAnswers, ResetIsNotTheEndOfAnAnswer) {
  checkPlain(End::Reset, UploadBytes, 5);
}

TEST(EarlyAnswers, ResetBeforeTheNodeReadsIsNotTheEndOfAnAnswer) {
  checkPlain(End::Reset, UploadBytes, 0);
}

TEST(EarlyAnswers, ResetUnderALargeUploadIsNotTheEndOfAnAnswer) {
  checkPlain(End::Reset, MaxUploadBytes, 5);
}

TEST(EarlyAnswers, CloseBeforeTheRequestIsReadIsNotTheEndOfAnAnswer) {
  checkPlain(End::Close, UploadBytes, 5);
}

TEST(EarlyAnswers, HalfCloseBeforeTheRequestIsReadIsNotTheEndOfAnAnswer) {
  checkPlain(End::HalfClose, UploadBytes, 5);
}

TEST(EarlyAnswers, ResetAfterAHalfCloseIsNotTheEndOfAnAnswer) {
  checkPlain(End::HalfCloseThenReset, UploadBytes, 5);
}

TEST(EarlyAnswers, ResetIsNotTheEndOfAStream) {
  checkStream(End::Reset, UploadBytes, 5);
}

TEST(EarlyAnswers, HalfCloseBeforeTheRequestIsReadIsNotTheEndOfAStream) {
  checkStream(End::HalfClose, UploadBytes, 5);
}

TEST(EarlyAnswers, ResetAfterAHalfCloseIsNotTheEndOfAStream) {
  checkStream(End::HalfCloseThenReset, UploadBytes, 5);
}

#include "drivers/peer/peer_transport.h"
#include "proto/generated/relay.pb.h"
#include "tests/support/relay_fixture.h"

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <thread>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally;
using namespace orioletally::tests;

namespace {

std::string events(int from, int to) {
  std::string out;
  for (int id = from; id <= to; ++id)
    out += fmt::format("id: {}\ndata: x\n\n", id);
  return out;
}

constexpr const char *NotExecutedAnswer =
    "HTTP/1.1 503 X\r\nX-Orioletally-Attempt-Id: {id}\r\n"
    "X-Orioletally-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
constexpr const char *RetryAfterAnswer =
    "HTTP/1.1 503 X\r\nX-Orioletally-Attempt-Id: {id}\r\n"
    "X-Orioletally-Not-Executed: 1\r\nRetry-After: 1.5\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr const char *ServerErrorAnswer =
    "HTTP/1.1 500 X\r\nX-Orioletally-Attempt-Id: {id}\r\n"
    "X-Orioletally-Response-Signature: bad\r\nContent-Length: 3\r\n\r\nerr";

/// Time after the fifth crash in which a quarantine must be in force, as the
/// platform states it (stable_window_ms).
constexpr std::chrono::seconds QuarantineDeadline(3);

/// Engines that crash when they begin to answer a prompt with a certain part.
class CrashingEngines {
public:
  CrashingEngines(RelayFixture &fixture, int count) {
    for (int n = 0; n < count; ++n) {
      Engines.push_back(std::make_unique<StandInBackend>(
          [this](const lab::RawRequest &request,
                 const lab::RawConnection &out) {
            const bool isCrash =
                request.header("x-orioletally-prompt-prefix").find("bad:") !=
                std::string::npos;
            if (!isCrash)
              return scripts::stream(1, 3, 1)(request, out);
            ++Crashes;
            return scripts::brokenStream(1)(request, out);
          }));
      fixture.listBackend(fmt::format("e-{}", n), "engine",
                          Engines.back()->address());
    }
  }

  CallerAnswer askSound(const RelayFixture &node) const {
    return ask(node, "first:40,shared:500,{}:100");
  }
  CallerAnswer askCrashing(const RelayFixture &node) const {
    return ask(node, "first:40,bad:300,shared:500,{}:90");
  }
  int crashes() const { return Crashes; }

private:
  /// \p parts has a place for the id of the prompt's own part.
  CallerAnswer ask(const RelayFixture &node, const std::string &parts) const {
    const std::string own = fmt::format("p{}", ++Prompts);
    return node.call("POST", "/ask/x",
                     fmt::format("X-Orioletally-Attempt-Id: {}\r\n"
                                 "X-Orioletally-Token-Counts: 900,10\r\n"
                                 "X-Orioletally-Prompt-Prefix: {}\r\n",
                                 own, fmt::format(fmt::runtime(parts), own)));
  }

  std::atomic<int> Crashes = 0;
  mutable int Prompts = 0;
  std::vector<std::unique_ptr<StandInBackend>> Engines;
};

} // namespace

TEST_GROUP(Relay) {
  RelayFixture fixture;

  void setup() override { fixture.configure(1); }

  /// Returns whether the node's entry is in the store within \p ms.
  bool isRegisteredWithin(int ms) const {
    return within(ms, [this] {
      return !fixture.Store.value("entry-nodes", "n1").empty();
    });
  }

  /// Sends SIGTERM and waits for the log line that tells whether the node
  /// removed its entry.
  std::optional<nlohmann::json> stopAndWaitUnregistered() {
    fixture.Process.signal(SIGTERM);
    return fixture.Process.waitEvent("node_forgotten", std::chrono::seconds(2));
  }
};

TEST(Relay, ForwardsCallAndAnswerUnchanged) {
  StandInBackend backend(scripts::answer("hello"));
  fixture.listBackend("i-1", "plain", backend.address());
  CHECK(fixture.start(1));
  const CallerAnswer answer = fixture.call(
      "POST", "/read/x?q=1",
      "X-Other: kept\r\nX-Orioletally-Tenant: south\r\n"
      "X-Orioletally-Deadline-Ms: 800\r\nConnection: X-Drop\r\nX-Drop: 1\r\n",
      "body");
  LONGS_EQUAL(200, answer.Status);
  STRCMP_EQUAL("hello", answer.Body.c_str());
  STRCMP_EQUAL("sig",
               answer.header("x-orioletally-response-signature").c_str());
  const lab::RawRequest sent = backend.lastRequest();
  STRCMP_EQUAL("POST", sent.Method.c_str());
  STRCMP_EQUAL("/read/x?q=1", sent.Target.c_str());
  STRCMP_EQUAL("body", sent.Body.c_str());
  STRCMP_EQUAL("kept", sent.header("x-other").c_str());
  STRCMP_EQUAL("north", sent.header("x-orioletally-tenant").c_str());
  STRCMP_EQUAL("i-1", sent.header("x-orioletally-expect-instance").c_str());
  STRCMP_EQUAL("", sent.header("authorization").c_str());
  STRCMP_EQUAL("", sent.header("x-drop").c_str());
  const int deadlineMs =
      std::atoi(sent.header("x-orioletally-deadline-ms").c_str());
  CHECK(deadlineMs > 0 && deadlineMs <= 800);
}

TEST(Relay, MalformedRequestsReachNoBackendServer) {
  StandInBackend backend(scripts::answer("hello"));
  fixture.listBackend("i-1", "plain", backend.address());
  CHECK(fixture.start(1));
  const std::string longHeader(5'000, 'x');
  const std::string headers =
      "Host: a.example\r\nAuthorization: Token key-n\r\n"
      "X-Orioletally-Attempt-Id: m\r\n";
  const std::vector<std::pair<std::string, int>> cases = {
      {"NONSENSE\r\n\r\n", 400},
      {"GET /read/x HTTP/1.1\n" + headers + "\n", 400},
      {"GET read/x HTTP/1.1\r\n" + headers + "\r\n", 400},
      {"GET http://a.example/read/x HTTP/1.1\r\n" + headers + "\r\n", 400},
      {"GET /read/x HTTP/1.1\r\nHost : a.example\r\n\r\n", 400},
      {"GET /read/x HTTP/1.1\r\n" + headers + "Host: b.example\r\n\r\n", 400},
      {"GET /read/x HTTP/1.1\r\nAuthorization: Token key-n\r\n\r\n", 400},
      {"POST /read/x HTTP/1.1\r\n" + headers +
           "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
       400},
      {"POST /read/x HTTP/1.1\r\n" + headers +
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       400},
      {"POST /read/x HTTP/1.1\r\n" + headers +
           "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
       400},
      {"POST /read/x HTTP/1.1\r\n" + headers +
           "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
       400},
      {"POST /read/x HTTP/1.1\r\n" + headers + "Content-Length: -1\r\n\r\n",
       400},
      {"POST /read/x HTTP/1.1\r\n" + headers +
           "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
       400},
      {"GET /read/x HTTP/1.1\r\n" + headers + "X-Long: " + longHeader +
           "\r\n\r\n",
       431},
      {"POST /read/x HTTP/1.1\r\n" + headers + "Content-Length: 10001\r\n\r\n",
       413},
  };
  for (const auto &[text, status] : cases) {
    const CallerAnswer answer = fixture.sendRaw(text);
    CHECK_EQUAL_TEXT(status, answer.Status, text.substr(0, 80).c_str());
  }
  LONGS_EQUAL(0, backend.attempts());
}

TEST(Relay, PipelinedCallsAreEachServed) {
  StandInBackend backend(scripts::answer("hello"));
  fixture.listBackend("i-1", "plain", backend.address());
  CHECK(fixture.start(1));
  std::string pipelined;
  for (int n = 0; n < 8; ++n)
    pipelined += fmt::format(
        "GET /read/x HTTP/1.1\r\nHost: a.example\r\n"
        "Authorization: Token key-n\r\nX-Orioletally-Attempt-Id: p{}\r\n\r\n",
        n);
  LONGS_EQUAL(8, fixture.countAnswers(pipelined, 8));
  LONGS_EQUAL(8, backend.attempts());
  LONGS_EQUAL(200, fixture.call("GET", "/read/x").Status);
}

TEST(Relay, RoutesAndApiKeysFollowTheConfiguration) {
  StandInBackend backend(scripts::answer("hello"));
  fixture.listBackend("i-1", "plain", backend.address());
  CHECK(fixture.start(1));
  LONGS_EQUAL(404, fixture.call("GET", "/none/x").Status);
  LONGS_EQUAL(
      401,
      fixture.call("GET", "/read/x", "Authorization: Token no\r\n").Status);
  fixture.configure(2, "/none/");
  CHECK(within(2'000,
               [&] { return fixture.call("GET", "/none/x").Status == 200; }));
  // A configuration that is older or invalid is ignored.
  fixture.configure(1);
  fixture.Store.put("op", "config", "{\"version\":9,\"routes\":7}");
  CHECK(fixture.Process
            .waitEvent("row_rejected", std::chrono::milliseconds(2'000))
            .has_value());
  LONGS_EQUAL(200, fixture.call("GET", "/none/x").Status);
}

// The body of an answer to HEAD put all later answers on the connection out of
// step.
TEST(Relay, AnswersWithoutBodyKeepAConnectionInStep) {
  const std::string signedHead = "X-Orioletally-Attempt-Id: {id}\r\n"
                                 "X-Orioletally-Response-Signature: s\r\n";
  StandInBackend backend([&](const lab::RawRequest &request,
                             const lab::RawConnection &out) {
    const std::string status = request.header("x-status");
    if (status.empty())
      return scripts::answer("next")(request, out);
    const std::string length = status == "204" ? "" : "Content-Length: 2\r\n";
    return scripts::bytes(
        fmt::format("HTTP/1.1 {} X\r\n{}{}\r\n", status, signedHead, length),
        false)(request, out);
  });
  fixture.listBackend("i-1", "plain", backend.address());
  fixture.listBackend("i-2", "engine", backend.address());
  CHECK(fixture.start(2));
  struct Case {
    const char *Line;
    const char *Headers;
    int Status;
  };
  const std::string key = "Authorization: Token key-n\r\n";
  for (const auto &[line, headers, status] :
       {Case{"HEAD /none/x", "", 404},
        Case{"HEAD /read/x", "x-status: 200", 200},
        Case{"HEAD /read/x", "x-status: 500", 500},
        Case{"HEAD /ask/x", "x-status: 200", 200},
        Case{"HEAD /ask/x", "x-status: 503\r\nX-A: b", 502},
        Case{"GET /read/x", "x-status: 204", 204},
        Case{"GET /read/x", "x-status: 304", 304},
        Case{"GET /ask/x", "x-status: 204", 204},
        Case{"GET /ask/x", "x-status: 304", 304}}) {
    const auto connection = lab::connectTo(fixture.CallsAddress);
    CHECK(connection != nullptr);
    connection->write(fmt::format(
        "{} HTTP/1.1\r\nHost: a.example\r\n{}{}"
        "X-Orioletally-Attempt-Id: a-{}\r\n{}\r\n"
        "GET /read/x HTTP/1.1\r\nHost: a.example\r\n{}"
        "X-Orioletally-Attempt-Id: b-{}\r\nConnection: close\r\n\r\n",
        line, headers, *headers == 0 ? "" : "\r\n", line + 5, key, key,
        line + 5));
    std::string received;
    for (std::string next = connection->receive(5'000); !next.empty();
         next = connection->receive(5'000))
      received += next;
    const std::string label = fmt::format("{} {}: {}", line, headers, received);
    CHECK_TEXT(received.starts_with(fmt::format("HTTP/1.1 {}", status)),
               label.c_str());
    const size_t end = received.find("\r\n\r\n");
    CHECK_TEXT(end != std::string::npos, label.c_str());
    CHECK_TEXT(received.substr(end + 4).starts_with("HTTP/1.1 200"),
               label.c_str());
    CHECK_TEXT(received.ends_with("\r\n\r\nnext"), label.c_str());
  }
}

TEST(Relay, RejectedHeadRequestGetsNoBody) {
  StandInBackend backend(scripts::answer("x"));
  fixture.listBackend("i-1", "plain", backend.address());
  CHECK(fixture.start(1));
  for (const std::string &headers :
       {std::string("Host: a.example\r\nHost: b.example\r\n"),
        std::string("Host: a.example\r\nContent-Length: 99999\r\n")}) {
    const CallerAnswer answer =
        fixture.sendRaw("HEAD /read/x HTTP/1.1\r\n" + headers + "\r\n");
    CHECK_TEXT(answer.Status / 100 == 4, headers.c_str());
    STRCMP_EQUAL_TEXT("", answer.Body.c_str(), headers.c_str());
  }
}

TEST(Relay, NodeWithoutConfigurationAnswers503WithRetryAfter) {
  fixture.Store.setFault(lab::StoreFault::Refuse);
  CHECK_FALSE(fixture.start(0));
  const CallerAnswer answer = fixture.call("GET", "/read/x");
  LONGS_EQUAL(503, answer.Status);
  CHECK_FALSE(answer.header("retry-after").empty());
}

TEST(Relay, CallDuringStartupWaitsForTheConfiguration) {
  StandInBackend backend(scripts::answer("hello"));
  fixture.listBackend("i-1", "plain", backend.address());
  fixture.Store.remove("op", "config");
  fixture.Process.start({"entry", "--settings", fixture.writeSettings("")});
  CHECK(
      fixture.Process.waitEvent("backends_read_whole", std::chrono::seconds(15))
          .has_value());
  CallerAnswer answer;
  std::thread caller([&] { answer = fixture.call("GET", "/read/x"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  fixture.configure(1);
  caller.join();
  LONGS_EQUAL(200, answer.Status);
  STRCMP_EQUAL("hello", answer.Body.c_str());
  CHECK(fixture.waitCallLog("a1")["start_wait_ms"].get<int>() > 0);
}

TEST(Relay, StartupWithoutTheStoreRejectsCallsAtOnce) {
  fixture.Store.setFault(lab::StoreFault::Refuse);
  fixture.Process.start({"entry", "--settings", fixture.writeSettings("")});
  CHECK(fixture.Process.waitEvent("store_lost", std::chrono::seconds(15))
            .has_value());
  LONGS_EQUAL(503, fixture.call("GET", "/read/x").Status);
  CHECK(fixture.waitCallLog("a1")["ms"].get<int>() < 100);
}

TEST(Relay, IdempotentCallIsRetriedOnAnotherServer) {
  StandInBackend bad(scripts::bytes(ServerErrorAnswer, false));
  StandInBackend good(scripts::answer("good"));
  fixture.listBackend("i-1", "plain", bad.address());
  fixture.listBackend("i-2", "plain", good.address());
  CHECK(fixture.start(2));
  for (int n = 0; n < 10; ++n) {
    const CallerAnswer answer = fixture.call("GET", "/read/x");
    LONGS_EQUAL(200, answer.Status);
    STRCMP_EQUAL("good", answer.Body.c_str());
  }
}

TEST(Relay, NonIdempotentCallIsSentOnceAndItsErrorForwarded) {
  StandInBackend bad(scripts::bytes(ServerErrorAnswer, false));
  StandInBackend other(scripts::bytes(ServerErrorAnswer, false));
  fixture.listBackend("i-1", "plain", bad.address());
  fixture.listBackend("i-2", "plain", other.address());
  CHECK(fixture.start(2));
  const CallerAnswer answer = fixture.call("POST", "/write/x", "", "b");
  LONGS_EQUAL(500, answer.Status);
  STRCMP_EQUAL("bad",
               answer.header("x-orioletally-response-signature").c_str());
  LONGS_EQUAL(1, bad.attempts() + other.attempts());
}

TEST(Relay, LostAnswerOfNonIdempotentCallHasNoRetryAfter) {
  StandInBackend backend(scripts::bytes("", true));
  fixture.listBackend("i-1", "plain", backend.address());
  CHECK(fixture.start(1));
  const CallerAnswer answer = fixture.call("POST", "/write/x", "", "b");
  LONGS_EQUAL(502, answer.Status);
  // Retry-After would say that the call wasn't executed, but it may have been.
  CHECK(answer.header("retry-after").empty());
  LONGS_EQUAL(1, backend.attempts());
}

TEST(Relay, RefusedCallAnswers503WithRetryAfter) {
  StandInBackend backend(scripts::bytes(NotExecutedAnswer, false));
  fixture.listBackend("i-1", "plain", backend.address());
  CHECK(fixture.start(1));
  const CallerAnswer answer = fixture.call("POST", "/write/x", "", "b");
  // Tells the caller that the call wasn't executed and when to retry.
  LONGS_EQUAL(503, answer.Status);
  CHECK(std::atof(answer.header("retry-after").c_str()) > 0);
}

TEST(Relay, ShutdownWithCallsInProgressExitsWithoutCrash) {
  StandInBackend engine(scripts::silence());
  fixture.listBackend("i-1", "engine", engine.address());
  CHECK(fixture.start(1));
  std::vector<std::unique_ptr<lab::RawConnection>> callers;
  for (int n = 0; n < 20; ++n) {
    callers.push_back(lab::connectTo(fixture.CallsAddress));
    callers.back()->write(fmt::format(
        "POST /once/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token "
        "key-n\r\nX-Orioletally-Attempt-Id: c{}\r\nContent-Length: "
        "0\r\n\r\n",
        n));
  }
  CHECK(within(2'000, [&] { return engine.attempts() == 20; }));
  fixture.Process.signal(SIGTERM);
  // Exit code 1 means that calls were aborted; -1 would mean that a signal
  // ended the process.
  LONGS_EQUAL(1, fixture.Process.waitExit(std::chrono::seconds(9)));
}

// A caller must never receive an invalid answer that looks complete.
TEST(Relay, InvalidAnswersEndIn502) {
  const char *texts[] = {
      // The body is shorter than its Content-Length.
      "HTTP/1.1 200 OK\r\nX-Orioletally-Attempt-Id: {id}\r\n"
      "X-Orioletally-Response-Signature: s\r\nContent-Length: 9\r\n\r\nabc",
      // Not HTTP.
      "garbage garbage\r\n\r\n",
      // The answer to another attempt.
      "HTTP/1.1 200 OK\r\nX-Orioletally-Attempt-Id: other\r\n"
      "X-Orioletally-Response-Signature: s\r\nContent-Length: 1\r\n\r\na",
      // Without the response signature, nothing proves that the answer is the
      // backend server's.
      "HTTP/1.1 200 OK\r\nX-Orioletally-Attempt-Id: {id}\r\n"
      "Content-Length: 1\r\n\r\na",
      // 503 without the header that says the call wasn't executed.
      "HTTP/1.1 503 X\r\nX-Orioletally-Attempt-Id: {id}\r\n"
      "Content-Length: 0\r\n\r\n"};
  int n = 0;
  for (const char *text : texts) {
    RelayFixture node;
    node.configure(1);
    StandInBackend backend(scripts::bytes(text, true));
    node.listBackend("i-1", "plain", backend.address());
    CHECK(node.start(1));
    const CallerAnswer answer = node.call("POST", "/write/x", "", "b");
    CHECK_EQUAL_TEXT(502, answer.Status, text);
    ++n;
  }
  LONGS_EQUAL(5, n);
}

// A head without its last line must not pass for an answer, wherever it ends.
TEST(Relay, AnswerHeadThatBreaksOffIsNoAnswer) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Orioletally-Attempt-Id: a1\r\n"
      "X-Orioletally-Response-Signature: s\r\nContent-Length: 0\r\n\r\n";
  std::atomic<size_t> length = 0;
  StandInBackend plain(
      [&](const lab::RawRequest &, const lab::RawConnection &out) {
        out.write(head.substr(0, length));
        return false;
      });
  StandInBackend engine(
      [&](const lab::RawRequest &, const lab::RawConnection &out) {
        out.write(head.substr(0, length));
        return false;
      });
  fixture.listBackend("i-1", "plain", plain.address());
  fixture.listBackend("e-1", "engine", engine.address());
  CHECK(fixture.start(2));
  for (length = 0; length < head.size(); ++length) {
    const std::string body = fmt::format("b{}", length.load());
    // The only backend server may be in backoff after a loss.
    for (const char *path : {"/write/x", "/read/x", "/once/x", "/ask/x"})
      CHECK_EQUAL_TEXT(502, fixture.call("POST", path, "", body).Status,
                       fmt::format("{} {}", path, length.load()).c_str());
  }
}

TEST(Relay, BytesAfterAnAnswerAreDiscarded) {
  StandInBackend backend(scripts::bytes(
      "HTTP/1.1 200 OK\r\nX-Orioletally-Attempt-Id: {id}\r\n"
      "X-Orioletally-Response-Signature: s\r\nContent-Length: 1\r\n\r\naHTTP/"
      "1.1 200 OK\r\nX-Orioletally-Attempt-Id: x\r\nContent-Length: 1\r\n\r\nz",
      false));
  fixture.listBackend("i-1", "plain", backend.address());
  CHECK(fixture.start(1));
  for (int n = 0; n < 5; ++n) {
    const CallerAnswer answer = fixture.call(
        "GET", "/read/x", fmt::format("X-Orioletally-Attempt-Id: e{}\r\n", n));
    LONGS_EQUAL(200, answer.Status);
    STRCMP_EQUAL("a", answer.Body.c_str());
  }
}

TEST(Relay, BrokenStreamResumesOnAnotherEngineWithoutLossOrRepeat) {
  StandInBackend broken(scripts::brokenStream(3));
  StandInBackend rest(scripts::stream(4, 6, 5));
  fixture.listBackend("i-1", "engine", broken.address());
  fixture.listBackend("i-2", "engine", rest.address());
  CHECK(fixture.start(2));
  // The node may choose either engine first; in both cases the answer must be
  // complete.
  const CallerAnswer answer =
      fixture.call("POST", "/ask/x", "X-Orioletally-Token-Counts: 10,10\r\n");
  LONGS_EQUAL(200, answer.Status);
  CHECK(answer.Complete);
  if (broken.attempts() > 0) {
    STRCMP_EQUAL(events(1, 6).c_str(), answer.Body.c_str());
    STRCMP_EQUAL("3", rest.lastRequest().header("last-event-id").c_str());
  } else {
    STRCMP_EQUAL(events(4, 6).c_str(), answer.Body.c_str());
  }
}

TEST(Relay, NonResumableStreamIsAborted) {
  StandInBackend broken(scripts::brokenStream(3));
  StandInBackend other(scripts::brokenStream(3));
  fixture.listBackend("i-1", "engine", broken.address());
  fixture.listBackend("i-2", "engine", other.address());
  CHECK(fixture.start(2));
  const CallerAnswer answer = fixture.call("POST", "/once/x");
  LONGS_EQUAL(200, answer.Status);
  CHECK_FALSE(answer.Complete);
  STRCMP_EQUAL(events(1, 3).c_str(), answer.Body.c_str());
  LONGS_EQUAL(1, broken.attempts() + other.attempts());
}

TEST(Relay, WholeUnframedStreamIsComplete) {
  StandInBackend engine(scripts::unframedStream(1, 3));
  fixture.listBackend("i-1", "engine", engine.address());
  CHECK(fixture.start(1));
  const CallerAnswer answer = fixture.call("POST", "/once/x");
  LONGS_EQUAL(200, answer.Status);
  CHECK(answer.Complete);
  STRCMP_EQUAL(events(1, 3).c_str(), answer.Body.c_str());
  const nlohmann::json attempt = fixture.waitCallLog("a1")["attempts"][0];
  STRCMP_EQUAL("connection_close",
               attempt["framing"].get<std::string>().c_str());
  CHECK_FALSE(attempt["inside_event"].get<bool>());
}

// An unframed stream that broke off inside an event was framed as complete.
TEST(Relay, UnframedStreamThatEndsInsideAnEventIsNotComplete) {
  StandInBackend engine(scripts::unframedStream(1, 3, "id: 4\nda"));
  fixture.listBackend("i-1", "engine", engine.address());
  CHECK(fixture.start(1));
  const CallerAnswer answer = fixture.call("POST", "/once/x");
  LONGS_EQUAL(200, answer.Status);
  CHECK_FALSE(answer.Complete);
  STRCMP_EQUAL(events(1, 3).c_str(), answer.Body.c_str());
  LONGS_EQUAL(1, engine.attempts());
}

TEST(Relay, UnframedStreamThatEndsInsideAnEventResumesOnAnotherEngine) {
  // Whichever engine is tried first breaks off; the other one continues.
  std::atomic<int> calls = 0;
  const auto script = [&](const lab::RawRequest &request,
                          const lab::RawConnection &out) {
    return ++calls == 1
               ? scripts::unframedStream(1, 3, "id: 4\nda")(request, out)
               : scripts::unframedStream(4, 6)(request, out);
  };
  StandInBackend first(script);
  StandInBackend second(script);
  fixture.listBackend("i-1", "engine", first.address());
  fixture.listBackend("i-2", "engine", second.address());
  CHECK(fixture.start(2));
  const CallerAnswer answer = fixture.call("POST", "/ask/x");
  LONGS_EQUAL(200, answer.Status);
  CHECK(answer.Complete);
  STRCMP_EQUAL(events(1, 6).c_str(), answer.Body.c_str());
  LONGS_EQUAL(1, first.attempts());
  LONGS_EQUAL(1, second.attempts());
}

// The announced length or the last chunk doesn't make a torn event complete.
TEST(Relay, FramedStreamThatEndsInsideAnEventIsNotComplete) {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Orioletally-Attempt-Id: {id}"
                           "\r\nX-Orioletally-Response-Signature: s\r\n"
                           "Content-Type: text/event-stream\r\n";
  const std::string torn = events(1, 1) + "id: 2\nda";
  for (const std::string &text :
       {fmt::format("{}Content-Length: {}\r\n\r\n{}", head, torn.size(), torn),
        fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n"
                    "\r\n",
                    head, torn.size(), torn)}) {
    RelayFixture node;
    node.configure(1);
    StandInBackend engine(scripts::bytes(text, false));
    node.listBackend("i-1", "engine", engine.address());
    CHECK(node.start(1));
    const CallerAnswer answer = node.call("POST", "/once/x");
    CHECK_EQUAL_TEXT(200, answer.Status, text.c_str());
    CHECK_FALSE_TEXT(answer.Complete, text.c_str());
    STRCMP_EQUAL_TEXT(events(1, 1).c_str(), answer.Body.c_str(), text.c_str());
  }
}

TEST(Relay, BodyThatIsNoEventStreamIsForwardedWhole) {
  const std::string body = "{\"text\": \"no blank line\"}";
  StandInBackend engine(scripts::bytes(
      fmt::format("HTTP/1.1 200 OK\r\nX-Orioletally-Attempt-Id: {{id}}\r\n"
                  "X-Orioletally-Response-Signature: s\r\n"
                  "Content-Type: application/json\r\n"
                  "Content-Length: {}\r\n\r\n{}",
                  body.size(), body),
      false));
  fixture.listBackend("i-1", "engine", engine.address());
  CHECK(fixture.start(1));
  const CallerAnswer answer = fixture.call("POST", "/once/x");
  CHECK(answer.Complete);
  STRCMP_EQUAL(body.c_str(), answer.Body.c_str());
}

// Before HTTP/1.1, the end of the connection is what makes a body complete.
TEST(Relay, BrokenStreamResetsAConnectionWithoutChunks) {
  StandInBackend broken(scripts::brokenStream(3));
  fixture.listBackend("i-1", "engine", broken.address());
  CHECK(fixture.start(1));
  const auto caller = lab::connectTo(fixture.CallsAddress);
  caller->write("POST /once/x HTTP/1.0\r\nHost: a.example\r\nAuthorization: "
                "Token key-n\r\nX-Orioletally-Attempt-Id: old\r\n\r\n");
  std::string received;
  CHECK(caller->isResetWithin(3'000, received));
  CHECK(received.ends_with(events(1, 3)));
}

TEST(Relay, WholeStreamClosesAConnectionWithoutChunks) {
  StandInBackend engine(scripts::stream(1, 3, 1));
  fixture.listBackend("i-1", "engine", engine.address());
  CHECK(fixture.start(1));
  const auto caller = lab::connectTo(fixture.CallsAddress);
  caller->write("POST /once/x HTTP/1.0\r\nHost: a.example\r\nAuthorization: "
                "Token key-n\r\nX-Orioletally-Attempt-Id: old\r\n\r\n");
  std::string received;
  CHECK_FALSE(caller->isResetWithin(3'000, received));
  CHECK(received.ends_with(events(1, 3)));
}

// A prompt part that crashes every engine was sent to one after the other.
TEST(Relay, PromptPartThatCrashesEnginesIsQuarantined) {
  const CrashingEngines engines(fixture, 3);
  CHECK(fixture.start(3));
  for (int n = 0; n < 5; ++n)
    CHECK(engines.askSound(fixture).Complete);
  for (int n = 0; n < 40 && engines.crashes() < 5; ++n) {
    engines.askCrashing(fixture);
    std::this_thread::sleep_for(std::chrono::milliseconds(120));
  }
  CHECK(engines.crashes() >= 5);
  std::this_thread::sleep_for(QuarantineDeadline);
  const int before = engines.crashes();
  for (int n = 0; n < 20; ++n) {
    const CallerAnswer answer = engines.askCrashing(fixture);
    LONGS_EQUAL(503, answer.Status);
    CHECK(std::atof(answer.header("retry-after").c_str()) > 0);
    // The caller, the first part and other parts are those of sound prompts.
    CHECK(engines.askSound(fixture).Complete);
  }
  CHECK(engines.crashes() - before <= 3);
}

TEST(Relay, QuarantineIsInForceOnAllNodes) {
  const CrashingEngines engines(fixture, 3);
  std::vector<std::unique_ptr<RelayFixture>> nodes;
  for (const char *name : {"n2", "n3"})
    nodes.push_back(std::make_unique<RelayFixture>(fixture, name));
  CHECK(fixture.start(3));
  for (const auto &it : nodes) {
    CHECK(it->start(3));
    CHECK(it->Process.waitEvent("peer_found", std::chrono::seconds(15))
              .has_value());
  }
  // Only this node knows that the other parts are sound.
  CHECK(engines.askSound(fixture).Complete);
  std::vector<RelayFixture *> all = {&fixture, nodes[0].get(), nodes[1].get()};
  for (size_t n = 0; n < 40 && engines.crashes() < 5; ++n) {
    engines.askCrashing(*all[n % all.size()]);
    std::this_thread::sleep_for(std::chrono::milliseconds(120));
  }
  std::this_thread::sleep_for(QuarantineDeadline);
  // A node that starts now must learn of it as well.
  nodes.push_back(std::make_unique<RelayFixture>(fixture, "n4"));
  CHECK(nodes.back()->start(3));
  std::this_thread::sleep_for(QuarantineDeadline);
  all.push_back(nodes.back().get());
  const int before = engines.crashes();
  for (int n = 0; n < 5; ++n)
    for (RelayFixture *it : all) {
      LONGS_EQUAL(503, engines.askCrashing(*it).Status);
      CHECK(engines.askSound(*it).Complete);
    }
  CHECK(engines.crashes() - before <= 3);
}

TEST(Relay, QuarantineOutlastsARestartOfAllNodes) {
  const CrashingEngines engines(fixture, 3);
  CHECK(fixture.start(3));
  CHECK(engines.askSound(fixture).Complete);
  for (int n = 0; n < 40 && engines.crashes() < 5; ++n) {
    engines.askCrashing(fixture);
    std::this_thread::sleep_for(std::chrono::milliseconds(120));
  }
  std::this_thread::sleep_for(QuarantineDeadline);
  fixture.Process.signal(SIGKILL);
  fixture.Process.waitExit(std::chrono::seconds(5));
  RelayFixture next(fixture, "n2");
  CHECK(next.start(3));
  std::this_thread::sleep_for(QuarantineDeadline);
  const int before = engines.crashes();
  for (int n = 0; n < 10; ++n) {
    LONGS_EQUAL(503, engines.askCrashing(next).Status);
    CHECK(engines.askSound(next).Complete);
  }
  CHECK(engines.crashes() - before <= 3);
}

// An error of the engine that was to continue a stream was appended to it.
TEST(Relay, AnswerThatIsNoStreamDoesNotContinueABrokenStream) {
  const std::string answerHead = "X-Orioletally-Attempt-Id: {id}\r\n"
                                 "X-Orioletally-Response-Signature: s\r\n";
  for (const std::string &text :
       {std::string(ServerErrorAnswer), std::string(NotExecutedAnswer),
        "HTTP/1.1 404 X\r\n" + answerHead + "Content-Length: 4\r\n\r\nnone",
        "HTTP/1.1 500 X\r\n" + answerHead + "\r\nid: 4\ndata: no\n\n",
        "HTTP/1.1 204 X\r\n" + answerHead + "\r\n",
        "HTTP/1.1 200 X\r\n" + answerHead +
            "Content-Type: application/json\r\nContent-Length: 15\r\n\r\n"
            "{\"error\":\"no\"}",
        std::string("garbage\r\n\r\n")}) {
    RelayFixture node;
    node.configure(1);
    std::atomic<int> calls = 0;
    const auto script = [&](const lab::RawRequest &request,
                            const lab::RawConnection &out) {
      return ++calls == 1 ? scripts::brokenStream(3)(request, out)
                          : scripts::bytes(text, true)(request, out);
    };
    StandInBackend first(script);
    StandInBackend second(script);
    node.listBackend("i-1", "engine", first.address());
    node.listBackend("i-2", "engine", second.address());
    CHECK(node.start(2));
    const CallerAnswer answer = node.call("POST", "/ask/x");
    CHECK_EQUAL_TEXT(2, calls.load(), text.c_str());
    CHECK_EQUAL_TEXT(200, answer.Status, text.c_str());
    CHECK_FALSE_TEXT(answer.Complete, text.c_str());
    STRCMP_EQUAL_TEXT(events(1, 3).c_str(), answer.Body.c_str(), text.c_str());
  }
}

// A refusal repeated on a kept connection told callers that a call which had
// been executed hadn't been.
TEST(Relay, RepeatedRefusalOnAKeptConnectionIsNotBelieved) {
  for (const std::string &refusal :
       {std::string("HTTP/1.1 503 X\r\nX-Orioletally-Not-Executed: 1\r\n"
                    "Content-Length: 0\r\n\r\n"),
        std::string("HTTP/1.1 421 X\r\nX-Orioletally-Instance-Id: i-9\r\n"
                    "Content-Length: 0\r\n\r\n"),
        std::string("HTTP/1.1 503 X\r\nX-Orioletally-Not-Executed: 1\r\n"
                    "X-Orioletally-Attempt-Id: earlier\r\n"
                    "Content-Length: 0\r\n\r\n"),
        std::string("HTTP/1.1 421 X\r\nX-Orioletally-Instance-Id: i-9\r\n"
                    "X-Orioletally-Attempt-Id: earlier\r\n"
                    "Content-Length: 0\r\n\r\n")}) {
    RelayFixture node;
    node.configure(1);
    std::atomic<int> calls = 0;
    const auto script = [&](const lab::RawRequest &request,
                            const lab::RawConnection &out) {
      return ++calls == 1 ? scripts::answer("hello")(request, out)
                          : scripts::bytes(refusal, true)(request, out);
    };
    StandInBackend backend(script);
    node.listBackend("i-1", "plain", backend.address());
    CHECK(node.start(1));
    LONGS_EQUAL(200, node.call("POST", "/write/x", "", "b").Status);
    StandInBackend other(scripts::answer("executed twice"));
    node.listBackend("i-2", "plain", other.address());
    CHECK(node.Process.waitEvent("backend_changed", std::chrono::seconds(2))
              .has_value());
    for (int n = 0; n < 20 && backend.attempts() < 2; ++n) {
      const int before = other.attempts();
      const CallerAnswer answer = node.call("POST", "/write/x", "", "b");
      if (backend.attempts() < 2)
        continue;
      CHECK_EQUAL_TEXT(502, answer.Status, refusal.c_str());
      CHECK_EQUAL_TEXT(before, other.attempts(), refusal.c_str());
    }
    CHECK_EQUAL_TEXT(2, backend.attempts(), refusal.c_str());
  }
}

// One odd entry must not end the node or hide later changes of the list.
TEST(Relay, OddBackendEntriesAreSkipped) {
  const auto entryWith = [](const std::string &key, const std::string &value) {
    nlohmann::json entry = {{"service", "plain"}, {"address", "127.0.0.1:1"},
                            {"zone", "z"},        {"slots", 16},
                            {"state", "ready"},   {"born", 5}};
    entry.erase(key);
    std::string text = entry.dump();
    text.pop_back();
    return fmt::format("{},\"{}\":{}}}", text, key, value);
  };
  const std::string nested =
      std::string(20'000, '[') + std::string(20'000, ']');
  std::string objects = "1";
  for (int n = 0; n < 5'000; ++n)
    objects = "{\"a\":" + objects + "}";
  const std::vector<std::string> odd = {
      nested,
      std::string(40'000, '['),
      entryWith("models", nested),
      entryWith("slots", objects),
      entryWith("slots", "1e400"),
      entryWith("slots", "99999999999999999999"),
      entryWith("slots", "18446744073709551615"),
      entryWith("slots", "9223372036854775807"),
      entryWith("born", "1e30"),
      entryWith("address", "\"127.0.0.1:99999\""),
      entryWith("address", "\"127.0.0.1:-1\""),
      entryWith("address", "\"127.0.0.1:0\""),
      entryWith("address", "\":\""),
      entryWith("address", "\"127.0.0.1:8080 \""),
      entryWith("service", "\"\\u0000\"")};
  StandInBackend backend(scripts::answer("hello"));
  fixture.listBackend("i-1", "plain", backend.address());
  CHECK(fixture.start(1));
  for (size_t n = 0; n < odd.size(); ++n) {
    fixture.Store.put("servers", fmt::format("odd-{}", n), odd[n]);
    StandInBackend next(scripts::answer("next"));
    const std::string id = fmt::format("next-{}", n);
    fixture.listBackend(id, "plain", next.address());
    const std::string label = odd[n].substr(0, 200);
    CHECK_TEXT(within(2'000,
                      [&] {
                        fixture.call("GET", "/read/x");
                        return next.attempts() > 0;
                      }),
               label.c_str());
    fixture.unlistBackend(id);
    fixture.unlistBackend(fmt::format("odd-{}", n));
  }
  // A node that starts reads them all at once.
  for (size_t n = 0; n < odd.size(); ++n)
    fixture.Store.put("servers", fmt::format("odd-{}", n), odd[n]);
  RelayFixture other(fixture, "n2");
  other.Process.start({"entry", "--settings", other.writeSettings("")});
  CHECK(other.Process.waitEvent("backends_read_whole", std::chrono::seconds(15))
            .has_value());
  CHECK(within(2'000,
               [&] { return other.call("GET", "/read/x").Status == 200; }));
  fixture.Process.signal(SIGTERM);
  LONGS_EQUAL(0, fixture.Process.waitExit(std::chrono::seconds(9)));
}

TEST(Relay, LogContainsHelperEnginesAndRetryDelay) {
  StandInBackend engine(scripts::stream(1, 1, 10));
  for (const char *id : {"e-1", "e-2", "e-3", "e-4"})
    fixture.listBackend(id, "engine", engine.address());
  CHECK(fixture.start(4));
  // The prompt is too long for one engine within the objective of 300 ms.
  LONGS_EQUAL(200, fixture
                       .call("POST", "/ask/x",
                             "X-Orioletally-Token-Counts: 60000,100\r\n")
                       .Status);
  const auto dispatch =
      fixture.Process.waitEvent("dispatch", std::chrono::seconds(2));
  CHECK(dispatch.has_value());
  CHECK((*dispatch)["helpers"].is_array());
  CHECK_FALSE((*dispatch)["helpers"].empty());
  CHECK((*dispatch)["helpers"][0].get<std::string>().starts_with("e-"));
  // The prompt is too long for all engines together.
  LONGS_EQUAL(503, fixture
                       .call("POST", "/ask/x",
                             "X-Orioletally-Attempt-Id: a2\r\n"
                             "X-Orioletally-Token-Counts: 900000,100\r\n")
                       .Status);
  CHECK(fixture.waitCallLog("a2")["retry_after_ms"].get<int>() > 0);
}

// A call to a silent engine must be retried on another one before its caller
// disconnects.
TEST(Relay, CallToSilentEngineIsRetriedWithinTwoSeconds) {
  StandInBackend silent(scripts::silence());
  StandInBackend good(scripts::stream(1, 3, 5));
  fixture.listBackend("i-1", "engine", silent.address());
  fixture.listBackend("i-2", "engine", good.address());
  CHECK(fixture.start(2));
  for (int n = 0; n < 4; ++n) {
    const auto from = std::chrono::steady_clock::now();
    const CallerAnswer answer = fixture.call("POST", "/ask/x");
    LONGS_EQUAL(200, answer.Status);
    STRCMP_EQUAL(events(1, 3).c_str(), answer.Body.c_str());
    CHECK(std::chrono::steady_clock::now() - from <
          std::chrono::milliseconds(2'000));
  }
}

TEST(Relay, SilentBackendServerEndsIn504AtTheRouteTimeout) {
  StandInBackend silent(scripts::silence());
  fixture.listBackend("i-1", "plain", silent.address());
  CHECK(fixture.start(1));
  const auto from = std::chrono::steady_clock::now();
  const CallerAnswer answer = fixture.call("POST", "/write/x", "", "b");
  const auto elapsed = std::chrono::steady_clock::now() - from;
  LONGS_EQUAL(504, answer.Status);
  CHECK(elapsed > std::chrono::milliseconds(900));
  CHECK(elapsed < std::chrono::milliseconds(1'250));
}

TEST(Relay, CallerDisconnectClosesTheBackendConnection) {
  std::atomic<bool> isFreed = false;
  StandInBackend engine(
      [&](const lab::RawRequest &, const lab::RawConnection &out) {
        isFreed = out.closesWithin(3'000);
        return false;
      });
  fixture.listBackend("i-1", "engine", engine.address());
  CHECK(fixture.start(1));
  auto caller = lab::connectTo(fixture.CallsAddress);
  caller->write("POST /ask/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: "
                "Token key-n\r\nX-Orioletally-Attempt-Id: gone\r\n"
                "Content-Length: 1\r\n\r\nx");
  CHECK(within(2'000, [&] { return engine.attempts() == 1; }));
  caller.reset();
  CHECK(within(500, [&] { return isFreed.load(); }));
  STRCMP_EQUAL("caller_gone", fixture.waitCallLog("gone")["attempts"][0]["end"]
                                  .get<std::string>()
                                  .c_str());
}

TEST(Relay, DrainingBackendServerGetsNoNewCalls) {
  StandInBackend leaving(scripts::answer("leaving"));
  StandInBackend staying(scripts::answer("staying"));
  fixture.listBackend("i-1", "plain", leaving.address());
  fixture.listBackend("i-2", "plain", staying.address());
  CHECK(fixture.start(2));
  fixture.listBackend("i-1", "plain", leaving.address(), "draining");
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const int before = leaving.attempts();
  for (int n = 0; n < 10; ++n)
    STRCMP_EQUAL("staying", fixture.call("GET", "/read/x").Body.c_str());
  LONGS_EQUAL(before, leaving.attempts());
}

TEST(Relay, ServerLeavingHeaderStopsNewCalls) {
  const std::string leavingLine = "Server-Leaving: 1\r\n";
  const std::string answerHead = "X-Orioletally-Attempt-Id: {id}\r\n"
                                 "X-Orioletally-Response-Signature: s\r\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"/read/x", "HTTP/1.1 200 OK\r\n" + answerHead + leavingLine +
                      "Content-Length: 2\r\n\r\nhi"},
      {"/read/x", "HTTP/1.1 500 X\r\n" + answerHead + leavingLine +
                      "Content-Length: 2\r\n\r\nno"},
      {"/read/x", "HTTP/1.1 503 X\r\nX-Orioletally-Attempt-Id: {id}\r\n"
                  "X-Orioletally-Not-Executed: 1\r\n" +
                      leavingLine + "Content-Length: 0\r\n\r\n"},
      {"/ask/x", "HTTP/1.1 200 OK\r\n" + answerHead + leavingLine +
                     "Transfer-Encoding: chunked\r\n\r\nd\r\nid: 1\ndata: "
                     "x\n\r\n1\r\n\n\r\n0\r\n\r\n"}};
  for (const auto &[path, text] : cases) {
    RelayFixture node;
    node.configure(1);
    const std::string service = path == "/ask/x" ? "engine" : "plain";
    StandInBackend leaving(scripts::bytes(text, false));
    StandInBackend staying(service == "engine" ? scripts::stream(1, 2, 1)
                                               : scripts::answer("staying"));
    node.listBackend("i-1", service, leaving.address());
    CHECK(node.start(1));
    node.call("GET", path);
    CHECK_EQUAL_TEXT(1, leaving.attempts(), text.c_str());
    node.listBackend("i-2", service, staying.address());
    CHECK(within(2'000, [&] { return node.call("GET", path).Status == 200; }));
    for (int n = 0; n < 20; ++n)
      LONGS_EQUAL(200, node.call("GET", path).Status);
    CHECK_EQUAL_TEXT(1, leaving.attempts(), text.c_str());
  }
}

TEST(Relay, RetryAfterPausesABackendServer) {
  StandInBackend pausing(scripts::bytes(RetryAfterAnswer, false));
  StandInBackend other(scripts::answer("other"));
  fixture.listBackend("i-1", "plain", pausing.address());
  fixture.listBackend("i-2", "plain", other.address());
  CHECK(fixture.start(2));
  for (int n = 0; n < 30 && pausing.attempts() == 0; ++n)
    fixture.call("GET", "/read/x");
  LONGS_EQUAL(1, pausing.attempts());
  const auto pausedAt = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - pausedAt <
         std::chrono::milliseconds(1'300)) {
    STRCMP_EQUAL("other", fixture.call("GET", "/read/x").Body.c_str());
    LONGS_EQUAL(1, pausing.attempts());
  }
  // After the pause it gets a call again.
  CHECK(within(3'000, [&] {
    fixture.call("GET", "/read/x");
    return pausing.attempts() == 2;
  }));
}

TEST(Relay, CallersGetRetryAfterWhenAllBackendServersPause) {
  StandInBackend pausing(scripts::bytes(RetryAfterAnswer, false));
  fixture.listBackend("i-1", "plain", pausing.address());
  CHECK(fixture.start(1));
  for (int n = 0; n < 10; ++n) {
    const CallerAnswer answer = fixture.call("POST", "/write/x", "", "b");
    LONGS_EQUAL(503, answer.Status);
    const double retryAfter = std::atof(answer.header("retry-after").c_str());
    CHECK(retryAfter > 1.0 && retryAfter <= 1.5);
  }
  LONGS_EQUAL(1, pausing.attempts());
}

// An answer that never ends must be aborted before the node's memory grows, and
// other calls must still be served.
TEST(Relay, EndlessAnswersEndOnlyTheirAttempt) {
  const std::string answerHead = "X-Orioletally-Attempt-Id: {id}\r\n"
                                 "X-Orioletally-Response-Signature: s\r\n";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\n" + answerHead + "Transfer-Encoding: chunked\r\n\r\n";
  struct Endless {
    const char *Path;
    std::string Start;
    std::string More;
  };
  const std::vector<Endless> cases = {
      {"/ask/x",
       "HTTP/1.1 200 OK\r\n" + answerHead + "X-Long: ", "aaaaaaaaaaaaaaaa"},
      {"/ask/x", "", "HTTP/1.1 103 X\r\nX-A: b\r\n\r\n"},
      {"/ask/x", chunked + "1;x=", "aaaaaaaaaaaaaaaa"},
      {"/ask/x", chunked, "10\r\ndata: aaaaaaaaaa\r\n"},
      {"/ask/x", "HTTP/1.1 200 OK\r\n" + answerHead + "\r\n",
       "data: aaaaaaaaaa"},
      {"/read/x", "HTTP/1.1 200 OK\r\n" + answerHead + "\r\n",
       "aaaaaaaaaaaaaaaa"},
      {"/read/x", chunked, "10\r\naaaaaaaaaaaaaaaa\r\n"},
      {"/read/x",
       "HTTP/1.1 200 OK\r\n" + answerHead +
           "Content-Length: 99999999999\r\n\r\n",
       "aaaaaaaaaaaaaaaa"}};
  for (const Endless &it : cases) {
    RelayFixture node;
    node.configure(1);
    std::string many;
    while (many.size() < 1 << 16)
      many += it.More;
    StandInBackend endless(
        [&](const lab::RawRequest &request, const lab::RawConnection &out) {
          std::string start = it.Start;
          const size_t at = start.find("{id}");
          if (at != std::string::npos)
            start.replace(at, 4, request.header("x-orioletally-attempt-id"));
          out.write(start);
          while (!out.closesWithin(0))
            out.write(many);
          return false;
        });
    StandInBackend healthy(scripts::answer("sound"));
    const std::string path = it.Path;
    node.listBackend("i-1", path == "/ask/x" ? "engine" : "plain",
                     endless.address());
    CHECK(node.start(1));
    const long before = node.Process.residentKilobytes();
    CallerAnswer answer;
    std::thread caller([&] { answer = node.call("GET", path); });
    caller.join();
    const std::string label = it.Path + it.Start + it.More;
    CHECK_TEXT(answer.Status != 200 || !answer.Complete, label.c_str());
    CHECK_TEXT(node.Process.residentKilobytes() - before < 24'000,
               label.c_str());
    node.listBackend("i-2", "plain", healthy.address());
    node.listBackend("i-1", "engine", endless.address(), "draining");
    CHECK(within(2'000,
                 [&] { return node.call("GET", "/read/x").Body == "sound"; }));
  }
}

// 421 says that another backend server has the address now.
TEST(Relay, ReassignedAddressIsNotUsedAgain) {
  StandInBackend wrong(
      scripts::bytes("HTTP/1.1 421 X\r\nX-Orioletally-Instance-Id: i-9\r\n"
                     "Content-Length: 0\r\n\r\n",
                     false));
  StandInBackend right(scripts::answer("right"));
  fixture.listBackend("i-1", "plain", wrong.address());
  fixture.listBackend("i-2", "plain", right.address());
  CHECK(fixture.start(2));
  for (int n = 0; n < 10; ++n)
    STRCMP_EQUAL("right",
                 fixture.call("POST", "/write/x", "", "b").Body.c_str());
  CHECK(wrong.attempts() <= 1);
}

// One caller's condition took all backend servers out of use on all nodes.
TEST(Relay, ConditionOfOneCallTakesNoBackendServerOutOfUse) {
  for (const std::string names :
       {"X-Orioletally-Instance-Id: i-1\r\nAt-Server: i-1\r\n",
        "X-Orioletally-Instance-Id: i-1\r\n", "At-Server: i-1\r\n", ""}) {
    RelayFixture node;
    RelayFixture other(node, "n2");
    node.configure(1);
    StandInBackend engine(
        [&](const lab::RawRequest &request, const lab::RawConnection &out) {
          if (request.header("x-orioletally-expect-version").empty())
            return scripts::stream(1, 2, 1)(request, out);
          return scripts::bytes("HTTP/1.1 421 X\r\n"
                                "X-Orioletally-Attempt-Id: {id}\r\n" +
                                    names + "Content-Length: 0\r\n\r\n",
                                false)(request, out);
        });
    node.listBackend("i-1", "engine", engine.address());
    CHECK(node.start(1));
    CHECK(other.start(1));
    for (int n = 0; n < 3; ++n) {
      LONGS_EQUAL_TEXT(
          503,
          node.call("POST", "/ask/x", "X-Orioletally-Expect-Version: 1\r\n")
              .Status,
          names.c_str());
      for (const RelayFixture *it : {&node, &other})
        LONGS_EQUAL_TEXT(200, it->call("POST", "/ask/x").Status, names.c_str());
    }
  }
}

// A caller's condition must not hide that another backend server has the
// address.
TEST(Relay, ReassignedAddressIsNotUsedAgainWhateverTheCallAsksFor) {
  for (const char *name : {"X-Orioletally-Instance-Id", "At-Server"}) {
    RelayFixture node;
    node.configure(1);
    StandInBackend wrong(scripts::bytes(
        fmt::format("HTTP/1.1 421 X\r\n{}: i-9\r\nContent-Length: 0\r\n\r\n",
                    name),
        false));
    StandInBackend right(scripts::answer("right"));
    node.listBackend("i-1", "plain", wrong.address());
    node.listBackend("i-2", "plain", right.address());
    CHECK(node.start(2));
    for (int n = 0; n < 10; ++n)
      STRCMP_EQUAL_TEXT("right",
                        node.call("POST", "/write/x",
                                  "X-Orioletally-Expect-Version: 1\r\n", "b")
                            .Body.c_str(),
                        name);
    CHECK_TEXT(wrong.attempts() <= 1, name);
  }
}

// The store may lose what it acknowledged when it comes back from a copy, and
// give out the same versions again.
TEST(Relay, FollowsAStoreThatCameBackFromACopy) {
  for (const int changesAfter : {0, 60}) {
    RelayFixture node;
    node.configure(1);
    StandInBackend old(scripts::answer("old"));
    StandInBackend next(scripts::answer("next"));
    node.listBackend("i-1", "plain", old.address());
    CHECK(node.start(1));
    node.Store.save();
    for (int n = 0; n < 40; ++n)
      node.Store.put("other", "row", std::to_string(n));
    node.listBackend("i-1", "plain", old.address());
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    node.Store.setFault(lab::StoreFault::Reset);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    node.Store.restore();
    for (int n = 0; n < changesAfter; ++n)
      node.Store.put("other", "row", std::to_string(n));
    node.listBackend("i-2", "plain", next.address());
    node.listBackend("i-1", "plain", old.address(), "draining");
    node.Store.setFault(lab::StoreFault::None);
    const auto isFollowed = [&] {
      const int before = next.attempts();
      for (int n = 0; n < 5; ++n)
        node.call("GET", "/read/x");
      return next.attempts() == before + 5;
    };
    CHECK_TEXT(within(3'000, isFollowed), std::to_string(changesAfter).c_str());
  }
}

TEST(Relay, ServesCallsDuringStoreOutage) {
  for (const lab::StoreFault fault :
       {lab::StoreFault::Refuse, lab::StoreFault::Silence,
        lab::StoreFault::Reset}) {
    RelayFixture node;
    node.configure(1);
    StandInBackend backend(scripts::answer("hello"));
    node.listBackend("i-1", "plain", backend.address());
    CHECK(node.start(1));
    node.Store.setFault(fault);
    CHECK(node.Process.waitEvent("store_lost", std::chrono::seconds(5))
              .has_value());
    LONGS_EQUAL(200, node.call("GET", "/read/x").Status);
    CHECK(node.isReady());
    node.configure(2, "/new/");
    node.Store.compact();
    node.Store.setFault(lab::StoreFault::None);
    CHECK(within(2'000,
                 [&] { return node.call("GET", "/new/x").Status == 200; }));
  }
}

TEST(Relay, FirstStoreCallAfterAnOutageDoesNotLongPoll) {
  StandInBackend backend(scripts::answer("hello"));
  fixture.listBackend("i-1", "plain", backend.address());
  CHECK(fixture.start(1));
  fixture.Store.setFault(lab::StoreFault::Refuse);
  // Waits until a call has failed: a long poll that is open when the fault
  // begins still succeeds if the fault ends before the poll does.
  const std::string topicField = R"("topic":"backends")";
  CHECK(within(3'000, [&] {
    const std::string log = fixture.Process.log();
    const size_t at = log.find(topicField, log.find(R"("event":"store_lost")"));
    return at != std::string::npos;
  }));
  fixture.Store.clearFirstWaits();
  fixture.Store.setFault(lab::StoreFault::None);
  CHECK(within(
      3'000, [&] { return fixture.Store.firstWaitMs("servers").has_value(); }));
  LONGS_EQUAL(0, *fixture.Store.firstWaitMs("servers"));
}

TEST(Relay, SighupReloadsSettingsAndReportsTheUnusable) {
  StandInBackend backend(scripts::answer("hello"));
  fixture.listBackend("i-1", "plain", backend.address());
  CHECK(fixture.start(1));
  fixture.writeSettings("[retries]\nslack = 7\n[log]\nlevel = \"warn\"\n");
  fixture.Process.signal(SIGHUP);
  const auto reloaded =
      fixture.Process.waitEvent("reload", std::chrono::seconds(2));
  CHECK(reloaded.has_value());
  STRCMP_EQUAL("[\"retries.slack\"]", (*reloaded)["changed"].dump().c_str());
  STRCMP_EQUAL("[\"log.level\"]", (*reloaded)["need_restart"].dump().c_str());
  fixture.writeSettings("[retries]\nslak = 7\n");
  fixture.Process.signal(SIGHUP);
  const auto rejected =
      fixture.Process.waitEvent("setting_rejected", std::chrono::seconds(2));
  CHECK(rejected.has_value());
  CHECK((*rejected)["reason"].get<std::string>().find("retries.slak") !=
        std::string::npos);
  // Without the settings of the node, the old ones stay in force.
  fixture.Process.writeFile("entry.toml", "[retries]\nslack = 9\n");
  fixture.Process.signal(SIGHUP);
  CHECK(fixture.Process.waitEvent("reload_refused", std::chrono::seconds(2))
            .has_value());
  LONGS_EQUAL(200, fixture.call("GET", "/read/x").Status);
}

TEST(Relay, ShutdownRefusesCallsThatMightNotComplete) {
  StandInBackend engine(scripts::stream(1, 55, 100));
  fixture.listBackend("i-1", "engine", engine.address());
  CHECK(fixture.start(1));
  CallerAnswer early;
  std::thread caller([&] { early = fixture.call("POST", "/ask/x"); });
  CHECK(within(2'000, [&] { return engine.attempts() == 1; }));
  fixture.Process.signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(2'700));
  const CallerAnswer late = fixture.call("POST", "/ask/x");
  LONGS_EQUAL(503, late.Status);
  CHECK(std::atof(late.header("retry-after").c_str()) > 0);
  caller.join();
  CHECK(early.Complete);
  LONGS_EQUAL(1, engine.attempts());
  LONGS_EQUAL(0, fixture.Process.waitExit(std::chrono::seconds(8)));
}

// The caller begins to send before the node stops accepting calls and ends
// after that.
TEST(Relay, CallThatIsCompleteLateInAShutdownReachesNoBackendServer) {
  StandInBackend backend(scripts::answer("hello"));
  StandInBackend engine(scripts::stream(1, 45, 100));
  fixture.listBackend("i-1", "plain", backend.address());
  fixture.listBackend("e-1", "engine", engine.address());
  CHECK(fixture.start(2));
  // Keeps the node from exiting early.
  std::thread streaming([&] { fixture.call("POST", "/ask/x"); });
  CHECK(within(2'000, [&] { return engine.attempts() == 1; }));
  fixture.Process.signal(SIGTERM);
  const auto caller = lab::connectTo(fixture.CallsAddress);
  caller->write("POST /write/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: "
                "Token key-n\r\nX-Orioletally-Attempt-Id: late\r\n"
                "Content-Length: 4\r\n\r\nbo");
  std::this_thread::sleep_for(std::chrono::milliseconds(2'800));
  caller->write("dy");
  const std::string answer = caller->receiveAll(1'000);
  CHECK_TEXT(answer.starts_with("HTTP/1.1 503"), answer.c_str());
  LONGS_EQUAL(0, backend.attempts());
  streaming.join();
}

// Calls that were taken in time may still be in progress when the grace period
// ends, and may not be repeated.
TEST(Relay, CallsInProgressAtTheEndOfAShutdownGetAnAnswer) {
  StandInBackend engine(scripts::silence());
  fixture.listBackend("e-1", "engine", engine.address());
  CHECK(fixture.start(1));
  CallerAnswer answer;
  std::thread caller([&] { answer = fixture.call("POST", "/once/x"); });
  CHECK(within(2'000, [&] { return engine.attempts() == 1; }));
  fixture.Process.signal(SIGTERM);
  LONGS_EQUAL(1, fixture.Process.waitExit(std::chrono::seconds(9)));
  caller.join();
  // The call may have been executed.
  LONGS_EQUAL(504, answer.Status);
  CHECK(answer.Complete);
}

TEST(Relay, NodeUnregistersOnShutdown) {
  StandInBackend backend(scripts::answer("hello"));
  fixture.listBackend("i-1", "plain", backend.address());
  CHECK(fixture.start(1));
  CHECK(isRegisteredWithin(2'000));
  const auto unregistered = stopAndWaitUnregistered();
  CHECK(unregistered.has_value());
  CHECK((*unregistered)["removed"].get<bool>());
  STRCMP_EQUAL("", fixture.Store.value("entry-nodes", "n1").c_str());
  LONGS_EQUAL(0, fixture.Process.waitExit(std::chrono::seconds(8)));
  STRCMP_EQUAL("", fixture.Store.value("entry-nodes", "n1").c_str());
}

TEST(Relay, NodeStoppedBeforeReadingItsEntryUnregisters) {
  fixture.Store.delayReads("entry-nodes", std::chrono::milliseconds(200));
  fixture.Process.start({"entry", "--settings", fixture.writeSettings("")});
  CHECK(isRegisteredWithin(15'000));
  const auto unregistered = stopAndWaitUnregistered();
  CHECK(unregistered.has_value());
  CHECK((*unregistered)["removed"].get<bool>());
  STRCMP_EQUAL("", fixture.Store.value("entry-nodes", "n1").c_str());
}

TEST(Relay, ShutdownKeepsAnEntryWrittenByALaterStart) {
  StandInBackend backend(scripts::answer("hello"));
  fixture.listBackend("i-1", "plain", backend.address());
  CHECK(fixture.start(1));
  CHECK(isRegisteredWithin(2'000));
  CHECK(fixture.Process.waitEvent("nodes_read", std::chrono::seconds(2))
            .has_value());
  // A later start of the same VM has already registered itself.
  const std::string next = R"({"peer_address":"127.0.0.1:1","incarnation":9})";
  fixture.Store.put("entry-nodes", "n1", next);
  const auto unregistered = stopAndWaitUnregistered();
  CHECK(unregistered.has_value());
  CHECK_FALSE((*unregistered)["removed"].get<bool>());
  STRCMP_EQUAL(next.c_str(), fixture.Store.value("entry-nodes", "n1").c_str());
}

// Idle connections stay open until the load balancer has stopped using the
// node, drivers::relay::BalancerDrainTime after SIGTERM.
TEST(Relay, IdleConnectionsCloseAfterTheBalancerDrainTime) {
  StandInBackend backend(scripts::answer("hello"));
  StandInBackend engine(scripts::stream(1, 50, 100));
  fixture.listBackend("i-1", "plain", backend.address());
  fixture.listBackend("e-1", "engine", engine.address());
  CHECK(fixture.start(2));
  // A stream of five seconds keeps the node from exiting early.
  std::thread streaming([&] { fixture.call("POST", "/ask/x"); });
  const auto idle = lab::connectTo(fixture.CallsAddress);
  CHECK(within(2000, [&] { return engine.attempts() == 1; }));
  fixture.Process.signal(SIGTERM);
  CHECK_FALSE(idle->closesWithin(2'000));
  CHECK(idle->closesWithin(1'500));
  streaming.join();
}

TEST(Relay, SigtermLetsRunningStreamsComplete) {
  StandInBackend engine(scripts::stream(1, 20, 100));
  fixture.listBackend("i-1", "engine", engine.address());
  CHECK(fixture.start(1));
  CallerAnswer answer;
  std::thread caller([&] { answer = fixture.call("POST", "/ask/x"); });
  CHECK(within(2'000, [&] { return engine.attempts() == 1; }));
  fixture.Process.signal(SIGTERM);
  CHECK(within(1'000, [&] { return !fixture.isReady(); }));
  caller.join();
  LONGS_EQUAL(200, answer.Status);
  CHECK(answer.Complete);
  STRCMP_EQUAL(events(1, 20).c_str(), answer.Body.c_str());
  LONGS_EQUAL(0, fixture.Process.waitExit(std::chrono::seconds(8)));
}

TEST(Relay, NodesStartedTogetherAgreeOnAPeerKeyAndConnect) {
  std::vector<std::unique_ptr<RelayFixture>> others;
  for (const char *name : {"n2", "n3", "n4"})
    others.push_back(std::make_unique<RelayFixture>(fixture, name));
  fixture.Process.start({"entry", "--settings", fixture.writeSettings("")});
  for (const auto &it : others)
    it->Process.start({"entry", "--settings", it->writeSettings("")});
  for (const auto &it : others)
    CHECK(it->Process.waitEvent("peer_found", std::chrono::seconds(15))
              .has_value());
  CHECK_FALSE(fixture.Store.value("entry-keys", "current").empty());
}

TEST(Relay, UnreadablePeerKeyIsReplaced) {
  fixture.Store.put("entry-keys", "current", R"({"secret":"short"})");
  RelayFixture other(fixture, "n2");
  fixture.Process.start({"entry", "--settings", fixture.writeSettings("")});
  other.Process.start({"entry", "--settings", other.writeSettings("")});
  CHECK(other.Process.waitEvent("peer_found", std::chrono::seconds(15))
            .has_value());
}

TEST(Relay, PeerMessagesWithoutTheKeyAreIgnored) {
  StandInBackend backend(scripts::answer("hello"));
  fixture.listBackend("i-1", "plain", backend.address());
  CHECK(fixture.start(1));
  CHECK(fixture.Process.waitEvent("peers_joined", std::chrono::seconds(5))
            .has_value());
  proto::NodeNews update;
  update.set_node("stranger");
  update.set_peer_address("127.0.0.1:1");
  update.set_incarnation(1);
  update.set_config_version(9);
  std::string forgedConfig = fixture.Store.value("op", "config");
  forgedConfig.replace(forgedConfig.find("key-n"), 5, "key-x");
  forgedConfig.replace(forgedConfig.find("\"version\":1"), 11, "\"version\":9");
  update.set_config(forgedConfig);
  update.add_leaving("i-1");
  for (const std::string &key :
       {std::string(), drivers::peer::makeSecretKey()}) {
    drivers::peer::TransportSettings settings;
    settings.SecretKey = key;
    drivers::peer::PeerTransport unauthorizedPeer(settings,
                                                  [](std::string_view) {});
    CHECK(static_cast<bool>(unauthorizedPeer.start()));
    for (int n = 0; n < 10; ++n) {
      unauthorizedPeer.send(fixture.PeersAddress, update.SerializeAsString());
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }
  LONGS_EQUAL(200, fixture.call("GET", "/read/x").Status);
  LONGS_EQUAL(
      401,
      fixture.call("GET", "/read/x", "Authorization: Token key-x\r\n").Status);
  CHECK(fixture.Process.log().find("backend_leaving_by_peer") ==
        std::string::npos);
  CHECK(fixture.Process.waitEvent("strangers_refused", std::chrono::seconds(3))
            .has_value());
}

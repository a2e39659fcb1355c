#include "tests/support/relay_fixture.h"
#include "tests/support/reserving_engine.h"

#include <atomic>
#include <chrono>
#include <fmt/format.h>
#include <map>
#include <mutex>
#include <thread>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally;
using namespace orioletally::tests;

namespace {

using lab::RawConnection;
using lab::RawRequest;
using Script = StandInBackend::Script;

constexpr int EventCount = 6;
/// A prompt that needs helpers.
constexpr const char *LongPrompt = "X-Orioletally-Token-Counts: 60000,100\r\n";

std::string event(int id) { return fmt::format("id: {}\ndata: x\n\n", id); }

std::string events(int from, int to) {
  std::string out;
  for (int id = from; id <= to; ++id)
    out += event(id);
  return out;
}

std::string chunk(const std::string &bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string head(const RawRequest &request, const std::string &framing) {
  return fmt::format("HTTP/1.1 200 OK\r\nX-Orioletally-Attempt-Id: {}\r\n"
                     "X-Orioletally-Response-Signature: sig\r\n{}\r\n",
                     request.header("x-orioletally-attempt-id"), framing);
}

std::string wholeStream(const RawRequest &request) {
  std::string out = head(request, "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n");
  for (int id = 1; id <= EventCount; ++id)
    out += chunk(event(id));
  return out + "0\r\n\r\n";
}

std::string wholeBody(const RawRequest &request) {
  return head(request, "Content-Length: 5\r\n") + "whole";
}

/// Writes the answer that \p answer makes, but falls silent for \p silentMs
/// before the bytes \p from (before the first byte if it is empty).
Script
silentBefore(const std::function<std::string(const RawRequest &)> &answer,
             const std::string &from, int silentMs) {
  return [=](const RawRequest &request, const RawConnection &out) {
    const std::string bytes = answer(request);
    const size_t at = from.empty() ? 0 : bytes.find(from);
    out.write(bytes.substr(0, at));
    if (out.closesWithin(silentMs))
      return false;
    out.write(bytes.substr(at));
    return true;
  };
}

/// Backend servers of one service. Passes the first attempt at each call to one
/// script and later ones to another, whichever server they come to.
class ScriptedServers {
public:
  ScriptedServers(RelayFixture &fixture, const std::string &service,
                  const Script &first, const Script &later, size_t count = 2) {
    for (size_t n = 0; n < count; ++n) {
      Servers.push_back(std::make_unique<StandInBackend>(
          [this, first, later](const RawRequest &request,
                               const RawConnection &out) {
            return countAttempt(request) == 1 ? first(request, out)
                                              : later(request, out);
          }));
      fixture.listBackend(fmt::format("{}-{}", service, n), service,
                          Servers.back()->address());
    }
  }

  int attempts(const std::string &id) const {
    const std::lock_guard lock(Guard);
    const auto found = Attempts.find(id);
    return found == Attempts.end() ? 0 : found->second;
  }

private:
  int countAttempt(const RawRequest &request) {
    const std::lock_guard lock(Guard);
    return ++Attempts[request.header("x-orioletally-attempt-id")];
  }

  mutable std::mutex Guard;
  std::map<std::string, int> Attempts;
  std::vector<std::unique_ptr<StandInBackend>> Servers;
};

/// One silence of a backend server in the course of an answer.
struct Silence {
  std::string Before;
  int Ms;

  std::string label() const {
    return fmt::format("{} ms before {}", Ms,
                       Before.empty() ? "the first byte" : Before);
  }
};

/// Makes one call for each of \p silences at the same time; the backend server
/// is told with the call where to fall silent.
std::vector<CallerAnswer> callAll(const RelayFixture &node, const char *path,
                                  const std::vector<Silence> &silences) {
  std::vector<CallerAnswer> answers(silences.size());
  std::vector<std::thread> callers;
  for (size_t n = 0; n < silences.size(); ++n)
    callers.emplace_back([&, n] {
      answers[n] = node.call(
          "POST", path,
          fmt::format("X-Orioletally-Attempt-Id: a{}\r\nX-Silence: {}\r\n", n,
                      n),
          "b");
    });
  for (std::thread &it : callers)
    it.join();
  return answers;
}

/// Answers a call of callAll().
Script
silentAsTold(const std::function<std::string(const RawRequest &)> &answer,
             const std::vector<Silence> &silences) {
  return [=](const RawRequest &request, const RawConnection &out) {
    const Silence &it = silences[std::stoul(request.header("x-silence"))];
    return silentBefore(answer, it.Before, it.Ms)(request, out);
  };
}

struct Refusal {
  const char *Name;
  Script Later;
};

/// What a backend server does that can't continue another one's answer.
std::vector<Refusal> refusals() {
  return {
      {"not executed",
       scripts::bytes("HTTP/1.1 503 X\r\nX-Orioletally-Attempt-Id: {id}\r\n"
                      "X-Orioletally-Not-Executed: 1\r\n"
                      "Content-Length: 0\r\n\r\n",
                      false)},
      {"error",
       scripts::bytes("HTTP/1.1 500 X\r\nX-Orioletally-Attempt-Id: {id}\r\n"
                      "X-Orioletally-Response-Signature: bad\r\n"
                      "Content-Length: 3\r\n\r\nerr",
                      false)},
      {"close", scripts::bytes("", true)},
      {"garbage", scripts::bytes("no answer at all\r\n\r\n", true)},
      {"silence", scripts::silence()},
  };
}

/// Where in a stream its backend server falls silent: before these bytes.
const std::vector<std::string> StreamPlaces = {
    "",                       // the head
    "Response-Signature",     // a header
    "f\r\nid: 1",             // the body
    "f\r\nid: 4",             // an event
    "\r\nid: 4",              // the end of a chunk's size
    "a: x\n\n\r\nf\r\nid: 5", // the middle of an event
    "\n\r\nf\r\nid: 5",       // the end of an event
    "0\r\n\r\n",              // the end of the body
};
const std::vector<std::string> PlainPlaces = {"", "Response-Signature", "hole"};

std::vector<Silence> silencesAt(const std::vector<std::string> &places,
                                std::initializer_list<int> times) {
  std::vector<Silence> result;
  for (const int ms : times)
    for (const std::string &it : places)
      result.push_back({it, ms});
  return result;
}

} // namespace

TEST_GROUP(SilentServer) {
  RelayFixture fixture;

  void setup() override {
    fixture.PlainTimeoutMs = 4'000;
    fixture.configure(1);
  }

  void listSixEngines(const ReservingEngine &engine) {
    for (int n = 0; n < 6; ++n)
      fixture.listBackend(fmt::format("e-{}", n), "engine", engine.address());
    CHECK(fixture.start(6));
  }

  /// Makes one call and checks that its answer is whole and \p body.
  void checkWhole(const char *path, const std::string &body) {
    const CallerAnswer answer = fixture.call("POST", path, "", "b");
    LONGS_EQUAL(200, answer.Status);
    CHECK(answer.Complete);
    STRCMP_EQUAL(body.c_str(), answer.Body.c_str());
  }
};

// A second backend server that can't continue a stream must not cost the
// caller what the first one still sends.
TEST(SilentServer, StreamIsWholeWhateverAnotherServerAnswers) {
  const std::vector<Silence> silences =
      silencesAt(StreamPlaces, {900, 1'300, 1'500});
  // A server that answers other calls counts as silent much later, so that each
  // call needs servers of its own.
  const size_t count = 2 * silences.size();
  for (const Refusal &it : refusals()) {
    RelayFixture node;
    node.configure(1);
    ScriptedServers servers(node, "engine", silentAsTold(wholeStream, silences),
                            it.Later, count);
    CHECK(node.start(count));
    const std::vector<CallerAnswer> answers = callAll(node, "/ask/x", silences);
    for (size_t n = 0; n < answers.size(); ++n) {
      const std::string label =
          fmt::format("{}, {}", it.Name, silences[n].label());
      CHECK_TEXT(answers[n].Complete, label.c_str());
      STRCMP_EQUAL_TEXT(events(1, EventCount).c_str(), answers[n].Body.c_str(),
                        label.c_str());
    }
  }
}

TEST(SilentServer, PlainAnswerIsWholeWhateverAnotherServerAnswers) {
  const std::vector<Silence> silences =
      silencesAt(PlainPlaces, {900, 1'300, 1'500});
  const size_t count = 2 * silences.size();
  for (const Refusal &it : refusals()) {
    RelayFixture node;
    node.PlainTimeoutMs = 4'000;
    node.configure(1);
    ScriptedServers servers(node, "plain", silentAsTold(wholeBody, silences),
                            it.Later, count);
    CHECK(node.start(count));
    const std::vector<CallerAnswer> answers =
        callAll(node, "/read/x", silences);
    for (size_t n = 0; n < answers.size(); ++n) {
      const std::string label =
          fmt::format("{}, {}", it.Name, silences[n].label());
      LONGS_EQUAL_TEXT(200, answers[n].Status, label.c_str());
      STRCMP_EQUAL_TEXT("whole", answers[n].Body.c_str(), label.c_str());
    }
  }
}

TEST(SilentServer, StreamGoesOnElsewhereWhenItsServerIsSilentForEver) {
  const auto rest = [](const RawRequest &request, const RawConnection &out) {
    std::string bytes = head(request, "Content-Type: text/event-stream\r\n"
                                      "Transfer-Encoding: chunked\r\n");
    for (int id = 4; id <= EventCount; ++id)
      bytes += chunk(event(id));
    out.write(bytes + "0\r\n\r\n");
    return true;
  };
  ScriptedServers servers(
      fixture, "engine", silentBefore(wholeStream, "f\r\nid: 4", 12'000), rest);
  CHECK(fixture.start(2));
  const auto from = std::chrono::steady_clock::now();
  checkWhole("/ask/x", events(1, EventCount));
  CHECK(std::chrono::steady_clock::now() - from <
        std::chrono::milliseconds(2'000));
}

// Events of the two attempts may not be mixed.
TEST(SilentServer, ServerThatSpeaksAfterAnotherTookOverIsNotHeard) {
  const auto slow = [](const RawRequest &request, const RawConnection &out) {
    std::string bytes = head(request, "Content-Type: text/event-stream\r\n"
                                      "Transfer-Encoding: chunked\r\n");
    out.write(bytes + chunk("id: 4\ndata: y\n\n"));
    if (out.closesWithin(700))
      return false;
    out.write(chunk("id: 5\ndata: y\n\n") + chunk("id: 6\ndata: y\n\n") +
              "0\r\n\r\n");
    return true;
  };
  ScriptedServers servers(fixture, "engine",
                          silentBefore(wholeStream, "f\r\nid: 4", 1'500), slow);
  CHECK(fixture.start(2));
  checkWhole("/ask/x", events(1, 3) + "id: 4\ndata: y\n\nid: 5\ndata: y\n\n"
                                      "id: 6\ndata: y\n\n");
}

TEST(SilentServer, SecondAttemptEndsWhenTheFirstServerSpeaks) {
  std::atomic<bool> isFreed = false;
  const auto waiting = [&](const RawRequest &, const RawConnection &out) {
    isFreed = out.closesWithin(5'000);
    return false;
  };
  ScriptedServers servers(fixture, "engine",
                          silentBefore(wholeStream, "f\r\nid: 4", 1'450),
                          waiting);
  CHECK(fixture.start(2));
  checkWhole("/ask/x", events(1, EventCount));
  CHECK(within(500, [&] { return isFreed.load(); }));
}

TEST(SilentServer, CallerThatLeavesFreesBothServers) {
  std::atomic<int> freed = 0;
  const auto waiting = [&](const RawRequest &, const RawConnection &out) {
    freed += out.closesWithin(5'000) ? 1 : 0;
    return false;
  };
  ScriptedServers servers(fixture, "engine", waiting, waiting);
  CHECK(fixture.start(2));
  auto caller = lab::connectTo(fixture.CallsAddress);
  caller->write("POST /ask/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: "
                "Token key-n\r\nX-Orioletally-Attempt-Id: gone\r\n"
                "Content-Length: 1\r\n\r\nx");
  CHECK(within(3'000, [&] { return servers.attempts("gone") == 2; }));
  caller.reset();
  CHECK(within(500, [&] { return freed == 2; }));
}

// The server that was asked meanwhile is sound; the route allows two.
TEST(SilentServer, StreamThatBreaksLaterResumesAtTheSupersededServer) {
  std::atomic<int> later = 0;
  const auto first = [](const RawRequest &request, const RawConnection &out) {
    const std::string bytes = wholeStream(request);
    const size_t fourth = bytes.find("f\r\nid: 4");
    out.write(bytes.substr(0, fourth));
    if (!out.closesWithin(1'450))
      out.write(chunk(event(4)) + "f\r\nid: 5\nda");
    return false;
  };
  const auto other = [&](const RawRequest &request, const RawConnection &out) {
    if (++later == 1) {
      out.closesWithin(3'000);
      return false;
    }
    out.write(head(request, "Content-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n") +
              chunk(event(5)) + chunk(event(6)) + "0\r\n\r\n");
    return true;
  };
  ScriptedServers servers(fixture, "engine", first, other);
  CHECK(fixture.start(2));
  checkWhole("/ask/x", events(1, EventCount));
  LONGS_EQUAL(2, later);
}

// Its silent server may have run the call.
TEST(SilentServer, RefusalByAnotherServerIsNotPassedOnAsNotRun) {
  fixture.PlainTimeoutMs = 1'500;
  fixture.configure(2);
  ScriptedServers servers(fixture, "plain", scripts::silence(),
                          refusals().front().Later);
  CHECK(fixture.start(2));
  LONGS_EQUAL(504, fixture.call("POST", "/read/x", "", "b").Status);
}

// Memory that an engine keeps for a silent one is lost to all prompts.
TEST(SilentServer, MemoryReservedForASilentEngineIsReleasedWhenAnotherSpeaks) {
  configureSmallEngines(fixture, 2, 8'000);
  std::atomic<int> attempts = 0;
  ReservingEngine engine(
      [&](const RawRequest &request, const RawConnection &out) {
        if (++attempts == 1)
          return !out.closesWithin(8'000);
        return scripts::stream(1, EventCount, 200)(request, out);
      });
  listSixEngines(engine);
  CallerAnswer answer;
  std::thread caller(
      [&] { answer = fixture.call("POST", "/ask/x", LongPrompt, "b"); });
  const bool hasSecond = within(5'000, [&] { return attempts == 2; });
  const bool isReleased =
      within(500, [&] { return engine.left() < engine.made(); });
  caller.join();
  CHECK(hasSecond);
  CHECK(isReleased);
  CHECK(answer.Complete);
  CHECK(within(500, [&] { return engine.left() == 0; }));
}

TEST(SilentServer, PromptWithHelpersIsWholeWhateverAnotherServerAnswers) {
  for (const Refusal &it : refusals()) {
    RelayFixture node;
    node.configure(1);
    configureSmallEngines(node, 2, 8'000);
    std::atomic<int> attempts = 0;
    // Speaks 300 ms after the second attempt has begun.
    ReservingEngine engine(
        [&](const RawRequest &request, const RawConnection &out) {
          if (++attempts > 1)
            return it.Later(request, out);
          while (attempts == 1)
            if (out.closesWithin(10))
              return false;
          if (out.closesWithin(300))
            return false;
          out.write(wholeStream(request));
          return true;
        });
    for (int n = 0; n < 6; ++n)
      node.listBackend(fmt::format("e-{}", n), "engine", engine.address());
    CHECK(node.start(6));
    const CallerAnswer answer = node.call("POST", "/ask/x", LongPrompt, "b");
    CHECK_TEXT(engine.made() > 0, it.Name);
    CHECK_TEXT(attempts > 1, it.Name);
    CHECK_TEXT(answer.Complete, it.Name);
    STRCMP_EQUAL_TEXT(events(1, EventCount).c_str(), answer.Body.c_str(),
                      it.Name);
    CHECK_TEXT(within(500, [&] { return engine.left() == 0; }), it.Name);
  }
}

TEST(SilentServer, UnrepeatableCallWaitsForItsOneServer) {
  StandInBackend desk(silentBefore(wholeBody, "", 1'500));
  StandInBackend engine(silentBefore(wholeStream, "f\r\nid: 4", 1'500));
  fixture.listBackend("d-1", "plain", desk.address());
  fixture.listBackend("e-1", "engine", engine.address());
  CHECK(fixture.start(2));
  STRCMP_EQUAL("whole", fixture.call("POST", "/write/x", "", "b").Body.c_str());
  STRCMP_EQUAL(events(1, EventCount).c_str(),
               fixture.call("POST", "/once/x", "", "b").Body.c_str());
  LONGS_EQUAL(1, desk.attempts());
  LONGS_EQUAL(1, engine.attempts());
}

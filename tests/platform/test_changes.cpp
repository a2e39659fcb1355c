#include "tests/support/relay_fixture.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <thread>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally;
using namespace orioletally::tests;

namespace {

using lab::RawConnection;
using lab::RawRequest;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int AnswerMs = 12'000;
constexpr int ConfigMs = 4'000;
constexpr int RouteTimeoutMs = 6'000;
/// Shorter, but longer than any answer here takes.
constexpr int ShorterTimeoutMs = 3'000;
/// The longest event, in bytes, that the stream to a slow caller has.
constexpr int LargeEventBytes = 60'000;
constexpr int EventCount = 5;

void sleepMs(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

/// A caller that makes its requests one after another on one connection.
class KeptCaller {
public:
  explicit KeptCaller(const std::string &address)
      : Connection(lab::connectTo(address)) {}

  bool isConnected() const { return Connection != nullptr; }
  void write(const std::string &bytes) const { Connection->write(bytes); }

  /// Reads one answer; its status is 0 if nothing came.
  CallerAnswer read(int ms = AnswerMs) {
    CallerAnswer answer;
    std::string received;
    while (!parse(received, answer)) {
      const std::string next = Connection->receive(ms);
      if (next.empty())
        break;
      received += next;
    }
    return answer;
  }

  /// Returns all bytes until none come for \p ms.
  std::string readAll(int ms) const { return Connection->receiveAll(ms); }

  CallerAnswer call(const std::string &request) {
    write(request);
    return read();
  }

private:
  static bool parse(const std::string &received, CallerAnswer &answer) {
    const size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos)
      return false;
    answer.Head = received.substr(0, end + 2);
    answer.Status = std::atoi(answer.Head.substr(9, 3).c_str());
    answer.Body = received.substr(end + 4);
    const std::string length = answer.header("content-length");
    answer.Complete =
        answer.header("transfer-encoding") == "chunked"
            ? answer.Body.ends_with("\r\n0\r\n\r\n")
            : !length.empty() && answer.Body.size() == std::stoul(length);
    return answer.Complete;
  }

  std::unique_ptr<RawConnection> Connection;
};

std::string request(const std::string &path, const std::string &id,
                    const std::string &body = "b",
                    const std::string &extra = "") {
  return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nAuthorization: "
                     "Token key-n\r\nX-Orioletally-Attempt-Id: {}\r\n{}"
                     "Content-Length: {}\r\n\r\n{}",
                     path, id, extra, body.size(), body);
}

json route(const std::string &name, const std::string &kind,
           const std::string &service, bool resumable) {
  return json{{"name", name},
              {"host", "a.example"},
              {"prefix", "/" + name + "/"},
              {"kind", kind},
              {"timeout_ms", RouteTimeoutMs},
              {"target_latency_ms", 1'000},
              {"service", service},
              {"max_attempts", 2},
              {"public", false},
              {"resumable", resumable},
              {"gap_aim_ms", 200}};
}

json baseConfig() {
  const json engine = {
      {"slots", 16},      {"kv_capacity", 450'000},  {"stride", 46},
      {"step_ms", 0.925}, {"read_per_s", 256'000.0}, {"pairs_per_m", 0.0917},
      {"chunk", 2'048}};
  return json{{"routes",
               {route("read", "idempotent", "plain", false),
                route("write", "non_idempotent", "plain", false),
                route("ask", "streaming", "engine", true),
                route("once", "streaming", "engine", false)}},
              {"services",
               {{{"name", "plain"}},
                {{"name", "other"}},
                {{"name", "engine"}, {"engine", engine}}}},
              {"limits",
               {{"max_header_bytes", 4'096},
                {"max_body_bytes", 10'000},
                {"header_timeout_ms", 3'000},
                {"idle_timeout_ms", 10'000}}},
              {"tenants",
               {{{"name", "north"}, {"api_keys", {"key-n"}}},
                {{"name", "south"}, {"api_keys", {"key-s"}}}}}};
}

/// A change of the configuration that operators make while calls run.
struct ConfigChange {
  const char *Name;
  std::function<void(json &)> Apply;
};

const std::vector<ConfigChange> &configChanges() {
  static const std::vector<ConfigChange> changes = {
      {"route removed", [](json &it) { it["routes"].erase(0); }},
      {"routes moved",
       [](json &it) {
         for (json &route : it["routes"])
           route["service"] = "other";
       }},
      {"route added",
       [](json &it) {
         it["routes"].push_back(route("new", "idempotent", "other", false));
       }},
      {"service removed",
       [](json &it) {
         it["services"].erase(0);
         it["routes"].erase(0);
         it["routes"].erase(0);
       }},
      {"key removed", [](json &it) { it["tenants"].erase(0); }},
      {"limits smaller",
       [](json &it) {
         it["limits"] = {{"max_header_bytes", 2'048},
                         {"max_body_bytes", 1'000},
                         {"header_timeout_ms", 1'000},
                         {"idle_timeout_ms", 2'000}};
       }},
      {"limits larger",
       [](json &it) {
         it["limits"] = {{"max_header_bytes", 8'192},
                         {"max_body_bytes", 50'000},
                         {"header_timeout_ms", 5'000},
                         {"idle_timeout_ms", 20'000}};
       }},
      {"timeouts smaller",
       [](json &it) {
         for (json &route : it["routes"])
           route["timeout_ms"] = ShorterTimeoutMs;
       }},
      {"kinds changed",
       [](json &it) {
         for (json &route : it["routes"])
           route["max_attempts"] = 1;
         it["routes"][0]["kind"] = "non_idempotent";
         it["routes"][2]["resumable"] = false;
       }},
  };
  return changes;
}

std::string answerHead(const RawRequest &call, const std::string &framing) {
  return fmt::format("HTTP/1.1 200 OK\r\nX-Orioletally-Attempt-Id: {}\r\n"
                     "X-Orioletally-Response-Signature: sig\r\n{}\r\n",
                     call.header("x-orioletally-attempt-id"), framing);
}

std::string chunk(const std::string &bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string event(int id, size_t bytes = 1) {
  return fmt::format("id: {}\ndata: {}\n\n", id, std::string(bytes, 'x'));
}

constexpr const char *StreamHead =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

/// A backend server that takes some time for each call, whose first attempt it
/// refuses if the call has the header X-Refuse.
class SlowServer {
public:
  explicit SlowServer(int answerMs)
      : Server(
            [this, answerMs](const RawRequest &it, const RawConnection &out) {
              return serve(it, out, answerMs);
            }) {}

  const std::string &address() const { return Server.address(); }
  int attempts() const { return Server.attempts(); }

private:
  bool serve(const RawRequest &call, const RawConnection &out, int answerMs) {
    const std::string id = call.header("x-orioletally-attempt-id");
    if (call.header("x-refuse") == "1" && isFirst(id)) {
      sleepMs(answerMs);
      out.write(fmt::format("HTTP/1.1 503 X\r\nX-Orioletally-Attempt-Id: {}\r\n"
                            "X-Orioletally-Not-Executed: 1\r\n"
                            "Content-Length: 0\r\n\r\n",
                            id));
      return true;
    }
    if (call.Target.starts_with("/ask/") || call.Target.starts_with("/once/"))
      return stream(call, out, answerMs / EventCount);
    if (out.closesWithin(answerMs))
      return false;
    out.write(answerHead(call, "Content-Length: 5\r\n") + "whole");
    return true;
  }

  static bool stream(const RawRequest &call, const RawConnection &out,
                     int gapMs) {
    out.write(answerHead(call, StreamHead));
    for (int id = 1; id <= EventCount; ++id) {
      if (out.closesWithin(gapMs))
        return false;
      out.write(chunk(event(id)));
    }
    out.write("0\r\n\r\n");
    return true;
  }

  /// All servers share the ids that were refused.
  static bool isFirst(const std::string &id) {
    static std::mutex guard;
    static std::set<std::string> seen;
    const std::lock_guard lock(guard);
    return seen.insert(id).second;
  }

  StandInBackend Server;
};

bool isRefusal(const CallerAnswer &answer) {
  return answer.Complete && answer.Status == 503 &&
         std::atof(answer.header("retry-after").c_str()) > 0;
}

bool isWhole(const CallerAnswer &answer) {
  return answer.Complete && answer.Status == 200;
}

/// Counts calls that weren't answered as expected and prints them.
class Failures {
public:
  void expect(bool isExpected, const std::string &what,
              const CallerAnswer &answer) {
    if (isExpected)
      return;
    const std::lock_guard lock(Guard);
    ++Count;
    fmt::print(stderr, "{}: status {}, {}\n", what, answer.Status,
               answer.Complete ? "whole" : "not whole");
  }
  int count() const { return Count; }

private:
  std::mutex Guard;
  std::atomic<int> Count = 0;
};

int environmentNumber(const char *name, int otherwise) {
  const char *value = std::getenv(name);
  return value == nullptr ? otherwise : std::atoi(value);
}

/// A sound backend server that records which calls it ran, falls silent now and
/// then for less than the silence timeout, and continues streams.
class SilentNowAndThen {
public:
  explicit SilentNowAndThen(unsigned seed)
      : Random(seed),
        Server([this](const RawRequest &it, const RawConnection &out) {
          return serve(it, out);
        }) {}

  const std::string &address() const { return Server.address(); }

  bool hasRun(const std::string &id) const {
    const std::lock_guard lock(Guard);
    return Ids.count(id) > 0;
  }

private:
  static constexpr int MinSilenceMs = 500;
  static constexpr int MaxSilenceMs = 1'100;
  static constexpr int MaxWorkMs = 60;
  /// One in so many waits is a silence.
  static constexpr unsigned SilenceEvery = 20;

  int waitMs() {
    const std::lock_guard lock(Guard);
    if (Random() % SilenceEvery == 0)
      return MinSilenceMs +
             static_cast<int>(Random() % (MaxSilenceMs - MinSilenceMs));
    return static_cast<int>(Random() % MaxWorkMs);
  }

  bool serve(const RawRequest &call, const RawConnection &out) {
    {
      const std::lock_guard lock(Guard);
      Ids.insert(call.header("x-orioletally-attempt-id"));
    }
    const bool isStream =
        call.Target.starts_with("/ask/") || call.Target.starts_with("/once/");
    if (!isStream) {
      if (out.closesWithin(waitMs()))
        return false;
      out.write(answerHead(call, "Content-Length: 5\r\n") + "whole");
      return true;
    }
    out.write(answerHead(call, StreamHead));
    const std::string last = call.header("last-event-id");
    for (int id = 1 + std::atoi(last.c_str()); id <= EventCount; ++id) {
      if (out.closesWithin(waitMs()))
        return false;
      out.write(chunk(event(id)));
    }
    out.write("0\r\n\r\n");
    return true;
  }

  mutable std::mutex Guard;
  std::mt19937 Random;
  std::set<std::string> Ids;
  StandInBackend Server;
};

} // namespace

TEST_GROUP(Changes) {
  RelayFixture fixture;
  int version = 0;
  Failures failures;

  void setup() override { putConfig(baseConfig()); }

  void putConfig(json config) {
    config["version"] = ++version;
    fixture.Store.put("op", "config", config.dump());
  }

  bool isInForce(int wanted) {
    std::istringstream lines(fixture.Process.log());
    for (std::string line; std::getline(lines, line);) {
      const json it = json::parse(line, nullptr, false);
      if (it.is_object() && it.value("event", "") == "config_in_force" &&
          it["version"] == wanted)
        return true;
    }
    return false;
  }

  /// Writes the configuration and waits until the node uses it.
  bool changeConfig(const json &config) {
    putConfig(config);
    return within(ConfigMs, [this] { return isInForce(version); });
  }

  /// Writes the settings with \p nodeLines in the section [node].
  std::string writeSettings(const std::string &nodeLines) {
    const std::string path = fixture.writeSettings("");
    std::ifstream in(path);
    std::string text(std::istreambuf_iterator<char>(in), {});
    const std::string section = "[node]\n";
    text.insert(text.find(section) + section.size(), nodeLines + "\n");
    return fixture.Process.writeFile("entry.toml", text);
  }

  bool start(const std::string &nodeLines = "") {
    fixture.Process.start({"entry", "--settings", writeSettings(nodeLines)});
    return fixture.Process
               .waitEvent("backends_read_whole", std::chrono::seconds(15))
               .has_value() &&
           within(AnswerMs, [this] { return fixture.isReady(); });
  }

  void listAll(const SlowServer &server, const std::string &state = "ready") {
    for (const char *service : {"plain", "engine", "other"})
      for (int n = 0; n < 2; ++n)
        fixture.listBackend(fmt::format("{}-{}", service, n), service,
                            server.address(), state);
  }

  /// Starts one call of each kind, applies \p change while they are read, run
  /// and are refused, and checks the answers.
  void callBeside(const std::string &name,
                  const std::function<void()> &change) {
    struct Call {
      const char *Path;
      const char *Extra;
      bool IsReadSlowly;
    };
    const Call calls[] = {{"/read/x", "", false},
                          {"/write/x", "", false},
                          {"/ask/x", "", false},
                          {"/once/x", "", false},
                          {"/read/x", "X-Refuse: 1\r\n", false},
                          {"/write/x", "X-Refuse: 1\r\n", false},
                          {"/ask/x", "X-Refuse: 1\r\n", false},
                          {"/read/x", "", true},
                          {"/write/x", "", true},
                          {"/once/x", "", true}};
    std::atomic<bool> isChanged = false;
    std::vector<std::thread> callers;
    int n = 0;
    for (const Call &it : calls) {
      const std::string id = fmt::format("{}-{}", version, ++n);
      callers.emplace_back([this, it, id, name, &isChanged] {
        KeptCaller caller(fixture.CallsAddress);
        const std::string text = request(it.Path, id, "body", it.Extra);
        const size_t first = it.IsReadSlowly ? text.size() - 3 : text.size();
        caller.write(text.substr(0, first));
        if (it.IsReadSlowly)
          within(ConfigMs, [&] { return isChanged.load(); });
        caller.write(text.substr(first));
        const CallerAnswer answer = caller.read();
        const bool isAllowed =
            isWhole(answer) || (it.IsReadSlowly && answer.Complete &&
                                (answer.Status == 401 || answer.Status == 404 ||
                                 isRefusal(answer)));
        failures.expect(isAllowed,
                        fmt::format("{}: {} {}{}", name, it.Path, it.Extra,
                                    it.IsReadSlowly ? "read slowly" : ""),
                        answer);
      });
    }
    sleepMs(150);
    change();
    isChanged = true;
    for (std::thread &it : callers)
      it.join();
  }
};

// Calls must not depend on the configuration that follows theirs.
TEST(Changes, CallsOutliveEachChangeOfTheConfiguration) {
  const SlowServer server(700);
  listAll(server);
  CHECK(start());
  for (const ConfigChange &it : configChanges()) {
    callBeside(it.Name, [&] {
      json config = baseConfig();
      it.Apply(config);
      CHECK(changeConfig(config));
    });
    CHECK(changeConfig(baseConfig()));
  }
  LONGS_EQUAL(0, failures.count());
}

TEST(Changes, CallsOutliveChangesInSeries) {
  const SlowServer server(900);
  listAll(server);
  CHECK(start());
  callBeside("series", [&] {
    for (const ConfigChange &it : configChanges()) {
      json config = baseConfig();
      it.Apply(config);
      putConfig(config);
      sleepMs(30);
    }
  });
  LONGS_EQUAL(0, failures.count());
}

TEST(Changes, CallsOutliveTheirBackendServersEntry) {
  const SlowServer server(700);
  const SlowServer spare(50);
  for (const bool isRemoved : {false, true}) {
    listAll(server);
    if (!isRemoved)
      CHECK(start());
    sleepMs(300);
    callBeside(isRemoved ? "unlisted" : "draining", [&] {
      for (const char *service : {"plain", "engine", "other"}) {
        fixture.listBackend(fmt::format("{}-spare{}", service, isRemoved),
                            service, spare.address());
        if (isRemoved)
          for (int n = 0; n < 2; ++n)
            fixture.unlistBackend(fmt::format("{}-{}", service, n));
      }
      if (!isRemoved)
        listAll(server, "draining");
      sleepMs(300);
    });
  }
  LONGS_EQUAL(0, failures.count());
}

TEST(Changes, CallsOutliveSettingsThatAreReadAgain) {
  const SlowServer server(900);
  listAll(server);
  CHECK(start());
  const std::vector<std::pair<const char *, std::function<void()>>> settings = {
      {"changed", [&] { writeSettings("grace_s = 5"); }},
      {"unusable", [&] { fixture.Process.writeFile("entry.toml", "[node"); }},
      {"no file", [&] { fixture.Process.writeFile("entry.toml", ""); }},
      {"as before", [&] { writeSettings(""); }}};
  for (const auto &[name, write] : settings)
    callBeside(name, [&] {
      for (int n = 0; n < 20; ++n) {
        write();
        fixture.Process.signal(SIGHUP);
        sleepMs(20);
      }
    });
  LONGS_EQUAL(0, failures.count());
}

TEST(Changes, CallsThatWaitAtTheStartOutliveAChange) {
  const SlowServer server(100);
  listAll(server);
  fixture.Store.delayReads("servers", milliseconds(250));
  fixture.Process.start({"entry", "--settings", writeSettings("")});
  CHECK(within(AnswerMs, [this] {
    return KeptCaller(fixture.CallsAddress).isConnected();
  }));
  KeptCaller caller(fixture.CallsAddress);
  caller.write(request("/read/x", "early"));
  json config = baseConfig();
  for (json &it : config["routes"])
    it["service"] = "other";
  putConfig(config);
  const CallerAnswer answer = caller.read();
  CHECK(isWhole(answer) || isRefusal(answer));
}

// A connection that waits for its next call must not keep the limits of the
// configuration under which its wait began.
TEST(Changes, WaitingConnectionsFollowLargerLimits) {
  const SlowServer server(10);
  listAll(server);
  CHECK(start());
  KeptCaller caller(fixture.CallsAddress);
  CHECK(isWhole(caller.call(request("/read/x", "a1"))));
  json config = baseConfig();
  config["limits"]["max_body_bytes"] = 50'000;
  config["limits"]["max_header_bytes"] = 12'000;
  CHECK(changeConfig(config));
  LONGS_EQUAL(200,
              caller
                  .call(request("/read/x", "a2", std::string(20'000, 'b'),
                                "X-Long: " + std::string(6'000, 'h') + "\r\n"))
                  .Status);
}

TEST(Changes, WaitingConnectionsFollowALongerIdleTimeout) {
  const SlowServer server(10);
  listAll(server);
  json config = baseConfig();
  config["limits"]["idle_timeout_ms"] = 1'500;
  putConfig(config);
  CHECK(start());
  KeptCaller caller(fixture.CallsAddress);
  CHECK(isWhole(caller.call(request("/read/x", "a1"))));
  config["limits"]["idle_timeout_ms"] = 10'000;
  CHECK(changeConfig(config));
  sleepMs(2'000);
  CHECK(isWhole(caller.call(request("/read/x", "a2"))));
}

TEST(Changes, WaitingConnectionsKeepTheIdleTimeoutThatTheirCallerKnew) {
  const SlowServer server(10);
  listAll(server);
  CHECK(start());
  KeptCaller caller(fixture.CallsAddress);
  CHECK(isWhole(caller.call(request("/read/x", "a1"))));
  json config = baseConfig();
  config["limits"]["idle_timeout_ms"] = 1'000;
  CHECK(changeConfig(config));
  sleepMs(2'000);
  CHECK(isWhole(caller.call(request("/read/x", "a2"))));
}

// A process that was stopped meanwhile finds the request and the end of the
// idle timeout at the same time.
TEST(Changes, RequestsThatArriveWithTheIdleTimeoutAreRead) {
  const SlowServer server(10);
  listAll(server);
  json config = baseConfig();
  config["limits"]["idle_timeout_ms"] = 1'000;
  putConfig(config);
  CHECK(start());
  std::vector<std::unique_ptr<KeptCaller>> callers;
  for (int n = 0; n < 20; ++n) {
    callers.push_back(std::make_unique<KeptCaller>(fixture.CallsAddress));
    CHECK(isWhole(
        callers.back()->call(request("/read/x", fmt::format("a{}", n)))));
  }
  CHECK(fixture.Process.freeze());
  for (size_t n = 0; n < callers.size(); ++n)
    callers[n]->write(request("/read/x", fmt::format("b{}", n)));
  sleepMs(1'500);
  fixture.Process.signal(SIGCONT);
  for (const auto &it : callers) {
    const CallerAnswer answer = it->read();
    failures.expect(isWhole(answer), "idle timeout", answer);
  }
  LONGS_EQUAL(0, failures.count());
}

// A request that is still being read when the node has nothing else to do must
// not end with its process.
TEST(Changes, ShutdownAnswersRequestsThatAreStillRead) {
  const SlowServer server(10);
  listAll(server);
  CHECK(start());
  const std::string text = request("/write/x", "slow", "body");
  KeptCaller body(fixture.CallsAddress);
  KeptCaller head(fixture.CallsAddress);
  CHECK(isWhole(body.call(request("/write/x", "a1"))));
  CHECK(isWhole(head.call(request("/write/x", "a2"))));
  body.write(text.substr(0, text.size() - 2));
  fixture.Process.signal(SIGTERM);
  sleepMs(2'000);
  head.write(text.substr(0, 40));
  sleepMs(1'000);
  body.write(text.substr(text.size() - 2));
  head.write(text.substr(40));
  const CallerAnswer atBody = body.read();
  const CallerAnswer atHead = head.read();
  failures.expect(isWhole(atBody) || isRefusal(atBody), "body", atBody);
  failures.expect(isWhole(atHead) || isRefusal(atHead), "head", atHead);
  LONGS_EQUAL(0, failures.count());
  LONGS_EQUAL(0, fixture.Process.waitExit(std::chrono::seconds(9)));
}

TEST(Changes, ShutdownRefusesRequestsThatNeverBecomeWhole) {
  const SlowServer server(10);
  listAll(server);
  CHECK(start("grace_s = 4"));
  const std::string text = request("/write/x", "slow", "body");
  KeptCaller caller(fixture.CallsAddress);
  CHECK(isWhole(caller.call(request("/write/x", "a1"))));
  fixture.Process.signal(SIGTERM);
  sleepMs(2'000);
  caller.write(text.substr(0, text.size() - 2));
  CHECK(isRefusal(caller.read()));
  CHECK(fixture.Process.waitExit(std::chrono::seconds(4)) >= 0);
  LONGS_EQUAL(1, server.attempts());
}

TEST(Changes, CallsOutliveAChangeBesideAShutdown) {
  const SlowServer server(900);
  listAll(server);
  CHECK(start());
  callBeside("shutdown", [&] {
    fixture.Process.signal(SIGTERM);
    for (const ConfigChange &it : configChanges()) {
      json config = baseConfig();
      it.Apply(config);
      putConfig(config);
      fixture.Process.signal(SIGHUP);
      sleepMs(20);
    }
  });
  LONGS_EQUAL(0, failures.count());
  LONGS_EQUAL(0, fixture.Process.waitExit(std::chrono::seconds(9)));
}

TEST(Changes, ConnectionsBeyondTheLimitAreRefusedInWords) {
  const SlowServer server(10);
  listAll(server);
  CHECK(start("max_files = 256"));
  std::vector<std::unique_ptr<KeptCaller>> callers;
  for (int n = 0; n < 16; ++n) {
    callers.push_back(std::make_unique<KeptCaller>(fixture.CallsAddress));
    CHECK(isWhole(
        callers.back()->call(request("/read/x", fmt::format("a{}", n)))));
  }
  KeptCaller late(fixture.CallsAddress);
  CHECK(isRefusal(late.call(request("/read/x", "late"))));
}

// While a caller doesn't take its answer, the backend server's bytes aren't
// read; that isn't the server's silence.
TEST(Changes, SlowCallerDoesNotMakeItsServerSilent) {
  constexpr int Large = 400;
  const StandInBackend::Script refuse =
      scripts::bytes("HTTP/1.1 503 X\r\nX-Orioletally-Attempt-Id: {id}\r\n"
                     "X-Orioletally-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n",
                     false);
  std::atomic<int> attempts = 0;
  const StandInBackend server(
      [&](const RawRequest &call, const RawConnection &out) {
        if (++attempts > 1)
          return refuse(call, out);
        out.write(answerHead(call, StreamHead));
        for (int id = 1; id <= Large; ++id)
          out.write(chunk(event(id, LargeEventBytes)));
        out.write("0\r\n\r\n");
        return true;
      });
  fixture.listBackend("engine-0", "engine", server.address());
  fixture.listBackend("engine-1", "engine", server.address());
  CHECK(start());
  KeptCaller caller(fixture.CallsAddress);
  caller.write(request("/ask/x", "slow"));
  sleepMs(2'500);
  const std::string received = caller.readAll(2'000);
  CHECK(fixture.Process.log().find("\"silence\"") == std::string::npos);
  LONGS_EQUAL(1, attempts);
  CHECK(received.ends_with("\r\n0\r\n\r\n"));
}

// Each whole request gets its answer or a refusal, and no call that was refused
// has run. ORIOLETALLY_SOAK_SEED and ORIOLETALLY_SOAK_MS choose other runs.
TEST(Changes, EachCallIsAnsweredInASoak) {
  constexpr int CallerCount = 16;
  constexpr int ServersPerService = 3;
  const auto seed =
      static_cast<unsigned>(environmentNumber("ORIOLETALLY_SOAK_SEED", 1));
  const int soakMs = environmentNumber("ORIOLETALLY_SOAK_MS", 3'000);
  std::vector<std::unique_ptr<SilentNowAndThen>> servers;
  const auto list = [&](int n, const char *state) {
    for (const char *service : {"plain", "engine", "other"})
      fixture.listBackend(fmt::format("{}-{}", service, n), service,
                          servers[static_cast<size_t>(n)]->address(), state);
  };
  for (int n = 0; n < ServersPerService; ++n) {
    servers.push_back(std::make_unique<SilentNowAndThen>(
        seed * ServersPerService + static_cast<unsigned>(n)));
    list(n, "ready");
  }
  CHECK(start());
  const auto hasRun = [&](const std::string &id) {
    return std::any_of(servers.begin(), servers.end(),
                       [&](const auto &it) { return it->hasRun(id); });
  };
  std::atomic<bool> isStopping = false;
  std::atomic<int> calls = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> unread = 0;
  std::mutex guard;
  std::vector<std::string> notRun;
  const auto callUntilGone = [&](int n) {
    std::mt19937 random(seed * CallerCount + static_cast<unsigned>(n));
    auto caller = std::make_unique<KeptCaller>(fixture.CallsAddress);
    for (int k = 0; caller->isConnected(); ++k) {
      const char *paths[] = {"/read/x", "/write/x", "/ask/x", "/once/x"};
      const char *path = paths[random() % std::size(paths)];
      const std::string id = fmt::format("s{}-{}", n, k);
      const std::string text = request(path, id, "body");
      const size_t first = 1 + random() % text.size();
      caller->write(text.substr(0, first));
      if (first < text.size())
        sleepMs(static_cast<int>(random() % 100));
      caller->write(text.substr(first));
      ++calls;
      const CallerAnswer answer = caller->read();
      // A connection that ends as a request crosses; no server may have it.
      const bool isUnread = isStopping && answer.Head.empty() && !hasRun(id);
      const bool isRefused = answer.Complete && !hasRun(id) &&
                             (isRefusal(answer) || answer.Status == 401 ||
                              answer.Status == 404 || answer.Status == 429);
      if (isUnread || isRefused) {
        const std::lock_guard lock(guard);
        notRun.push_back(id);
      }
      unread += isUnread ? 1 : 0;
      refused += isRefused ? 1 : 0;
      failures.expect(isWhole(answer) || isRefused || isUnread,
                      fmt::format("seed {}: {} {}", seed, path, id), answer);
      if (answer.Head.empty() || answer.header("connection") == "close")
        caller = std::make_unique<KeptCaller>(fixture.CallsAddress);
      sleepMs(static_cast<int>(random() % 50));
    }
  };
  std::vector<std::thread> callers;
  for (int n = 0; n < CallerCount; ++n)
    callers.emplace_back(callUntilGone, n);

  std::mt19937 random(seed);
  const auto end = std::chrono::steady_clock::now() + milliseconds(soakMs);
  while (std::chrono::steady_clock::now() < end) {
    json config = baseConfig();
    const auto &changes = configChanges();
    const ConfigChange &change = changes[random() % changes.size()];
    change.Apply(config);
    putConfig(config);
    if (random() % 3 == 0)
      fixture.Process.signal(SIGHUP);
    const int n = static_cast<int>(random() % ServersPerService);
    list(n, "draining");
    sleepMs(50 + static_cast<int>(random() % 300));
    list(n, "ready");
  }
  putConfig(baseConfig());
  isStopping = true;
  fixture.Process.signal(SIGTERM);
  for (std::thread &it : callers)
    it.join();
  CHECK(fixture.Process.waitExit(std::chrono::seconds(9)) >= 0);
  fmt::print("seed {}: {} calls, {} refused, {} unread, {} failed\n", seed,
             calls.load(), refused.load(), unread.load(), failures.count());
  for (const std::string &id : notRun)
    failures.expect(!hasRun(id), fmt::format("seed {}: {} ran later", seed, id),
                    {});
  const auto closed =
      fixture.Process.waitEvent("connections_closed", std::chrono::seconds(1));
  CHECK(closed.has_value());
  LONGS_EQUAL(0, (*closed)["unanswered"].get<int>());
  const auto incomplete =
      fixture.Process.waitEvent("request_incomplete", milliseconds(0));
  STRCMP_EQUAL("", incomplete.has_value() ? incomplete->dump().c_str() : "");
  LONGS_EQUAL(0, failures.count());
}

#include "drivers/http/http_exchange.h"
#include "drivers/http/http_server.h"
#include "drivers/loop/loop_runner.h"
#include "tests/lab/raw_server.h"

#include <atomic>
#include <fmt/format.h>
#include <httplib.h>
#include <sys/resource.h>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace orioletally;
using namespace orioletally::drivers::http;
using drivers::loop::LoopRunner;

namespace {

HttpServerSettings settingsOf(int port, size_t connections) {
  HttpServerSettings settings;
  settings.Port = port;
  settings.MaxConnections = connections;
  return settings;
}

ExchangeRequest getFrom(int port, const std::string &path) {
  ExchangeRequest request;
  request.Address = "127.0.0.1:" + std::to_string(port);
  request.Method = "GET";
  request.Path = path;
  request.ConnectTimeout = absl::Seconds(5);
  return request;
}

/// A server with its own loop, which ends before the server is destroyed.
struct RunningServer {
  explicit RunningServer(const HttpServerSettings &settings)
      : Server(Runner.loop(), settings) {}
  ~RunningServer() { Runner.end(); }

  bool start() { return static_cast<bool>(Server.start()); }

  LoopRunner Runner;
  HttpServer Server;
};

HttpHandler answerAfter(std::chrono::milliseconds pause, std::string body) {
  return
      [pause, body](HttpRequest &, HttpReply &reply) -> asio::awaitable<void> {
        asio::steady_timer timer(co_await asio::this_coro::executor, pause);
        co_await timer.async_wait(drivers::loop::AsTuple);
        reply.Answer.setContent(body, "text/plain");
      };
}

/// Sends \p text over a plain connection. Returns what arrives until the server
/// closes it or sends nothing for two seconds.
std::string rawCall(int port, const std::string &text) {
  const auto connection = lab::connectTo("127.0.0.1:" + std::to_string(port));
  connection->write(text);
  return connection->receiveAll(2000);
}

} // namespace

// setup() raises the limit of open files for a thousand connections.
TEST_GROUP(HttpServer){void setup() override{rlimit limit{};
getrlimit(RLIMIT_NOFILE, &limit);
limit.rlim_cur = limit.rlim_max;
setrlimit(RLIMIT_NOFILE, &limit);
}
}
;

TEST(HttpServer, ServesABurstOfAThousandConnections) {
  RunningServer running(settingsOf(0, 1200));
  running.Server.routes().add(
      "GET", "/", answerAfter(std::chrono::milliseconds(200), "ok"));
  CHECK(running.start());
  constexpr int Burst = 1000;
  std::atomic<int> completed = 0;
  std::vector<std::thread> threads;
  for (int n = 0; n < Burst; ++n)
    threads.emplace_back([&] {
      std::string body;
      const ExchangeResult result = runExchange(
          getFrom(running.Server.port(), "/"), absl::Seconds(20), body);
      completed += result.Complete && body == "ok" ? 1 : 0;
    });
  for (std::thread &it : threads)
    it.join();
  LONGS_EQUAL(Burst, completed.load());
}

// A request that has arrived when the server closes must not be cut off.
TEST(HttpServer, RequestsThatArriveBesideTheCloseAreAnswered) {
  RunningServer running(settingsOf(0, 10));
  running.Server.routes().add("GET", "/",
                              answerAfter(std::chrono::milliseconds(10), "ok"));
  CHECK(running.start());
  const std::string address =
      "127.0.0.1:" + std::to_string(running.Server.port());
  const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  const auto kept = lab::connectTo(address);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  std::unique_ptr<lab::RawConnection> late;
  running.Runner.run([&] {
    kept->write(request);
    late = lab::connectTo(address);
    late->write(request);
    running.Server.close();
  });
  for (const auto &it : {kept.get(), late.get()}) {
    const std::string answer = it->receiveAll(2000);
    CHECK_TEXT(answer.starts_with("HTTP/1.1 200"), answer.c_str());
  }
}

TEST(HttpServer, PortInUseIsAnError) {
  RunningServer first(settingsOf(0, 10));
  CHECK(first.start());
  RunningServer second(settingsOf(first.Server.port(), 10));
  const std::string reason = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(second.Server.start());
        return std::string("none");
      },
      [](const drivers::loop::ListenError &ec) { return ec.Reason; },
      [] { return std::string("?"); });
  STRCMP_EQUAL("Address already in use", reason.c_str());
}

TEST(HttpServer, ExchangeThatNeverConnectedWroteNothing) {
  int port = 0;
  {
    RunningServer ended(settingsOf(0, 10));
    CHECK(ended.start());
    port = ended.Server.port();
  }
  std::string body;
  const ExchangeResult result =
      runExchange(getFrom(port, "/"), absl::Seconds(2), body);
  CHECK_FALSE(result.Complete);
  CHECK_FALSE(result.Written);
}

TEST(HttpServer, ExchangeTimesOutWithoutAnAnswer) {
  RunningServer running(settingsOf(0, 10));
  running.Server.routes().add("GET", "/",
                              answerAfter(std::chrono::seconds(1), "late"));
  CHECK(running.start());
  const auto started = std::chrono::steady_clock::now();
  std::string body;
  const ExchangeResult result = runExchange(getFrom(running.Server.port(), "/"),
                                            absl::Milliseconds(200), body);
  CHECK_FALSE(result.Complete);
  CHECK(result.Written);
  CHECK(std::chrono::steady_clock::now() - started <
        std::chrono::milliseconds(500));
}

TEST(HttpServer, ConnectionBeyondTheLimitIsClosedAfterOneAnswer) {
  RunningServer running(settingsOf(0, 1));
  running.Server.routes().addSync("GET", "/", [](const auto &, auto &response) {
    response.setContent("ok", "text/plain");
  });
  CHECK(running.start());
  httplib::Client first("127.0.0.1", running.Server.port());
  first.set_keep_alive(true);
  LONGS_EQUAL(200, first.Get("/")->status);
  std::string body;
  const ExchangeResult result =
      runExchange(getFrom(running.Server.port(), "/"), absl::Seconds(2), body);
  CHECK(result.Complete);
  STRCMP_EQUAL("close", headerOf(result.Headers, "Connection").c_str());
  first.stop();
}

TEST(HttpServer, RejectsAmbiguousLengthsAndMalformedHeads) {
  RunningServer running(settingsOf(0, 10));
  std::atomic<int> handled = 0;
  running.Server.routes().addSync("POST", "/.*",
                                  [&](const auto &, auto &) { ++handled; });
  CHECK(running.start());
  const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::string cases[] = {
      head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      head + "Content-Length: -1\r\n\r\n",
      head + "Content-Length : 1\r\n\r\na",
      "POST / HTTP/1.1\nHost: x\n\n",
      "PO ST / HTTP/1.1\r\nHost: x\r\n\r\n",
      "POST / HTTP/9.9\r\nHost: x\r\n\r\n",
      head + "X: " + std::string(20000, 'x') + "\r\n\r\n",
  };
  for (const std::string &it : cases) {
    const std::string answer = rawCall(running.Server.port(), it);
    CHECK_TEXT(answer.starts_with("HTTP/1.1 400 "), it.substr(0, 80).c_str());
  }
  LONGS_EQUAL(0, handled.load());
}

TEST(HttpServer, BodyBeyondTheLimitIsRefusedBeforeItIsRead) {
  HttpServerSettings settings = settingsOf(0, 10);
  settings.MaxBodyBytes = 100;
  RunningServer running(settings);
  CHECK(running.start());
  const std::string answer =
      rawCall(running.Server.port(),
              "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 413 "));
}

TEST(HttpServer, AbortsAStreamThatItsHandlerDoesNotFinish) {
  RunningServer running(settingsOf(0, 10));
  running.Server.routes().add(
      "GET", "/", [](HttpRequest &, HttpReply &reply) -> asio::awaitable<void> {
        co_await reply.write("half");
      });
  CHECK(running.start());
  std::string body;
  const ExchangeResult result =
      runExchange(getFrom(running.Server.port(), "/"), absl::Seconds(2), body);
  STRCMP_EQUAL("half", body.c_str());
  CHECK_FALSE(result.Complete);
}

// Before HTTP/1.1, the end of the connection is what makes a body complete.
TEST(HttpServer, ResetsAConnectionWithoutChunksAfterAnUnfinishedStream) {
  RunningServer running(settingsOf(0, 10));
  running.Server.routes().add(
      "GET", "/", [](HttpRequest &, HttpReply &reply) -> asio::awaitable<void> {
        co_await reply.write("half");
      });
  running.Server.routes().add(
      "GET", "/whole",
      [](HttpRequest &, HttpReply &reply) -> asio::awaitable<void> {
        co_await reply.write("whole");
        co_await reply.finish();
      });
  CHECK(running.start());
  for (const std::string path : {"/", "/whole"}) {
    const auto caller =
        lab::connectTo(fmt::format("127.0.0.1:{}", running.Server.port()));
    caller->write(fmt::format("GET {} HTTP/1.0\r\nHost: x\r\n\r\n", path));
    std::string received;
    const bool isReset = caller->isResetWithin(2'000, received);
    CHECK_EQUAL_TEXT(path == "/", isReset, path.c_str());
    CHECK(received.ends_with(path == "/" ? "half" : "whole"));
  }
}

TEST(HttpServer, NotifiesTheHandlerWhenTheCallerDisconnects) {
  RunningServer running(settingsOf(0, 10));
  std::atomic<bool> isNotified = false;
  running.Server.routes().add(
      "GET", "/",
      [&](HttpRequest &, HttpReply &reply) -> asio::awaitable<void> {
        asio::steady_timer timer(co_await asio::this_coro::executor,
                                 std::chrono::seconds(5));
        reply.onCallerDisconnected([&] {
          isNotified = true;
          timer.cancel();
        });
        co_await timer.async_wait(drivers::loop::AsTuple);
      });
  CHECK(running.start());
  const auto started = std::chrono::steady_clock::now();
  std::string body;
  runExchange(getFrom(running.Server.port(), "/"), absl::Milliseconds(50),
              body);
  while (!isNotified &&
         std::chrono::steady_clock::now() - started < std::chrono::seconds(4))
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  CHECK(isNotified);
  CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(1));
}

TEST(HttpServer, DropsASlowReaderAfterTheWriteTimeout) {
  HttpServerSettings settings = settingsOf(0, 10);
  settings.WriteTimeout = absl::Milliseconds(200);
  RunningServer running(settings);
  std::atomic<bool> isDropped = false;
  running.Server.routes().add(
      "GET", "/",
      [&](HttpRequest &, HttpReply &reply) -> asio::awaitable<void> {
        const std::string piece(1 << 20, 'x');
        for (int n = 0; n < 64; ++n) {
          const bool isWritten = co_await reply.write(piece);
          if (!isWritten) {
            isDropped = true;
            co_return;
          }
        }
      });
  CHECK(running.start());
  const auto idle =
      lab::connectTo("127.0.0.1:" + std::to_string(running.Server.port()));
  idle->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!isDropped && std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  CHECK(isDropped);
}

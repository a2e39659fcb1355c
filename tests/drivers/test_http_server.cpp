#include "drivers/backend/http_engine_client.h"
#include "drivers/http/http_exchange.h"
#include "drivers/http/http_server.h"
#include "drivers/http/socket_stream.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <sys/resource.h>
#include <thread>
#include <vector>

using namespace orioletally::drivers::http;

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
  request.Connect = absl::Seconds(5);
  return request;
}

} // namespace

TEST_GROUP(HttpServer){void setup() override{rlimit limit{};
getrlimit(RLIMIT_NOFILE, &limit);
limit.rlim_cur = limit.rlim_max;
setrlimit(RLIMIT_NOFILE, &limit);
}
}
;

TEST(HttpServer, TakesABurstOfAThousandConnections) {
  HttpServer server(settingsOf(0, 1200));
  server.Get("/", [](const auto &, auto &response) {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    response.set_content("ok", "text/plain");
  });
  CHECK(static_cast<bool>(server.start()));
  constexpr int Burst = 1000;
  std::atomic<int> good = 0;
  std::vector<std::thread> threads;
  for (int n = 0; n < Burst; ++n)
    threads.emplace_back([&] {
      std::string body;
      const ExchangeEnd end =
          exchangeWithin(getFrom(server.port(), "/"), absl::Seconds(20), body);
      good += end.Whole && body == "ok" ? 1 : 0;
    });
  for (std::thread &it : threads)
    it.join();
  LONGS_EQUAL(Burst, good.load());
}

TEST(HttpServer, PortInUseIsAnError) {
  HttpServer first(settingsOf(0, 10));
  CHECK(static_cast<bool>(first.start()));
  HttpServer second(settingsOf(first.port(), 10));
  const std::string reason = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(second.start());
        return std::string("none");
      },
      [](const ListenError &ec) { return ec.Reason; },
      [] { return std::string("?"); });
  STRCMP_EQUAL("Address already in use", reason.c_str());
}

TEST(HttpServer, ExchangeThatNeverConnectedWroteNothing) {
  int port = 0;
  {
    HttpServer gone(settingsOf(0, 10));
    CHECK(static_cast<bool>(gone.start()));
    port = gone.port();
  }
  std::string body;
  const ExchangeEnd end =
      exchangeWithin(getFrom(port, "/"), absl::Seconds(2), body);
  CHECK_FALSE(end.Whole);
  CHECK_FALSE(end.Written);
}

TEST(HttpServer, ExchangeEndsWithinItsBoundWhenNothingComes) {
  HttpServer server(settingsOf(0, 10));
  server.Get("/", [](const auto &, auto &response) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    response.set_content("late", "text/plain");
  });
  CHECK(static_cast<bool>(server.start()));
  const auto started = std::chrono::steady_clock::now();
  std::string body;
  const ExchangeEnd end = exchangeWithin(getFrom(server.port(), "/"),
                                         absl::Milliseconds(200), body);
  CHECK_FALSE(end.Whole);
  CHECK(end.Written);
  CHECK(std::chrono::steady_clock::now() - started <
        std::chrono::milliseconds(500));
}

TEST(HttpServer, SecondConnectionBeyondTheLimitIsServedOnce) {
  HttpServer server(settingsOf(0, 1));
  server.Get("/", [](const auto &, auto &response) {
    response.set_content("ok", "text/plain");
  });
  CHECK(static_cast<bool>(server.start()));
  httplib::Client first("127.0.0.1", server.port());
  first.set_keep_alive(true);
  LONGS_EQUAL(200, first.Get("/")->status);
  std::string body;
  const ExchangeEnd end =
      exchangeWithin(getFrom(server.port(), "/"), absl::Seconds(2), body);
  CHECK(end.Whole);
  first.stop();
}

#include "drivers/http/http_exchange.h"
#include "drivers/loop/event_loop.h"
#include "drivers/loop/http_client.h"
#include "tests/lab/raw_server.h"

#include <chrono>
#include <string>
#include <thread>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally;
using drivers::http::ExchangeRequest;
using drivers::http::ExchangeResult;
using drivers::loop::EventLoop;
using drivers::loop::HttpCall;
using drivers::loop::HttpCallResult;
using drivers::loop::HttpClient;
using lab::RawConnection;
using lab::RawRequest;
using lab::RawServer;

namespace {

constexpr absl::Duration Timeout = absl::Seconds(2);
const std::string SoundAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

RawServer::Handler always(const std::string &bytes, bool staysOpen) {
  return [=](const RawRequest &, const RawConnection &out) {
    out.write(bytes);
    return staysOpen;
  };
}

/// Makes calls one after the other with the store's client.
class StoreCalls {
public:
  explicit StoreCalls(const std::string &address) : Client(Loop, address) {}

  HttpCallResult call(const std::string &target = "/") {
    HttpCallResult result;
    asio::co_spawn(
        Loop,
        [&]() -> asio::awaitable<void> {
          HttpCall call = HttpCall::get(target, Timeout);
          result = co_await Client.call(std::move(call));
        },
        asio::detached);
    Loop.run();
    Loop.restart();
    return result;
  }

private:
  EventLoop Loop;
  HttpClient Client;
};

/// Makes a call as the operator's client and the engines' do.
ExchangeResult exchange(const std::string &address, std::string &body) {
  ExchangeRequest request;
  request.Address = address;
  request.Method = "GET";
  request.Path = "/";
  return drivers::http::runExchange(std::move(request), Timeout, body);
}

/// Checks that neither client accepts \p bytes, followed by a close unless
/// \p staysOpen, as an answer.
void checkRefused(const std::string &bytes, bool staysOpen = true) {
  const RawServer server(always(bytes, staysOpen));
  StoreCalls store(server.address());
  LONGS_EQUAL_TEXT(0, store.call().Status, bytes.c_str());
  std::string body;
  CHECK_FALSE_TEXT(exchange(server.address(), body).Complete, bytes.c_str());
}

} // namespace

TEST_GROUP(AnswerReader){};

// Guards against an answer whose status HTTP doesn't have.
TEST(AnswerReader, RefusesStatusOutsideOfHttp) {
  for (const char *status : {"000", "007", "099", "600", "999"})
    checkRefused("HTTP/1.1 " + std::string(status) +
                 " X\r\nContent-Length: 5\r\n\r\nwhole");
}

// Guards against a switch of protocols that nobody asked for.
TEST(AnswerReader, RefusesSwitchOfProtocols) {
  checkRefused("HTTP/1.1 101 Switching Protocols\r\n\r\n" + SoundAnswer);
}

// Guards against an interim answer taken for the final one, which then is taken
// for the answer to the next call.
TEST(AnswerReader, SkipsInterimAnswers) {
  const RawServer server(always("HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"
                                "HTTP/1.1 100 Continue\r\n\r\n" +
                                    SoundAnswer,
                                true));
  StoreCalls store(server.address());
  for (int n = 0; n < 2; ++n) {
    const HttpCallResult result = store.call();
    LONGS_EQUAL(200, result.Status);
    STRCMP_EQUAL("sound", result.Body.c_str());
  }
  std::string body;
  const ExchangeResult result = exchange(server.address(), body);
  CHECK(result.Complete);
  LONGS_EQUAL(200, result.Status);
  STRCMP_EQUAL("sound", body.c_str());
}

// Guards against a line that begins with a blank being joined to the one before
// it, which hides the field that it names.
TEST(AnswerReader, RefusesFoldedLines) {
  checkRefused("HTTP/1.1 200 OK\r\nX-A: b\r\n Content-Length: 20\r\n\r\nwhole",
               false);
  checkRefused("HTTP/1.1 200 OK\r\nX-A: b\r\n\tX-B: c\r\nContent-Length: 5"
               "\r\n\r\nwhole");
  checkRefused("HTTP/1.1 200 OK\r\nX-A:\r\n b\r\nContent-Length: 5"
               "\r\n\r\nwhole");
}

// Guards against a folded line that is missed where the bytes are parsed in
// parts.
TEST(AnswerReader, RefusesFoldedLinesThatArriveInParts) {
  const std::string bytes = "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n"
                            "Content-Length: 5\r\n\r\nwhole";
  for (size_t cut = 1; cut + 1 < bytes.find("\r\n\r\n"); ++cut) {
    const RawServer server([&](const RawRequest &, const RawConnection &out) {
      out.write(bytes.substr(0, cut));
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      out.write(bytes.substr(cut));
      return true;
    });
    StoreCalls store(server.address());
    LONGS_EQUAL(0, store.call().Status);
  }
}

// Guards against a body whose end depends on who reads it.
TEST(AnswerReader, RefusesAmbiguousFraming) {
  const std::string chunked = "5\r\nwhole\r\n0\r\n\r\n";
  checkRefused("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" +
               chunked);
  checkRefused("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nwhole",
               false);
  checkRefused("HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n"
               "Content-Length: 5\r\n\r\nwhole");
  checkRefused("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n"
               "Content-Length: 5\r\n\r\nwhole");
  checkRefused("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5"
               "\r\n\r\nwhole");
  checkRefused("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
               chunked);
}

// Field names, values, sizes and ends that Beast refuses by itself.
TEST(AnswerReader, RefusesMalformedLines) {
  const std::string start = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n";
  const std::string end = "\r\n\r\nwhole";
  for (const char bad : {' ', '\t', '\x01', '\x7f', '\xe9', '(', '"', '\r'})
    checkRefused(start + "X" + bad + "A: b" + end);
  for (const char bad : {'\x01', '\x7f', '\r', '\n', '\0'})
    checkRefused(start + "X-A: b" + bad + "c" + end);
  checkRefused(start + "X-A : b" + end);
  checkRefused(start + ": b" + end);
  checkRefused(start + "X-A" + end);
  checkRefused("HTTP/1.1 200 OK\r\n X-A: b\r\nContent-Length: 5" + end);
  checkRefused("HTTP/1.1 200 OK\r\nContent-Length: +5" + end);
  checkRefused("HTTP/1.1 200 OK\r\nContent-Length: 5, 6" + end);
  checkRefused("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               "0x5\r\nwhole\r\n0\r\n\r\n");
  checkRefused("HTTP/1.1 200 OK\r\nContent-Length: 6" + end, false);
  checkRefused("HTTP/2.0 200 OK\r\nContent-Length: 5" + end);
}

// Guards against fields of a trailer taken for fields of the head.
TEST(AnswerReader, KeepsTrailersOutOfTheHead) {
  const RawServer server(always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                                "\r\n\r\n5\r\nwhole\r\n0\r\nX-Late: 1\r\n\r\n",
                                true));
  StoreCalls store(server.address());
  const HttpCallResult result = store.call();
  LONGS_EQUAL(200, result.Status);
  CHECK(result.header("X-Late").empty());
}

// Guards against bytes after an answer taken for the answer to the next call.
TEST(AnswerReader, DropsBytesAfterAnAnswer) {
  for (const int delayMs : {0, 50}) {
    const RawServer server(
        [&](const RawRequest &request, const RawConnection &out) {
          const std::string extra =
              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
          std::string own = SoundAnswer;
          own.replace(own.find("sound"), 5, request.Target.substr(0, 5));
          out.write(delayMs == 0 ? own + extra : own);
          if (delayMs > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
            out.write(extra);
          }
          return true;
        });
    StoreCalls store(server.address());
    STRCMP_EQUAL("/one1", store.call("/one1").Body.c_str());
    std::this_thread::sleep_for(std::chrono::milliseconds(2 * delayMs));
    STRCMP_EQUAL("/two2", store.call("/two2").Body.c_str());
  }
}

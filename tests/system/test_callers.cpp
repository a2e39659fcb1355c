#include "tests/lab/raw_server.h"
#include "tests/support/fleet_fixture.h"

#include <CppUTest/TestHarness.h>
#include <thread>

using namespace orioletally;
using nlohmann::json;
using tests::eventually;
using tests::FleetFixture;
using tests::HttpAnswer;
using tests::httpCall;
using tests::NodeProcess;

namespace {

/// Opens a TCP connection and writes \p text.
std::unique_ptr<lab::RawConnection> openAndWrite(const std::string &address,
                                                 const std::string &text) {
  auto connection = lab::connectTo(address);
  connection->write(text);
  return connection;
}

std::string streamingRequest(int maxTokens) {
  const std::string body = json({{"model", "p"},
                                 {"prompt", "hello"},
                                 {"max_tokens", maxTokens},
                                 {"stream", true}})
                               .dump();
  return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
         "caller\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_GROUP(Callers) {
  std::unique_ptr<FleetFixture> fleet;
  NodeProcess *node = nullptr;

  void setup() override {
    fleet = std::make_unique<FleetFixture>(2);
    node = &fleet->addReadyNode();
    LONGS_EQUAL(201, FleetFixture::createProfile(*node, "p",
                                                 {{"max_prompt_tokens", 2000}})
                         .Status);
    FleetFixture::createProfile(*node, "closed", {{"workspaces", {"v"}}});
    FleetFixture::createProfile(
        *node, "sub",
        {{"kind", "service"}, {"service", "records"}, {"repeatable", false}});
  }
  void teardown() override { fleet.reset(); }

  HttpAnswer sendCompletion(const json &body,
                            const std::string &token = "caller") {
    return httpCall(node->address(), "POST", "/v1/completions", token,
                    body.dump());
  }
};

TEST(Callers, AnswersFollowTheCompletionsFormat) {
  const HttpAnswer text =
      sendCompletion({{"model", "p"}, {"prompt", "hello"}, {"max_tokens", 3}});
  LONGS_EQUAL(200, text.Status);
  CHECK(!text.RequestId.empty());
  const uint64_t hash = lab::hashPrompt("hello");
  const std::string expected = lab::answerToken(hash, 0) +
                               lab::answerToken(hash, 1) +
                               lab::answerToken(hash, 2);
  STRCMP_EQUAL(expected.c_str(),
               text.json()["choices"][0]["text"].get<std::string>().c_str());
  LONGS_EQUAL(3, text.json()["usage"]["completion_tokens"].get<int>());

  const HttpAnswer chat =
      httpCall(node->address(), "POST", "/v1/chat/completions", "caller",
               json({{"model", "p"},
                     {"messages", {{{"role", "user"}, {"content", "hello"}}}},
                     {"max_tokens", 2}})
                   .dump());
  STRCMP_EQUAL(
      "assistant",
      chat.json()["choices"][0]["message"]["role"].get<std::string>().c_str());
  const HttpAnswer stream = sendCompletion({{"model", "p"},
                                            {"prompt", "hello"},
                                            {"max_tokens", 2},
                                            {"stream", true}});
  CHECK(stream.Body.ends_with("data: [DONE]\n\n"));
  const HttpAnswer models =
      httpCall(node->address(), "GET", "/v1/models", "caller");
  LONGS_EQUAL(1, models.json()["data"].size());
}

TEST(Callers, InvalidInputIsRejectedWithoutRunning) {
  struct Case {
    const char *Method;
    const char *Path;
    const char *Token;
    std::string Body;
    int Status;
    const char *Code;
  };
  const std::string longPrompt(20'000, 'x');
  const Case cases[] = {
      {"POST", "/v1/completions", "wrong", "{}", 401, "unauthorized"},
      {"POST", "/v1/completions", "operator", "{}", 403, "forbidden"},
      {"POST", "/v1/completions", "caller", "{\"model\":", 400, "bad_request"},
      {"POST", "/v1/completions", "caller", "[]", 400, "bad_request"},
      {"POST", "/v1/completions", "caller", R"({"prompt":"x"})", 400,
       "bad_request"},
      {"POST", "/v1/completions", "caller", R"({"model":"none","prompt":"x"})",
       404, "not_found"},
      {"POST", "/v1/completions", "caller",
       R"({"model":"closed","prompt":"x"})", 403, "forbidden"},
      {"POST", "/v1/completions", "caller", R"({"model":"sub","prompt":"x"})",
       400, "bad_request"},
      {"POST", "/v1/completions", "caller",
       R"({"model":"p","prompt":"x","max_tokens":-1})", 400, "bad_request"},
      {"POST", "/v1/completions", "caller",
       R"({"model":"p","prompt":"x","max_tokens":1e30})", 400, "bad_request"},
      {"POST", "/v1/completions", "caller",
       R"({"model":"p","prompt":"x","max_tokens":99999999})", 400,
       "bad_request"},
      {"POST", "/v1/completions", "caller", R"({"model":"p","prompt":""})", 400,
       "bad_request"},
      {"POST", "/v1/completions", "caller",
       json({{"model", "p"}, {"prompt", longPrompt}}).dump(), 413,
       "payload_too_large"},
      {"POST", "/v1/chat/completions", "caller",
       R"({"model":"p","messages":[{"role":1}]})", 400, "bad_request"},
      {"POST", "/v1/services/none/x", "caller", "x", 404, "not_found"},
      {"GET", "/v1/nothing", "caller", "", 404, "not_found"},
      {"GET", "/v1/profiles", "caller", "", 403, "forbidden"},
      {"PUT", "/v1/profiles/q", "operator", "{}", 428, "precondition_required"},
      {"DELETE", "/v1/profiles/p", "operator", "", 428,
       "precondition_required"},
  };
  for (const Case &it : cases) {
    const HttpAnswer answer =
        httpCall(node->address(), it.Method, it.Path, it.Token, it.Body);
    LONGS_EQUAL_TEXT(it.Status, answer.Status, it.Body.c_str());
    STRCMP_EQUAL(it.Code, answer.error("code").c_str());
    STRCMP_EQUAL("not_run", answer.error("run").c_str());
  }
  LONGS_EQUAL(0, fleet->Engines[0]->submits() + fleet->Engines[1]->submits());
}

TEST(Callers, ProfileCanBePutBackAsRead) {
  const std::string path = "/v1/profiles/p";
  const HttpAnswer read = httpCall(node->address(), "GET", path, "operator");
  LONGS_EQUAL(200, read.Status);
  const auto put = [&](const json &body, const std::string &tag) {
    return httpCall(node->address(), "PUT", path, "operator", body.dump(),
                    {{"If-Match", tag}});
  };
  const HttpAnswer same = put(read.json(), read.EntityTag);
  LONGS_EQUAL(200, same.Status);
  const HttpAnswer again = httpCall(node->address(), "GET", path, "operator");
  CHECK(read.json()["fields"] == again.json()["fields"]);
  json changed = again.json();
  changed["fields"]["max_prompt_tokens"] = 1999;
  LONGS_EQUAL(200, put(changed, again.EntityTag).Status);
  // A body with another profile's name, with another revision than If-Match, or
  // with an unknown field is rejected.
  const HttpAnswer last = httpCall(node->address(), "GET", path, "operator");
  json other = last.json();
  other["name"] = "q";
  LONGS_EQUAL(400, put(other, last.EntityTag).Status);
  LONGS_EQUAL(400, put(changed, last.EntityTag).Status);
  json unknown = last.json();
  unknown["extra"] = 1;
  LONGS_EQUAL(400, put(unknown, last.EntityTag).Status);
}

TEST(Callers, BodyBeyondTheLimitIsRefused) {
  const HttpAnswer answer =
      sendCompletion({{"model", "p"}, {"prompt", std::string(17 << 20, 'x')}});
  LONGS_EQUAL(413, answer.Status);
  STRCMP_EQUAL("payload_too_large", answer.error("code").c_str());
}

TEST(Callers, LargeFormEncodedBodyIsAccepted) {
  FleetFixture::createProfile(*node, "long", json::object());
  const HttpAnswer answer =
      httpCall(node->address(), "POST", "/v1/completions", "caller",
               json({{"model", "long"},
                     {"prompt", std::string(100'000, 'x')},
                     {"max_tokens", 1}})
                   .dump(),
               {{"Content-Type", "application/x-www-form-urlencoded"}});
  LONGS_EQUAL(200, answer.Status);
}

TEST(Callers, CallerDisconnectFreesTheEngineWithinOneSecond) {
  auto caller = openAndWrite(node->address(), streamingRequest(4000));
  CHECK(eventually([&] {
    return fleet->Engines[0]->heldTokens() + fleet->Engines[1]->heldTokens() >
           0;
  }));
  caller.reset();
  CHECK(eventually(
      [&] {
        return fleet->Engines[0]->heldTokens() +
                   fleet->Engines[1]->heldTokens() ==
               0;
      },
      std::chrono::seconds(1)));
}

TEST(Callers, ExplainNamesTheBackendServerAndTheRevision) {
  const HttpAnswer answer =
      sendCompletion({{"model", "p"}, {"prompt", "hello"}, {"max_tokens", 1}});
  json found;
  CHECK(eventually([&] {
    const HttpAnswer explained = httpCall(
        node->address(), "GET", "/v1/requests/" + answer.RequestId, "operator");
    found = explained.json();
    return explained.Status == 200;
  }));
  LONGS_EQUAL(1, found["profile_revision"].get<int>());
  CHECK(found["backend"].get<std::string>().starts_with("engine-"));
  CHECK(!found["steps"].empty());
  CHECK(found.dump().find("hello") == std::string::npos);
}

TEST(Callers, RepeatOfAnUnrepeatableCallGetsTheFirstAnswer) {
  const auto send = [&](const std::string &body) {
    return httpCall(node->address(), "POST", "/v1/services/sub/apply", "caller",
                    body, {{"Idempotency-Key", "k1"}});
  };
  const HttpAnswer first = send("a");
  LONGS_EQUAL(200, first.Status);
  STRCMP_EQUAL(first.Body.c_str(), send("a").Body.c_str());
  LONGS_EQUAL(409, send("b").Status);
  LONGS_EQUAL(1, fleet->Services[0]->executions()["k1"]);
}

TEST(Callers, SlowRequestTimesOutWith408) {
  tests::NodeOptions options;
  options.RequestMs = 500;
  NodeProcess &nodeWithShortTimeout = fleet->addReadyNode(options);
  const auto slow = openAndWrite(nodeWithShortTimeout.address(),
                                 "POST /v1/completions HTTP/1.1\r\n");
  const auto started = std::chrono::steady_clock::now();
  const std::string answer = slow->receiveAll(10'000);
  CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(2));
  CHECK(answer.find("408") != std::string::npos);
  CHECK(answer.find("request_timeout") != std::string::npos);
}

TEST(Callers, FullNodeRejectsRequestsAndStillAnswersStatus) {
  tests::NodeOptions options;
  options.MaxStreams = 2;
  NodeProcess &fullNode = fleet->addReadyNode(options);
  const auto first = openAndWrite(fullNode.address(), streamingRequest(2000));
  const auto second = openAndWrite(fullNode.address(), streamingRequest(2000));
  CHECK(eventually([&] {
    const json status =
        httpCall(fullNode.address(), "GET", "/v1/status", "operator").json();
    return status["in_progress"] == 2;
  }));
  const HttpAnswer refused =
      httpCall(fullNode.address(), "POST", "/v1/completions", "caller",
               json({{"model", "p"}, {"prompt", "x"}}).dump());
  LONGS_EQUAL(503, refused.Status);
  STRCMP_EQUAL("overloaded", refused.error("code").c_str());
  STRCMP_EQUAL("not_run", refused.error("run").c_str());
  CHECK(!refused.RetryAfter.empty());
  LONGS_EQUAL(200, httpCall(fullNode.address(), "GET", "/healthz", "").Status);
}

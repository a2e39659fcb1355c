#include "tests/support/reserving_engine.h"

#include <array>
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

using Clock = std::chrono::steady_clock;
using lab::RawConnection;
using lab::RawRequest;
using Script = StandInBackend::Script;

constexpr int EventCount = 6;
constexpr int ForEverMs = 12'000;
constexpr std::array SilencesMs = {500, 1'000, 1'500, 3'000, ForEverMs};

std::string chunk(int id) {
  const std::string event = fmt::format("id: {}\ndata: x\n\n", id);
  return fmt::format("{:x}\r\n{}\r\n", event.size(), event);
}

std::string head(const RawRequest &request) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nX-Orioletally-Attempt-Id: {}\r\n"
      "X-Orioletally-Response-Signature: sig\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      request.header("x-orioletally-attempt-id"));
}

/// Writes three events, is silent, and goes on.
Script silentServer(int ms) {
  return [ms](const RawRequest &request, const RawConnection &out) {
    out.write(head(request) + chunk(1) + chunk(2) + chunk(3));
    if (out.closesWithin(ms) || ms == ForEverMs)
      return false;
    out.write(chunk(4) + chunk(5) + chunk(6) + "0\r\n\r\n");
    return true;
  };
}

/// As silentServer(), but is silent before its answer.
Script lateServer(int ms) {
  return [ms](const RawRequest &request, const RawConnection &out) {
    if (out.closesWithin(ms) || ms == ForEverMs)
      return false;
    std::string bytes = head(request);
    for (int id = 1; id <= EventCount; ++id)
      bytes += chunk(id);
    out.write(bytes + "0\r\n\r\n");
    return true;
  };
}

struct Second {
  const char *Name;
  Script Serve;
};

std::vector<Second> seconds() {
  const auto goOn = [](const RawRequest &request, const RawConnection &out) {
    const int last = std::atoi(request.header("last-event-id").c_str());
    std::string bytes = head(request);
    for (int id = last + 1; id <= EventCount; ++id)
      bytes += chunk(id);
    out.write(bytes + "0\r\n\r\n");
    return true;
  };
  return {{"continues", goOn},
          {"refuses",
           scripts::bytes("HTTP/1.1 503 X\r\nX-Orioletally-Attempt-Id: {id}\r\n"
                          "X-Orioletally-Not-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n",
                          false)},
          {"errs",
           scripts::bytes("HTTP/1.1 500 X\r\nX-Orioletally-Attempt-Id: {id}\r\n"
                          "X-Orioletally-Response-Signature: bad\r\n"
                          "Content-Length: 3\r\n\r\nerr",
                          false)},
          {"closes", scripts::bytes("", true)}};
}

/// Passes the first attempt at each call to \p first, later ones to \p later.
Script byAttempt(Script first, Script later) {
  const auto guard = std::make_shared<std::mutex>();
  const auto seen = std::make_shared<std::map<std::string, int>>();
  return [=](const RawRequest &request, const RawConnection &out) {
    bool isFirst = false;
    {
      const std::lock_guard lock(*guard);
      isFirst = ++(*seen)[request.header("x-orioletally-attempt-id")] == 1;
    }
    return isFirst ? first(request, out) : later(request, out);
  };
}

/// One call in a node and on engines of its own.
class Trial {
public:
  Trial(const Second &second, int silenceMs, bool withHelpers)
      : SilenceMs(silenceMs), WithHelpers(withHelpers) {
    Node.configure(1);
    if (withHelpers)
      configureSmallEngines(Node, 2, 8'000);
    const Script script =
        byAttempt(withHelpers ? lateServer(silenceMs) : silentServer(silenceMs),
                  second.Serve);
    const size_t count = withHelpers ? 6 : 2;
    for (size_t n = 0; n < count; ++n) {
      Engines.push_back(std::make_unique<ReservingEngine>(script));
      Engines.back()->setState("used");
      Node.listBackend(fmt::format("e-{}", n), "engine",
                       Engines.back()->address());
    }
  }

  void run() {
    if (!Node.start(Engines.size()))
      return;
    const CallerAnswer answer = Node.call(
        "POST", "/ask/x",
        WithHelpers ? "X-Orioletally-Token-Counts: 60000,100\r\n" : "", "b");
    IsWhole = answer.Complete && answer.Status == 200;
    const nlohmann::json line = Node.waitCallLog("a1");
    if (line.is_object())
      WaitMs = line.value(WithHelpers ? "first_ms" : "gap_ms", int64_t{-1});
  }

  int SilenceMs;
  bool IsWhole = false;
  int64_t WaitMs = -1;

private:
  bool WithHelpers;
  std::vector<std::unique_ptr<ReservingEngine>> Engines;
  RelayFixture Node;
};

/// Prints a row for each silence and checks that no answer is missing.
void measure(const Second &second, bool withHelpers) {
  std::vector<std::unique_ptr<Trial>> trials;
  for (const int ms : SilencesMs)
    trials.push_back(std::make_unique<Trial>(second, ms, withHelpers));
  std::vector<std::thread> threads;
  for (const auto &it : trials)
    threads.emplace_back([&it] { it->run(); });
  for (std::thread &it : threads)
    it.join();
  std::string missing;
  for (const auto &it : trials) {
    const bool isForEver = it->SilenceMs == ForEverMs;
    const std::string label = fmt::format(
        "| {} | {} | {} | {} | {} |\n",
        isForEver ? "for ever" : std::to_string(it->SilenceMs), second.Name,
        withHelpers ? "yes" : "no", it->IsWhole ? "yes" : "no",
        it->IsWhole ? std::to_string(it->WaitMs) : "-");
    fmt::print("{}", label);
    // One of the two servers could answer.
    if (!it->IsWhole && (!isForEver || std::string(second.Name) == "continues"))
      missing += label;
  }
  STRCMP_EQUAL("", missing.c_str());
}

} // namespace

TEST_GROUP(SilenceTable){};

TEST(SilenceTable, WhatEitherServerCanDeliverIsDelivered) {
  fmt::print("\n| silence, ms | second server | helpers | whole | next event "
             "after, ms |\n| --- | --- | --- | --- | --- |\n");
  for (const bool withHelpers : {false, true})
    for (const Second &it : seconds())
      measure(it, withHelpers);
}

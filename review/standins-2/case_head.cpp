/// A worker answers with a head of many short lines; see review/8/claim.txt.
#include "review/standins-2/stage.h"

#include <cstdio>
#include <thread>

using namespace review;

namespace {

constexpr int Workers = 2;
constexpr int Callers = 8;
constexpr int DurationMs = 20'000;
constexpr int PauseMs = 40;
/// timeout_ms of the route, and the time that the callers will wait.
constexpr int TimeoutMs = 1'000;
constexpr int TimeLimitMs = 5'000;
/// "no answer half a second later"
constexpr int LateMs = TimeoutMs + 500;
constexpr int MinUnanswered = 8;
/// From the start of a process until its machine is in touch.
constexpr int InTouchMs = 3'500;
/// The faulty worker gives such a head with one of this many answers.
constexpr int OddEvery = 200;
constexpr int Tokens = 16'000;
constexpr int Lines = 6'300;

/// 57 KB of header lines.
std::string oddLines() {
  std::string result = "Connection: keep-alive";
  for (int n = 0; n < Tokens; ++n)
    result += ",a";
  result += "\r\n";
  for (int n = 0; n < Lines; ++n)
    result += "b:\r\n";
  return result;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return NotRun;
  Record record(argv[1]);
  StoreServer store;
  writeConfig(store, 1, TimeoutMs);
  const bool isTroubled = hasTrouble();
  const std::string lines = oddLines();
  std::atomic<int> answers = 0;
  std::atomic<int> odd = 0;
  std::vector<std::unique_ptr<RawServer>> workers;
  for (int n = 0; n < Workers; ++n) {
    workers.push_back(std::make_unique<RawServer>(
        [&, n](const RawRequest &request, const RawConnection &out) {
          const bool isOdd = isTroubled && n == 0 && ++answers % OddEvery == 0;
          odd += isOdd ? 1 : 0;
          record.line("worker " + std::to_string(n) + " runs " +
                      attemptId(request) +
                      (isOdd ? ", answers with a long head" : ""));
          sleepMs(10);
          out.write(answerHead(request, 200,
                               (isOdd ? lines : std::string()) +
                                   "Content-Length: 5\r\n") +
                    "order");
          return true;
        }));
    listWorker(store, "w-" + std::to_string(n), "desk", workers[n]->address(),
               1'000 + n);
  }
  Node node("edge-1", store.address());
  if (!node.start()) {
    std::puts("the node didn't start");
    return NotRun;
  }
  sleepMs(InTouchMs);
  std::atomic<int> sent = 0;
  std::atomic<int> unanswered = 0;
  std::atomic<int> late = 0;
  std::atomic<int64_t> longest = 0;
  const int64_t until = nowMs() + DurationMs;
  std::vector<std::thread> callers;
  for (int c = 0; c < Callers; ++c)
    callers.emplace_back([&, c] {
      Caller caller(node.calls());
      for (int k = 0; nowMs() < until; ++k) {
        const std::string id =
            "r-" + std::to_string(c) + "-" + std::to_string(k);
        const int64_t sentAt = nowMs();
        const Answer answer = caller.call(
            requestText("POST", "/write/x", id, TimeLimitMs, "x"), TimeLimitMs);
        const int64_t took = nowMs() - sentAt;
        ++sent;
        unanswered += took >= TimeoutMs ? 1 : 0;
        late += took >= LateMs ? 1 : 0;
        if (took > longest)
          longest = took;
        if (took >= TimeoutMs)
          record.line("caller " + std::to_string(c) + " got " +
                      std::to_string(answer.Status) + " for " + id + " after " +
                      std::to_string(took) + " ms");
        sleepMs(PauseMs);
      }
    });
  for (std::thread &it : callers)
    it.join();
  node.signal(15);
  node.waitExit(15'000);
  const std::string summary =
      "requests " + std::to_string(sent.load()) + ", long heads " +
      std::to_string(odd.load()) + ", unanswered at timeout_ms " +
      std::to_string(unanswered.load()) + ", of these half a second later " +
      std::to_string(late.load()) + ", longest wait " +
      std::to_string(longest.load()) + " ms";
  record.line(summary);
  std::puts(summary.c_str());
  if (sent < 100 || (isTroubled && odd == 0))
    return NotRun;
  return unanswered >= MinUnanswered && 2 * late > unanswered ? Broken : Held;
}

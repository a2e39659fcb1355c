/// A worker spoils the status line of an answer; see review/10/claim.txt.
#include "review/standins-2/stage.h"

#include <cstdio>
#include <thread>

using namespace review;

namespace {

constexpr int Workers = 3;
constexpr int Callers = 4;
constexpr int DurationMs = 15'000;
constexpr int PauseMs = 20;
constexpr int TimeLimitMs = 1'000;
/// The faulty worker spoils one of this many answers.
constexpr int SpoiledEvery = 40;
/// Status codes of the protocol have three digits, the first from 1 to 5.
constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return NotRun;
  Record record(argv[1]);
  StoreServer store;
  writeConfig(store, 1, TimeLimitMs);
  const bool isTroubled = hasTrouble();
  std::atomic<int> answers = 0;
  std::atomic<int> spoiled = 0;
  std::vector<std::unique_ptr<RawServer>> workers;
  for (int n = 0; n < Workers; ++n) {
    workers.push_back(std::make_unique<RawServer>(
        [&, n](const RawRequest &request, const RawConnection &out) {
          const bool isSpoiled =
              isTroubled && n == 0 && ++answers % SpoiledEvery == 0;
          spoiled += isSpoiled ? 1 : 0;
          record.line("worker " + std::to_string(n) + " runs " +
                      attemptId(request) +
                      (isSpoiled ? ", spoils its status line" : ""));
          std::string head = answerHead(request, 200, "Content-Length: 5\r\n");
          if (isSpoiled)
            head.replace(head.find("200"), 3, "000");
          out.write(head + "order");
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
  std::atomic<int> sent = 0;
  std::atomic<int> odd = 0;
  const int64_t until = nowMs() + DurationMs;
  std::vector<std::thread> callers;
  for (int c = 0; c < Callers; ++c)
    callers.emplace_back([&, c] {
      Caller caller(node.calls());
      for (int k = 0; nowMs() < until; ++k) {
        const std::string id =
            "o-" + std::to_string(c) + "-" + std::to_string(k);
        const Answer answer = caller.call(
            requestText("POST", "/write/x", id, TimeLimitMs, "order " + id),
            TimeLimitMs + 500);
        ++sent;
        const bool isOdd = !answer.Head.empty() && (answer.Status < MinStatus ||
                                                    answer.Status > MaxStatus);
        odd += isOdd ? 1 : 0;
        record.line("caller " + std::to_string(c) + " gets \"" +
                    answer.Head.substr(0, answer.Head.find('\r')) + "\" for " +
                    id + (isOdd ? ": NO ANSWER IN THE PROTOCOL" : ""));
        sleepMs(PauseMs);
      }
    });
  for (std::thread &it : callers)
    it.join();
  node.signal(15);
  node.waitExit(9'000);
  const std::string summary =
      "requests " + std::to_string(sent.load()) + ", spoiled status lines " +
      std::to_string(spoiled.load()) + ", of these passed on to callers " +
      std::to_string(odd.load());
  record.line(summary);
  std::puts(summary.c_str());
  if (sent < 100 || (isTroubled && spoiled == 0))
    return NotRun;
  return odd > 0 ? Broken : Held;
}

/// A worker sends bytes after a complete answer, at the point where the next
/// answer is expected; see review/7/claim.txt.
#include "review/standins-2/stage.h"

#include <cstdio>
#include <map>
#include <thread>

using namespace review;

namespace {

constexpr int Workers = 3;
constexpr int Callers = 4;
constexpr int DurationMs = 25'000;
constexpr int PauseMs = 20;
constexpr int TimeLimitMs = 1'000;
/// The faulty worker sends additional bytes after one of this many answers.
constexpr int ExtraEvery = 40;

struct Run {
  int Status = 0;
  int Worker = 0;
};

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return NotRun;
  Record record(argv[1]);
  StoreServer store;
  writeConfig(store, 1, TimeLimitMs);
  std::mutex guard;
  std::map<std::string, Run> runs;
  std::atomic<int> extras = 0;
  std::atomic<int> answers = 0;
  const bool isTroubled = hasTrouble();
  std::vector<std::unique_ptr<RawServer>> workers;
  // Channels of the faulty worker on which bytes are still to be sent.
  std::map<const RawConnection *, bool> owed;
  for (int n = 0; n < Workers; ++n) {
    workers.push_back(std::make_unique<RawServer>(
        [&, n](const RawRequest &request, const RawConnection &out) {
          const std::string id = attemptId(request);
          bool isExtraDue = false;
          bool owesNext = false;
          {
            const std::lock_guard lock(guard);
            runs[id] = {200, n};
            if (n == 0) {
              isExtraDue = std::exchange(owed[&out], false);
              owesNext = isTroubled && ++answers % ExtraEvery == 0;
              owed[&out] = owesNext;
            }
          }
          if (isExtraDue) {
            // Belongs to no request: it follows the answer before this one.
            out.write("HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\n"
                      "Content-Length: 12\r\n\r\nbad request\n");
            ++extras;
            record.line("worker 0 sends additional bytes after the answer "
                        "before that to " +
                        id);
          }
          record.line("worker " + std::to_string(n) + " runs " + id);
          sleepMs(10);
          out.write(answerHead(request, 200, "Content-Length: 5\r\n") +
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
  std::atomic<int> sent = 0;
  std::atomic<int> foreign = 0;
  std::atomic<int> failed = 0;
  const int64_t until = nowMs() + DurationMs;
  std::vector<std::thread> callers;
  for (int c = 0; c < Callers; ++c)
    callers.emplace_back([&, c] {
      Caller caller(node.calls());
      for (int k = 0; nowMs() < until; ++k) {
        const std::string id =
            "o-" + std::to_string(c) + "-" + std::to_string(k);
        record.line("caller " + std::to_string(c) + " sends " + id);
        const Answer answer = caller.call(
            requestText("POST", "/write/x", id, TimeLimitMs, "order " + id),
            TimeLimitMs + 500);
        ++sent;
        int run = 0;
        {
          const std::lock_guard lock(guard);
          const auto found = runs.find(id);
          run = found == runs.end() ? 0 : found->second.Status;
        }
        // A status that the worker didn't give, and that this node wouldn't
        // give of its own to a proper request.
        const bool isForeign = answer.Status != 0 && answer.Status != run &&
                               answer.Status / 100 == 4;
        foreign += isForeign ? 1 : 0;
        failed += answer.Status != 200 ? 1 : 0;
        record.line("caller " + std::to_string(c) + " gets " +
                    std::to_string(answer.Status) + " for " + id +
                    ", run with " + std::to_string(run) +
                    (isForeign ? ": FOREIGN, body: " + answer.Body : ""));
        sleepMs(PauseMs);
      }
    });
  for (std::thread &it : callers)
    it.join();
  node.signal(15);
  node.waitExit(9'000);
  const std::string summary =
      "requests " + std::to_string(sent.load()) + ", additional bytes " +
      std::to_string(extras.load()) + ", not answered with 200 " +
      std::to_string(failed.load()) + ", answers that belong to no request " +
      std::to_string(foreign.load());
  record.line(summary);
  std::puts(summary.c_str());
  if (sent < 100 || (isTroubled && extras == 0))
    return NotRun;
  return foreign > 0 ? Broken : Held;
}

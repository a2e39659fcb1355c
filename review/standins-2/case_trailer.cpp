/// A worker ends an answer in chunks with a long trailer line; see
/// review/6/claim.txt.
#include "review/standins-2/stage.h"

#include <cstdio>
#include <set>
#include <thread>

using namespace review;

namespace {

constexpr int Nodes = 2;
constexpr int CallersPerNode = 6;
constexpr int TimeLimitMs = 1'000;
constexpr int SoundWorkMs = 300;
/// "more than three times"
constexpr int MaxLost = 3;
/// From the start of a process until its machine is in touch: the
/// stable_window_ms of the small sites and a little more.
constexpr int InTouchMs = 3'500;
/// Plays of the disruption at each node.
constexpr int Plays = 3;
constexpr size_t TrailerBytes = 70'000;
/// Questions before each odd answer, so that it is one of 40 answers of the
/// service, within the 0.05 of the site files.
constexpr int QuestionsBefore = 39;

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return NotRun;
  Record record(argv[1]);
  StoreServer store;
  writeConfig(store, 1, TimeLimitMs);
  const bool isTroubled = hasTrouble();
  std::atomic<int> ran = 0;
  std::mutex guard;
  std::set<std::string> ranIds;
  // Sound workers take some time for each order.
  RawServer sound([&](const RawRequest &request, const RawConnection &out) {
    record.line("sound worker runs " + attemptId(request));
    {
      const std::lock_guard lock(guard);
      ranIds.insert(attemptId(request));
    }
    ++ran;
    sleepMs(SoundWorkMs);
    out.write(answerHead(request, 200, "Content-Length: 5\r\n") + "order");
    return true;
  });
  std::atomic<int> odd = 0;
  std::atomic<bool> isOddDue = false;
  const auto answerQuestion = [&](const RawRequest &request,
                                  const RawConnection &out, bool mayBeOdd) {
    const bool isOdd = mayBeOdd && isOddDue.exchange(false);
    record.line(std::string(mayBeOdd ? "faulty" : "other") +
                " model worker answers " + attemptId(request) +
                (isOdd ? " with a trailer line" : ""));
    const std::string trailer =
        isOdd ? "X-Note: " + std::string(TrailerBytes, 'a') + "\r\n" : "";
    odd += isOdd ? 1 : 0;
    out.write(answerHead(request, 200,
                         "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n") +
              "10\r\nid: 1\ndata: ab\n\n\r\n0\r\n" + trailer + "\r\n");
    return true;
  };
  RawServer faulty([&](const RawRequest &request, const RawConnection &out) {
    return answerQuestion(request, out, true);
  });
  RawServer other([&](const RawRequest &request, const RawConnection &out) {
    return answerQuestion(request, out, false);
  });
  listWorker(store, "w-1", "desk", sound.address(), 1'001);
  listWorker(store, "w-2", "llm", faulty.address(), 1'002);
  listWorker(store, "w-3", "llm", other.address(), 1'003);
  int lost = 0;
  int ends = 0;
  int answered = 0;
  for (int n = 0; n < Nodes; ++n) {
    int endsHere = 0;
    Node node("edge-" + std::to_string(n), store.address());
    for (int play = 0; play < Plays; ++play) {
      // The platform starts a process again that has ended.
      if (!(play > 0 && !node.waitExit(0)) && !node.start()) {
        std::puts("the node didn't start");
        return NotRun;
      }
      sleepMs(InTouchMs);
      const auto ask = [&](const std::string &id) {
        Caller asker(node.calls());
        const Answer answer = asker.call(
            requestText("POST", "/ask/x", id, TimeLimitMs, "question"),
            TimeLimitMs + 500);
        record.line("caller gets " + std::to_string(answer.Status) + " for " +
                    id + (answer.IsComplete ? "" : ", not complete"));
      };
      for (int k = 0; k < QuestionsBefore; ++k)
        ask("q-" + std::to_string(n) + "-" + std::to_string(play) + "-" +
            std::to_string(k));
      std::atomic<int> lostHere = 0;
      std::atomic<int> answeredHere = 0;
      std::vector<std::thread> callers;
      for (int c = 0; c < CallersPerNode; ++c)
        callers.emplace_back([&, c] {
          Caller caller(node.calls());
          // Two orders on one channel; the second is under way when the
          // model worker answers.
          for (int k = 0; k < 2; ++k) {
            const std::string id = "o-" + std::to_string(n) + "-" +
                                   std::to_string(play) + "-" +
                                   std::to_string(c) + "-" + std::to_string(k);
            const int64_t sentAt = nowMs();
            const Answer answer = caller.call(
                requestText("POST", "/write/x", id, TimeLimitMs, "order " + id),
                TimeLimitMs + 500);
            bool isPassedOn = false;
            {
              const std::lock_guard lock(guard);
              isPassedOn = ranIds.count(id) > 0;
            }
            // The first order of a channel makes it a kept one.
            const bool isClosed =
                !answer.IsComplete && nowMs() - sentAt < TimeLimitMs;
            const bool isLost = k > 0 && isPassedOn && isClosed;
            record.line("caller gets " + std::to_string(answer.Status) +
                        " for " + id +
                        (answer.IsComplete ? "" : ", not complete") +
                        (isLost ? ": LOST" : ""));
            answeredHere += answer.IsComplete ? 1 : 0;
            lostHere += isLost ? 1 : 0;
          }
        });
      sleepMs(SoundWorkMs + SoundWorkMs / 2);
      isOddDue = isTroubled;
      for (int k = 0; k < 20 && (k == 0 || isOddDue); ++k)
        ask("q-" + std::to_string(n) + "-" + std::to_string(play) + "-odd-" +
            std::to_string(k));
      for (std::thread &it : callers)
        it.join();
      lost += lostHere;
      answered += answeredHere;
      if (node.waitExit(500)) {
        ++endsHere;
        record.line("edge-" + std::to_string(n) + " has ended by itself");
      }
    }
    ends += endsHere;
    node.signal(15);
    node.waitExit(9'000);
  }
  const std::string summary =
      "orders answered " + std::to_string(answered) +
      ", orders passed on from a kept channel and closed without an answer " +
      std::to_string(lost) + ", ends of processes " + std::to_string(ends) +
      " at " + std::to_string(Nodes) + " machines";
  record.line(summary);
  std::puts(summary.c_str());
  if (ran == 0 || (isTroubled && odd == 0))
    return NotRun;
  return lost > MaxLost ? Broken : Held;
}

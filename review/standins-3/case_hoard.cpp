// One caller holds idle connections; ordinary callers no longer get answers.
// See claim.txt.
#include "review/standins-3/stage.h"

#include <algorithm>
#include <fmt/format.h>
#include <sys/resource.h>

using namespace review;

namespace {

constexpr int64_t WorkMs = 30;
/// Fewer than the sockets that a process may have on the smallest machine of a
/// small installation: 4,100 descriptors, of which 200 are for files.
constexpr size_t HeldConnections = 2'200;
constexpr int64_t HoldMs = 10'000;
constexpr int64_t StableWindowMs = 3'000;
constexpr int MinTriers = 7;

/// Keeps its connections open, idle, and opens each again that the node closes.
void hoard(const Node &node, const std::atomic<bool> &isEnding) {
  std::vector<std::unique_ptr<Connection>> held(HeldConnections);
  while (!isEnding) {
    for (auto &it : held) {
      if (isEnding)
        break;
      // Nothing is ever sent to it unasked, so bytes or an end mean a close.
      if (it == nullptr || it->awaitBytes(0))
        it = Connection::open(node.front());
    }
    sleepMs(50);
  }
}

} // namespace

int main() {
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  if (files.rlim_cur < HeldConnections + 500)
    cannotRun("too few file descriptors");
  Store store;
  Worker worker("i-1", "desk", WorkMs);
  store.put("op", "config", manifest(7, "idempotent", "desk", 3'000, 1));
  store.put("servers", worker.id(), worker.entry("ready"));
  Node node("edge-1", nextLoopbackIp(), store.address());
  node.start();
  node.awaitReady();
  sleepMs(1'000);
  Consumers::Request request;
  request.Method = "GET";
  request.Target = "/desk/status";
  request.Host = "desk.example";
  request.Key = "k1clinic";

  std::atomic<bool> isEnding = false;
  std::thread hoarder;
  if (isTroubled())
    hoarder = std::thread([&] { hoard(node, isEnding); });
  sleepMs(3'000);
  record("ordinary callers begin");
  Consumers ordinary;
  ordinary.press(node, request, 100);
  bool isReady = true;
  for (const int64_t until = nowMs() + HoldMs; nowMs() < until;) {
    isReady = node.isReady() && isReady;
    sleepMs(500);
  }
  ordinary.stop();
  isEnding = true;
  if (hoarder.joinable())
    hoarder.join();

  std::vector<Outcome> outcomes = ordinary.outcomes();
  std::sort(outcomes.begin(), outcomes.end(),
            [](const Outcome &one, const Outcome &other) {
              return one.SentAt < other.SentAt;
            });
  // The longest time without an answer, and how many asked in it.
  int64_t longest = 0;
  int triers = 0;
  for (size_t n = 0; n < outcomes.size();) {
    size_t end = n;
    while (end < outcomes.size() && outcomes[end].Status == 0)
      ++end;
    if (end > n && outcomes[end - 1].EndedAt - outcomes[n].SentAt > longest) {
      longest = outcomes[end - 1].EndedAt - outcomes[n].SentAt;
      triers = static_cast<int>(end - n);
    }
    n = end + 1;
  }
  int served = 0;
  int refused = 0;
  int unanswered = 0;
  for (const Outcome &it : outcomes) {
    served += it.Status / 100 == 2 ? 1 : 0;
    refused += it.Status == 503 ? 1 : 0;
    unanswered += it.Status == 0 ? 1 : 0;
  }
  const int all = static_cast<int>(outcomes.size());
  if (!node.isRunning())
    finish(true, "the node has ended");
  finish(
      isReady && longest > StableWindowMs && triers >= MinTriers,
      fmt::format("of {} requests of ordinary callers, {} were served, {} "
                  "refused with 503 and {} got no answer; for {} ms, {} of "
                  "them in turn got none; the node was {}ready all the while",
                  all, served, refused, unanswered, longest, triers,
                  isReady ? "" : "not "));
}

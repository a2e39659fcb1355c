// A node that was frozen misses that a worker has left, because a node that
// was restarted meanwhile tells it that it lacks nothing. See claim.txt.
#include "review/standins-3/stage.h"

#include <csignal>
#include <fmt/format.h>

using namespace review;

namespace {

constexpr int64_t DrainMs = 2'000;
constexpr int64_t StableWindowMs = 3'000;
constexpr int64_t FreezeMs = 4'000;
constexpr int64_t WorkMs = 300;

} // namespace

int main() {
  Store store;
  Worker leaver("i-leaver", "desk", WorkMs);
  // One of four leaves, the site's largest share of scale_in (0.25).
  Worker stayer("i-stayer-1", "desk", WorkMs);
  Worker second("i-stayer-2", "desk", WorkMs);
  Worker third("i-stayer-3", "desk", WorkMs);
  store.put("op", "config", manifest(7, "non_idempotent", "desk", 3'000, 1));
  for (const Worker *it : {&leaver, &stayer, &second, &third})
    store.put("servers", it->id(), it->entry("ready"));
  Node steady("edge-1", nextLoopbackIp(), store.address());
  Node rolled("edge-2", nextLoopbackIp(), store.address());
  steady.start();
  rolled.start();
  steady.awaitReady();
  rolled.awaitReady();
  // Until the nodes have found each other.
  sleepMs(4'000);

  Consumers::Request request;
  request.Target = "/desk/order";
  request.Host = "desk.example";
  request.Key = "k1clinic";
  request.Body = "one order";
  Consumers before;
  before.press(steady, request, 100);
  sleepMs(1'500);
  before.stop();

  // Planned work: the other node is restarted.
  rolled.signal(SIGTERM);
  const int64_t termAt = nowMs();
  sleepUntil(termAt + 1'000);
  const int64_t frozenAt = nowMs();
  if (isTroubled())
    steady.signal(SIGSTOP);
  if (!rolled.awaitEnd(8'000))
    cannotRun("the node that got SIGTERM doesn't end");
  // The store has answered the frozen node's long poll by now.
  sleepUntil(std::max(frozenAt + 1'800, nowMs() + 100));
  // Planned work: a worker that never reports `draining` leaves.
  store.remove("servers", leaver.id());
  const int64_t confirmedAt = nowMs();
  record("the store confirms that worker i-leaver is gone");
  sleepMs(400);
  rolled.start();
  rolled.awaitReady();
  sleepUntil(frozenAt + FreezeMs);
  if (isTroubled())
    steady.signal(SIGCONT);
  const int64_t inTouchAt = frozenAt + FreezeMs + StableWindowMs;
  sleepUntil(inTouchAt + 200);

  // The steady node is in touch again; the worker serves on for many seconds.
  Consumers after;
  const int64_t from = nowMs();
  after.press(steady, request, 50);
  sleepMs(3'000);
  leaver.exit();
  sleepMs(700);
  after.stop();

  int late = 0;
  std::map<std::string, Outcome> outcomes;
  for (const Outcome &it : after.outcomes())
    outcomes[it.AttemptId] = it;
  int lost = 0;
  for (const Worker::Arrival &it : leaver.arrivals()) {
    if (it.At < from || it.At < confirmedAt + DrainMs)
      continue;
    ++late;
    const auto found = outcomes.find(it.AttemptId);
    if (!it.IsAnswered && found != outcomes.end() &&
        found->second.Status / 100 != 2)
      ++lost;
  }
  finish(late > 0,
         fmt::format("{} requests reached worker i-leaver from a machine in "
                     "touch more than {} ms after the store had confirmed that "
                     "it was gone, the last ones {} ms after; {} of them were "
                     "lost with it",
                     late, DrainMs,
                     late > 0 ? leaver.arrivals().back().At - confirmedAt : 0,
                     lost));
}

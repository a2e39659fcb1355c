// The nodes that watch the store for their cell are killed, and a worker leaves
// before they are back. The other nodes, which nothing has happened to, keep
// the worker. See claim.txt.
#include "review/standins-3/stage.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>

using namespace review;

namespace {

constexpr size_t NodeCount = 9;
/// Share 0.55 of them.
constexpr size_t KilledCount = 5;
constexpr int64_t DownMs = 300;
constexpr int64_t DrainMs = 2'000;
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
  std::vector<std::unique_ptr<Node>> nodes;
  for (size_t n = 0; n < NodeCount; ++n) {
    const size_t door = store.openDoor();
    nodes.push_back(std::make_unique<Node>(fmt::format("edge-{}", n + 1),
                                           nextLoopbackIp(),
                                           store.doorAddress(door)));
    nodes.back()->start();
  }
  for (const auto &it : nodes)
    it->awaitReady();
  // Until the nodes have found each other and share the watches.
  std::vector<size_t> watchers;
  for (const int64_t until = nowMs() + 30'000; nowMs() < until;) {
    sleepMs(500);
    watchers = store.watchingDoors("servers", 2'500);
    if (nowMs() > 12'000 && watchers.size() <= 3)
      break;
  }
  record(fmt::format("{} nodes watch the table `servers`", watchers.size()));
  if (watchers.empty() || watchers.size() > KilledCount)
    cannotRun("the nodes don't share their watches");
  std::vector<size_t> killed = watchers;
  for (size_t n = 0; killed.size() < KilledCount; ++n)
    if (std::find(killed.begin(), killed.end(), n) == killed.end())
      killed.push_back(n);

  Consumers::Request request;
  request.Target = "/desk/order";
  request.Host = "desk.example";
  request.Key = "k1clinic";
  request.Body = "one order";
  Consumers consumers;
  for (size_t n = 0; n < NodeCount; ++n)
    if (std::find(killed.begin(), killed.end(), n) == killed.end())
      consumers.press(*nodes[n], request, 100);
  sleepMs(2'000);

  if (isTroubled())
    for (const size_t n : killed)
      nodes[n]->signal(SIGKILL);
  sleepMs(50);
  // Planned work: a worker that never reports `draining` leaves.
  store.remove("servers", leaver.id());
  const int64_t confirmedAt = nowMs();
  record("the store confirms that worker i-leaver is gone");
  if (isTroubled()) {
    for (const size_t n : killed)
      if (!nodes[n]->awaitEnd(2'000))
        cannotRun("a killed node doesn't end");
    sleepUntil(confirmedAt - 50 + DownMs);
    for (const size_t n : killed)
      nodes[n]->start();
  }
  sleepUntil(confirmedAt + DrainMs + 4'000);
  const int64_t exitAt = nowMs();
  leaver.exit();
  sleepMs(1'000);
  consumers.stop();

  std::map<std::string, Outcome> outcomes;
  for (const Outcome &it : consumers.outcomes())
    outcomes[it.AttemptId] = it;
  int late = 0;
  int lost = 0;
  std::set<std::string> from;
  for (const Worker::Arrival &it : leaver.arrivals()) {
    if (it.At < confirmedAt + DrainMs || it.At > exitAt)
      continue;
    ++late;
    const Outcome &outcome = outcomes[it.AttemptId];
    from.insert(outcome.Node);
    if (!it.IsAnswered && outcome.Status / 100 != 2)
      ++lost;
  }
  finish(late > 0,
         fmt::format("{} requests reached worker i-leaver from {} nodes that "
                     "nothing had happened to, more than {} ms after the store "
                     "had confirmed that it was gone; {} of them were lost "
                     "with it",
                     late, from.size(), DrainMs, lost));
}

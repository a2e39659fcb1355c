// Two workers report in one transaction of the store that they are draining.
// The node takes only the first of the two rows. See claim.txt.
#include "review/standins-3/stage.h"

#include <fmt/format.h>

using namespace review;

namespace {

constexpr int64_t DrainMs = 2'000;
constexpr int64_t WorkMs = 300;

} // namespace

int main() {
  Store store;
  Worker first("i-1", "desk", WorkMs);
  Worker second("i-2", "desk", WorkMs);
  // Two of eight leave, the site's largest share of scale_in (0.25).
  std::list<Worker> stayers;
  for (int n = 3; n <= 8; ++n)
    stayers.emplace_back(fmt::format("i-{}", n), "desk", WorkMs);
  store.put("op", "config", manifest(7, "non_idempotent", "desk", 3'000, 1));
  for (const Worker *it : {&first, &second})
    store.put("servers", it->id(), it->entry("ready"));
  for (const Worker &it : stayers)
    store.put("servers", it.id(), it.entry("ready"));
  Node one("edge-1", nextLoopbackIp(), store.address());
  Node other("edge-2", nextLoopbackIp(), store.address());
  one.start();
  other.start();
  one.awaitReady();
  other.awaitReady();
  sleepMs(4'000);
  Consumers::Request request;
  request.Target = "/desk/order";
  request.Host = "desk.example";
  request.Key = "k1clinic";
  request.Body = "one order";
  Consumers consumers;
  consumers.press(one, request, 40);
  consumers.press(other, request, 40);
  sleepMs(2'000);

  // Planned work: two workers are emptied and taken away.
  const Store::Change firstLeaves{"servers", first.id(),
                                  first.entry("draining").dump(), false};
  const Store::Change secondLeaves{"servers", second.id(),
                                   second.entry("draining").dump(), false};
  if (isTroubled()) {
    store.commit({firstLeaves, secondLeaves});
  } else {
    store.commit({firstLeaves});
    store.commit({secondLeaves});
  }
  const int64_t confirmedAt = nowMs();
  record("the store confirms that i-1 and i-2 are draining");
  // They serve for drain_ms and some seconds more.
  sleepMs(DrainMs + 2'500);
  const int64_t exitAt = nowMs();
  first.exit();
  second.exit();
  sleepMs(1'000);
  consumers.stop();

  std::map<std::string, Outcome> outcomes;
  for (const Outcome &it : consumers.outcomes())
    outcomes[it.AttemptId] = it;
  int late = 0;
  int lost = 0;
  for (const Worker *worker : {&first, &second})
    for (const Worker::Arrival &it : worker->arrivals()) {
      if (it.At < confirmedAt + DrainMs || it.At > exitAt)
        continue;
      ++late;
      const auto found = outcomes.find(it.AttemptId);
      if (!it.IsAnswered && found != outcomes.end() &&
          found->second.Status / 100 != 2)
        ++lost;
    }
  finish(late > 0, fmt::format("{} requests reached a worker more than {} ms "
                               "after the store had confirmed that it was "
                               "draining; {} of them were lost with it",
                               late, DrainMs, lost));
}

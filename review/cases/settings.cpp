// The settings files of all machines change: one of the bounds is a fraction
// now. Later all processes are killed, and the platform starts them again.
// Compares how many requests are served before that and later than recover_s
// after it.
#include "../standins/manifest.h"

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

constexpr int64_t RecoverMs = 12'000;
/// Delay with which the platform starts a process again that has ended.
constexpr int64_t RestartMs = 1000;

/// Requests in one part of the run.
struct Count {
  std::atomic<int> Sent = 0;
  std::atomic<int> Served = 0;

  double share() const { return Sent == 0 ? 0 : 1.0 * Served / Sent; }
  std::string text() const {
    return std::to_string(Served) + " of " + std::to_string(Sent);
  }
};

std::atomic<Count *> Current = nullptr;

void callOnce(const std::string &front) {
  Call call;
  call.Target = "/status/2f";
  const std::string id = newId();
  Count *const count = Current;
  const Message answer = send(front, call, id);
  Record::write(
      "consumer: " + id + " -> " +
      (answer.Status == 0 ? "no answer" : std::to_string(answer.Status)));
  if (count == nullptr)
    return;
  ++count->Sent;
  count->Served += answer.Status == 200 && answer.Complete;
}

} // namespace

int main() {
  Record::open("record.txt");
  Store store;
  const std::string dir = makeFolder();
  store.put("op", "config",
            manifest(1,
                     {route("status", "/status/", "idempotent", "desk", 1000)},
                     {plainService("desk")})
                .dump());
  std::list<Worker> workers;
  for (const char *id : {"d-1", "d-2", "d-3"}) {
    WorkerSettings settings;
    settings.Id = id;
    settings.Service = "desk";
    workers.emplace_back(store, settings);
  }
  std::list<Node> nodes;
  for (const char *name : {"edge-1", "edge-2", "edge-3"}) {
    nodes.emplace_back(store, dir, NodeSettings{name});
    nodes.back().start();
  }
  for (const Node &it : nodes)
    if (!it.waitReady(20'000)) {
      std::printf("a node isn't ready\n");
      return 2;
    }
  sleepMs(3000);

  Count before;
  Count after;
  Current = &before;
  std::atomic<bool> stopping = false;
  std::list<std::thread> consumers;
  for (const Node &node : nodes)
    for (int n = 0; n < 2; ++n)
      consumers.emplace_back([&, n] {
        sleepMs(n * 31);
        while (!stopping) {
          callOnce(node.front());
          sleepMs(60);
        }
      });
  sleepMs(4000);
  // WHOLE=1 fills in a whole number, which shows that the rest breaks nothing.
  const char *const whole = std::getenv("WHOLE");
  const bool isWhole = whole != nullptr && std::string(whole) == "1";
  int starts = 0;
  if (hasTrouble()) {
    for (Node &it : nodes) {
      it.changeSettings("bounds.budget_slack", isWhole ? "103" : "102.5");
      sleepMs(500);
    }
    sleepMs(4000);
    Current = nullptr;
    Record::write("final fault: all processes of the system are killed");
    for (Node &it : nodes)
      it.end(SIGKILL);
    sleepMs(RestartMs);
    for (Node &it : nodes)
      it.start();
  }
  Current = nullptr;
  // The platform starts a process that has ended again.
  const int64_t backAt = nowMs();
  const auto keepRunning = [&](int64_t until) {
    while (nowMs() < until) {
      sleepMs(RestartMs);
      for (Node &it : nodes)
        if (it.hasEnded()) {
          ++starts;
          Record::write("the process of " + it.name() + " has ended by itself");
          it.start();
        }
    }
  };
  keepRunning(backAt + RecoverMs);
  Current = &after;
  keepRunning(backAt + RecoverMs + 6000);
  Current = nullptr;
  stopping = true;
  for (std::thread &it : consumers)
    it.join();
  nodes.clear();
  if (before.share() < 0.25) {
    std::printf("too little is served before the final fault\n");
    return 2;
  }
  return finish(after.share() < 0.25,
                "served before the final fault " + before.text() +
                    ", later than recover_s after it " + after.text() +
                    "; processes ended by themselves " +
                    std::to_string(starts) + " times");
}

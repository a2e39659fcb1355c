// The model workers are replaced one after the other by ones with new weights,
// in two releases,
// while one consumer still asks for the old version; then all processes of the
// system are killed and start again. Compares how many requests are served
// before the final fault and later than recover_s after it.
#include "../standins/manifest.h"

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

/// As on the site, most requests are for the model workers.
constexpr int RequestsPerStatus = 6;
constexpr int64_t RecoverMs = 12'000;

json theManifest() {
  return manifest(1,
                  {route("status", "/status/", "idempotent", "desk", 1000),
                   route("forms", "/forms/", "streaming", "pool", 10000)},
                  {plainService("desk"), engineService("pool")});
}

Call question() {
  Call call;
  call.Method = "POST";
  call.Target = "/forms/2f";
  call.DeadlineMs = 10'000;
  call.Body = "question " + newId();
  call.Headers = {
      "X-Orioletally-Model: m", "X-Orioletally-Token-Counts: 5000,300",
      "X-Orioletally-Prompt-Prefix: 5c1e07a2:40," + newId() + ":4960"};
  return call;
}

std::unique_ptr<Worker> modelWorker(Store &store, const std::string &id,
                                    int version) {
  WorkerSettings settings;
  settings.Id = id;
  settings.Service = "pool";
  settings.Slots = 16;
  settings.Events = 5;
  settings.EventGapMs = 20;
  settings.WeightVersion = version;
  return std::make_unique<Worker>(store, settings);
}

/// Requests in one part of the run.
struct Count {
  std::atomic<int> Sent = 0;
  std::atomic<int> Served = 0;

  double share() const { return Sent == 0 ? 0 : 1.0 * Served / Sent; }
};

std::atomic<Count *> Current = nullptr;

void callOnce(const std::string &front, const Call &call,
              const std::string &what) {
  const std::string id = newId();
  Count *const count = Current;
  const Message answer = send(front, call, id);
  Record::write("consumer: " + what + " " + id + " -> " +
                std::to_string(answer.Status));
  if (count == nullptr)
    return;
  ++count->Sent;
  count->Served += answer.Status == 200 && answer.Complete;
}

bool waitReady(const std::list<Node> &nodes) {
  for (const Node &it : nodes)
    if (!it.waitReady(20'000))
      return false;
  return true;
}

} // namespace

int main() {
  Record::open("record.txt");
  Store store;
  const std::string dir = makeFolder();
  store.put("op", "config", theManifest().dump());
  std::list<std::unique_ptr<Worker>> desks;
  for (const char *id : {"d-1", "d-2", "d-3"}) {
    WorkerSettings settings;
    settings.Id = id;
    settings.Service = "desk";
    desks.push_back(std::make_unique<Worker>(store, settings));
  }
  std::list<std::unique_ptr<Worker>> models;
  for (int n = 1; n <= 6; ++n)
    models.push_back(modelWorker(store, "m-" + std::to_string(n), 1));
  std::list<Node> nodes;
  for (const char *name : {"edge-1", "edge-2"}) {
    nodes.emplace_back(store, dir, NodeSettings{name});
    nodes.back().start();
  }
  if (!waitReady(nodes)) {
    std::printf("a node isn't ready\n");
    return 2;
  }
  sleepMs(4000);
  Count before;
  Count after;
  Current = &before;
  std::atomic<bool> stopping = false;
  std::list<std::thread> consumers;
  for (const Node &node : nodes)
    for (int n = 0; n < 4; ++n)
      consumers.emplace_back([&, n] {
        sleepMs(n * 23);
        for (int count = n; !stopping; ++count) {
          Call status;
          status.Target = "/status/2f";
          const bool isStatus = count % RequestsPerStatus == 0;
          callOnce(node.front(), isStatus ? status : question(),
                   isStatus ? "status" : "forms");
          sleepMs(50);
        }
      });
  // One consumer asks for the weights that it began with. With PINNED=0 it
  // doesn't, which shows that the rest alone breaks nothing.
  const char *const pinnedText = std::getenv("PINNED");
  const bool hasPinned =
      pinnedText == nullptr || std::string(pinnedText) != "0";
  consumers.emplace_back([&] {
    while (!stopping && hasPinned) {
      Call pinned = question();
      pinned.Headers.push_back("X-Orioletally-Expect-Version: 1");
      callOnce(nodes.front().front(), pinned, "forms with weights 1");
      sleepMs(700);
    }
  });
  sleepMs(6000);
  std::list<std::unique_ptr<Worker>> fresh;
  if (hasTrouble()) {
    int n = 0;
    for (const auto &it : models) {
      // Two releases, each of half of the workers.
      if (n * 2 == static_cast<int>(models.size()))
        sleepMs(2000);
      fresh.push_back(modelWorker(store, "n-" + std::to_string(++n), 2));
      sleepMs(300);
      it->drain();
      sleepMs(700);
    }
    sleepMs(2500);
    for (const auto &it : models)
      it->leave();
    Record::write("all model workers have weights 2");
    sleepMs(1000);
  } else {
    sleepMs(11'500);
  }
  Current = nullptr;
  if (hasTrouble()) {
    Record::write("final fault: all processes of the system are killed");
    for (Node &it : nodes)
      it.end(SIGKILL);
    sleepMs(1000);
    for (Node &it : nodes)
      it.start();
    if (!waitReady(nodes)) {
      std::printf("a node isn't ready after the final fault\n");
      return 2;
    }
    Record::write("the machines are back");
  }
  sleepMs(RecoverMs);
  Current = &after;
  sleepMs(8000);
  Current = nullptr;
  stopping = true;
  for (std::thread &it : consumers)
    it.join();
  nodes.clear();
  const auto text = [](const Count &it) {
    return std::to_string(it.Served) + " of " + std::to_string(it.Sent);
  };
  if (before.share() < 0.25) {
    std::printf("too little is served before the final fault\n");
    return 2;
  }
  return finish(after.share() < 0.25,
                "served before the final fault " + text(before) +
                    ", later than recover_s after it " + text(after));
}

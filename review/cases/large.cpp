// One of three model workers is lost for good. Counts the proper long prompts
// that are then ended with a 4xx of the node's own.
#include "../standins/manifest.h"

using namespace review;

namespace {

constexpr int64_t TokensOfPrompt = 1'000'000;
constexpr int LongPrompts = 20;
constexpr int ShortPrompts = 60;

Call prompt(int64_t tokens) {
  Call call;
  call.Method = "POST";
  call.Target = "/registers/2f";
  call.DeadlineMs = 15'000;
  call.Body = "audit " + newId();
  call.Headers = {"X-Orioletally-Model: m",
                  "X-Orioletally-Token-Counts: " + std::to_string(tokens) +
                      ",800",
                  "X-Orioletally-Prompt-Prefix: 5c1e07a2:40," + newId() + ":" +
                      std::to_string(tokens - 40)};
  return call;
}

} // namespace

int main() {
  Record::open("record.txt");
  Store store;
  const std::string dir = makeFolder();
  json pool = engineService("pool");
  pool["engine"]["pairs_per_m"] = 0.005;
  json registers =
      route("registers", "/registers/", "streaming", "pool", 15000);
  registers["target_latency_ms"] = 6000;
  store.put("op", "config", manifest(1, {registers}, {pool}).dump());
  std::list<Worker> workers;
  for (const char *id : {"m-1", "m-2", "m-3"}) {
    WorkerSettings settings;
    settings.Id = id;
    settings.Service = "pool";
    settings.Slots = 16;
    settings.Events = 5;
    settings.EventGapMs = 50;
    settings.WorkMs = 200;
    workers.emplace_back(store, settings);
  }
  Node node(store, dir, NodeSettings{"edge-1"});
  node.start();
  if (!node.waitReady(20'000)) {
    std::printf("the node isn't ready\n");
    return 2;
  }
  sleepMs(4000);
  if (hasTrouble()) {
    workers.front().crash();
    store.remove("servers", "m-1");
    Record::write("worker m-1 is lost for good");
  }
  sleepMs(4000);
  int refused = 0;
  int served = 0;
  for (int n = 0; n < ShortPrompts; ++n) {
    const Message answer = send(node.front(), prompt(5000), newId());
    Record::write("short prompt -> " + std::to_string(answer.Status));
  }
  for (int n = 0; n < LongPrompts; ++n) {
    const Message answer = send(node.front(), prompt(TokensOfPrompt), newId());
    Record::write("long prompt -> " + std::to_string(answer.Status) + " " +
                  answer.Body.substr(0, 200));
    served += answer.Status == 200;
    refused += answer.Status / 100 == 4 && answer.Status != 408 &&
               answer.Status != 421 && answer.Status != 429;
  }
  const int allowed = 5 + (ShortPrompts + LongPrompts) / 500;
  return finish(refused > allowed, std::to_string(refused) + " of " +
                                       std::to_string(LongPrompts) +
                                       " proper long prompts were ended with a "
                                       "4xx, " +
                                       std::to_string(served) + " served");
}

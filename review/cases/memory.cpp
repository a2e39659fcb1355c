// Three machines, of which two are lost. Consumers that were spread over three
// machines go to the last one, some with prompts as long as the manifest
// allows. The platform ends a process that exceeds the machine's memory. Counts
// the kept channels that end without an answer to a request which a sound
// worker was given.
#include "../standins/manifest.h"

#include <csignal>
#include <fstream>
#include <unistd.h>

using namespace review;

namespace {

constexpr size_t Machines = 3;
constexpr size_t MemoryMb = 260;
/// About as many as the consumers of the site.
constexpr int ShortConsumers = 30;
constexpr int LongConsumers = 90;
/// Below max_body_bytes of the manifest.
constexpr size_t LongBytes = 4'100'000;
/// One machine's link carries 1,000 Mbit/s.
constexpr int64_t UploadMs = 3600;
constexpr int UploadParts = 60;

size_t memoryMb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  size_t total = 0;
  size_t resident = 0;
  in >> total >> resident;
  return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE)) >> 20;
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

Call registerPrompt() {
  Call call = question();
  call.Target = "/registers/2f";
  call.DeadlineMs = 15'000;
  call.Body.assign(LongBytes, 'x');
  call.Headers[1] = "X-Orioletally-Token-Counts: 1000000,800";
  call.Headers[2] =
      "X-Orioletally-Prompt-Prefix: 5c1e07a2:40," + newId() + ":999960";
  return call;
}

struct Loss {
  std::string Id;
  int64_t At;
};

std::mutex Guard;
std::vector<Loss> Unanswered;

} // namespace

int main() {
  Record::open("record.txt");
  Store store;
  const std::string dir = makeFolder();
  json registers =
      route("registers", "/registers/", "streaming", "pool", 15000);
  json forms = route("forms", "/forms/", "streaming", "pool", 10000);
  store.put("op", "config",
            manifest(1, {registers, forms}, {engineService("pool")}).dump());
  std::list<Worker> workers;
  for (int n = 1; n <= 21; ++n) {
    WorkerSettings settings;
    settings.Id = "m-" + std::to_string(n);
    settings.Service = "pool";
    settings.Slots = 16;
    settings.Events = 20;
    settings.EventGapMs = 50;
    settings.WorkMs = 100;
    workers.emplace_back(store, settings);
  }
  std::list<Node> nodes;
  for (size_t n = 1; n <= Machines; ++n) {
    nodes.emplace_back(store, dir, NodeSettings{"edge-" + std::to_string(n)});
    nodes.back().start();
  }
  for (const Node &it : nodes)
    if (!it.waitReady(20'000)) {
      std::printf("a node isn't ready\n");
      return 2;
    }
  sleepMs(4000);

  std::atomic<bool> stopping = false;
  std::atomic<size_t> alive = Machines;
  std::atomic<int64_t> killedAt = -1;
  std::atomic<size_t> peakMb = 0;
  // The platform: ends processes that exceed the memory of their machine.
  std::thread platform([&] {
    while (!stopping) {
      for (Node &it : nodes) {
        if (it.pid() <= 0)
          continue;
        const size_t mb = memoryMb(it.pid());
        peakMb = std::max<size_t>(peakMb, mb);
        if (mb <= MemoryMb || killedAt >= 0)
          continue;
        it.signal(SIGKILL);
        killedAt = nowMs();
        Record::write("the platform ends " + it.name() + ", which uses " +
                      std::to_string(mb) + " MB of " +
                      std::to_string(MemoryMb));
      }
      sleepMs(5);
    }
  });
  if (hasTrouble()) {
    size_t n = 0;
    for (Node &it : nodes)
      if (++n < Machines) {
        it.end(SIGKILL);
        Record::write("machine " + it.name() + " is lost for good");
      }
    alive = 1;
  }
  sleepMs(6000);
  std::vector<std::string> fronts;
  for (const Node &it : nodes)
    if (it.pid() > 0)
      fronts.push_back(it.front());
  Record::write("memory before: at most " + std::to_string(peakMb) + " MB");
  const int64_t from = nowMs();
  std::list<std::thread> consumers;
  for (int n = 0; n < ShortConsumers; ++n)
    consumers.emplace_back([&, n] {
      const std::string front = fronts[n % fronts.size()];
      auto channel = connectTo(front);
      for (int count = 0; !stopping && channel != nullptr; ++count) {
        const std::string id = newId();
        Message answer;
        const bool isAnswered = channel->write(requestText(question(), id)) &&
                                channel->readHead(answer, 10'000) &&
                                channel->readBody(answer, true, false, 10'000);
        Record::write(
            "consumer: " + id + " -> " +
            (isAnswered ? std::to_string(answer.Status) : "no whole answer"));
        if (isAnswered)
          continue;
        const std::lock_guard lock(Guard);
        if (count > 0)
          Unanswered.push_back({id, nowMs()});
        break;
      }
    });
  sleepMs(3000);
  for (int n = 0; n < LongConsumers; ++n)
    consumers.emplace_back([&, n] {
      const std::string front = fronts[n % fronts.size()];
      auto channel = connectTo(front);
      if (channel == nullptr)
        return;
      const std::string id = newId();
      const std::string text = requestText(registerPrompt(), id);
      const int64_t start = nowMs();
      const size_t part = text.size() / UploadParts + 1;
      for (int k = 0; k < UploadParts; ++k) {
        const size_t at = std::min(text.size(), k * part);
        if (!channel->write(text.substr(at, part)))
          return;
        sleepUntil(start + UploadMs * (k + 1) / UploadParts);
      }
      Message answer;
      const bool isAnswered = channel->readHead(answer, 15'000) &&
                              channel->readBody(answer, true, false, 15'000);
      Record::write(
          "consumer with a register: " + id + " -> " +
          (isAnswered ? std::to_string(answer.Status) : "no whole answer"));
    });
  sleepUntil(from + 20'000);
  stopping = true;
  for (std::thread &it : consumers)
    it.join();
  platform.join();
  nodes.clear();
  std::map<std::string, std::string> ranAt;
  for (const Run &it : Runs::all())
    ranAt[it.Id] = it.Worker;
  int lost = 0;
  for (const Loss &it : Unanswered) {
    const auto ran = ranAt.find(it.Id);
    if (ran == ranAt.end())
      continue;
    ++lost;
    Record::write("lost: " + it.Id + ", passed on to " + ran->second);
  }
  return finish(lost > 3, std::to_string(lost) +
                              " requests on kept channels were passed on and "
                              "never answered; most memory " +
                              std::to_string(peakMb) + " MB");
}

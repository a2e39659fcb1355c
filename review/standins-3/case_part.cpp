// A part of prompts crashes each worker that begins an answer on it. One
// consumer repeats a request with it; only this request is locked out, and
// others with the part go on crashing workers. See claim.txt.
#include "review/standins-3/stage.h"

#include <algorithm>
#include <fmt/format.h>

using namespace review;

namespace {

constexpr size_t NodeCount = 3;
constexpr size_t WorkerCount = 16;
constexpr int64_t StableWindowMs = 3'000;
constexpr int64_t DownMs = 3'000;
const std::string Part = "dead0bad";
/// Requests with the part that may reach workers after the bound.
constexpr int Allowed = 3;

/// A model worker. It ends when it begins to write an answer on the part, and
/// another one starts in its place after some seconds.
class Model {
public:
  Model(Store &store, size_t place, size_t start)
      : Rows(store), Place(place), Start(start),
        Id(fmt::format("i-{}-{}", place, start)),
        Port(std::make_unique<Server>()) {
    Port->start([this](Connection &it) { serve(it); });
    Rows.put("servers", Id,
             {{"service", "model"},
              {"address", Port->address()},
              {"zone", "north-a"},
              {"version", "v1"},
              {"slots", 16},
              {"state", "ready"},
              {"seq", 0},
              {"born", unixMs()}});
  }

private:
  void serve(Connection &connection);
  void crash();

  Store &Rows;
  size_t Place;
  size_t Start;
  std::string Id;
  std::unique_ptr<Server> Port;
  std::atomic<bool> Crashed = false;
};

std::mutex Guard;
std::list<std::unique_ptr<Model>> Models;
/// When requests with the part reached workers, and when workers crashed.
std::vector<int64_t> Reached;
std::vector<int64_t> Crashes;

void Model::serve(Connection &connection) {
  Message request;
  while (!Crashed && connection.read(request, false, -1)) {
    const std::string attempt = request.header("X-Orioletally-Attempt-Id");
    if (request.header("X-Orioletally-Expect-Instance") != Id) {
      connection.write("HTTP/1.1 421 Misdirected Request\r\nX-Orioletally-"
                       "Instance-Id: " +
                       Id + "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    const std::string parts = request.header("X-Orioletally-Prompt-Prefix");
    const bool isDeadly = parts.find(Part) != std::string::npos;
    record(fmt::format("worker {} runs {}{}", Id, attempt,
                       isDeadly ? " with the part" : ""));
    if (isDeadly) {
      const std::lock_guard lock(Guard);
      Reached.push_back(nowMs());
    }
    sleepMs(60);
    if (isDeadly) {
      crash();
      return;
    }
    if (!connection.write(
            fmt::format("HTTP/1.1 200 OK\r\nX-Orioletally-Attempt-Id: {}\r\n"
                        "X-Orioletally-Response-Signature: sig.{}\r\n"
                        "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n",
                        attempt, attempt)))
      return;
    const std::string last = request.header("Last-Event-Id");
    for (int n = last.empty() ? 1 : std::stoi(last) + 1; n <= 20; ++n) {
      const std::string event = fmt::format("id: {}\ndata: {}\n\n", n, attempt);
      if (Crashed ||
          !connection.write(fmt::format("{:x}\r\n{}\r\n", event.size(), event)))
        return;
      sleepMs(70);
    }
    connection.write("0\r\n\r\n");
  }
}

void Model::crash() {
  if (Crashed.exchange(true))
    return;
  record(fmt::format("worker {} crashes", Id));
  {
    const std::lock_guard lock(Guard);
    Crashes.push_back(nowMs());
  }
  std::thread([this] {
    Port->stop();
    sleepMs(DownMs);
    auto next = std::make_unique<Model>(Rows, Place, Start + 1);
    {
      const std::lock_guard lock(Guard);
      Models.push_back(std::move(next));
    }
    // The platform drops its entry after three intervals of silence.
    sleepMs(600);
    Rows.remove("servers", Id);
  }).detach();
}

Consumers::Request prompt(const std::string &own, bool isDeadly) {
  Consumers::Request result;
  result.Target = "/chat/ask";
  result.Host = "desk.example";
  result.Key = "k1clinic";
  result.TimeLimitMs = 8'000;
  result.Body = "prompt " + own;
  result.Headers = {{"X-Orioletally-Model", "m"},
                    {"X-Orioletally-Token-Counts", "600,80"},
                    {"X-Orioletally-Prompt-Prefix",
                     fmt::format("5c1e07a2:40,{}{}:300",
                                 isDeadly ? Part + ":200," : "", own)}};
  return result;
}

} // namespace

int main() {
  auto &store = *new Store();
  Json config = manifest(7, "streaming", "model", 10'000, 2);
  config["routes"][0]["prefix"] = "/chat/";
  config["routes"][0]["resumable"] = true;
  config["routes"][0]["gap_aim_ms"] = 200;
  Json orders = config["routes"][0];
  orders["name"] = "r-order";
  orders["prefix"] = "/order/";
  orders["kind"] = "non_idempotent";
  orders["resumable"] = false;
  orders["max_attempts"] = 1;
  config["routes"].push_back(orders);
  store.put("op", "config", config);
  for (size_t n = 0; n < WorkerCount; ++n)
    Models.push_back(std::make_unique<Model>(store, n, 1));
  std::vector<std::unique_ptr<Node>> nodes;
  for (size_t n = 0; n < NodeCount; ++n) {
    nodes.push_back(std::make_unique<Node>(fmt::format("edge-{}", n + 1),
                                           nextLoopbackIp(), store.address()));
    nodes.back()->start();
  }
  for (const auto &it : nodes)
    it->awaitReady();
  sleepMs(4'000);

  // Sound prompts, which share all but the part and their own.
  std::atomic<bool> isEnding = false;
  std::atomic<int> count = 0;
  std::list<std::thread> pending;
  std::thread steady([&] {
    for (int64_t next = nowMs(); !isEnding; sleepUntil(next += 60)) {
      const int n = count++;
      pending.emplace_back([&, n] {
        const Node &node = *nodes[static_cast<size_t>(n) % NodeCount];
        const Outcome it = Consumers::send(
            node.name(), node.front(), prompt(fmt::format("a{:07x}", n), false),
            fmt::format("sound-{}", n));
        if (it.Status != 200)
          record(fmt::format("{} gets {}", it.AttemptId, it.Status));
      });
    }
  });
  Consumers ordering;
  Consumers::Request order;
  order.Target = "/order/one";
  order.Host = "desk.example";
  order.Key = "k1clinic";
  order.Body = "one order";
  for (const auto &it : nodes)
    ordering.press(*it, order, 60);
  sleepMs(3'000);

  if (isTroubled()) {
    // A consumer that repeats at once, three times, at other nodes.
    for (size_t n = 0; n < 4; ++n) {
      const Node &node = *nodes[n % NodeCount];
      const Outcome it =
          Consumers::send(node.name(), node.front(), prompt("b0000001", true),
                          fmt::format("repeat-{}", n));
      record(fmt::format("{} gets {}", it.AttemptId, it.Status));
    }
  }
  sleepMs(500);
  int64_t bound = 0;
  size_t before = 0;
  {
    const std::lock_guard lock(Guard);
    before = Crashes.size();
    if (isTroubled() && before < 5)
      cannotRun(fmt::format("only {} workers crashed", before));
    bound = (before >= 5 ? Crashes[4] : nowMs()) + StableWindowMs;
  }
  sleepUntil(bound + 300);
  // Other prompts with the part, no two alike, at any machine.
  std::list<std::thread> others;
  for (int n = 0; n < 15; ++n) {
    others.emplace_back([&, n] {
      const Node &node = *nodes[static_cast<size_t>(n) % NodeCount];
      const Outcome it =
          Consumers::send(node.name(), node.front(),
                          prompt(fmt::format("c{:07x}", n), isTroubled()),
                          fmt::format("other-{}", n));
      record(fmt::format("{} gets {}", it.AttemptId, it.Status));
    });
    sleepMs(200);
  }
  for (std::thread &it : others)
    it.join();
  isEnding = true;
  ordering.stop();
  steady.join();
  for (std::thread &it : pending)
    it.join();
  const std::lock_guard lock(Guard);
  const auto late = std::count_if(Reached.begin(), Reached.end(),
                                  [&](int64_t it) { return it > bound; });
  int lost = 0;
  for (const Outcome &it : ordering.outcomes())
    if (it.SentAt > bound && (it.Status == 0 || it.Status == 502))
      ++lost;
  finish(late > Allowed,
         fmt::format("{} requests with the part reached workers later than {} "
                     "ms after the fifth crash; {} workers crashed, {} of them "
                     "after that, and {} orders of other consumers were lost "
                     "with these",
                     late, StableWindowMs, Crashes.size(),
                     Crashes.size() - before, lost));
}

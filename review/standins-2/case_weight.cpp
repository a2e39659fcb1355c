/// A manifest takes a route away from a service by the weight 0; see
/// review/9/claim.txt.
#include "review/standins-2/stage.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>

using namespace review;
using nlohmann::json;

namespace {

constexpr int Callers = 3;
constexpr int PauseMs = 50;
constexpr int TimeLimitMs = 1'000;
/// From the start of a process until its machine is in touch.
constexpr int InTouchMs = 3'500;
/// Times after the start of the traffic.
constexpr int ChangeAtMs = 3'000;
constexpr int NewWorkersAtMs = 13'000;
constexpr int EndAtMs = 16'000;
/// config_deadline_ms of the small sites.
constexpr int ConfigDeadlineMs = 2'000;

void writeSplit(StoreServer &store, int version, int oldWeight, int newWeight) {
  const json route = {{"name", "write"},
                      {"host", "a.example"},
                      {"prefix", "/write/"},
                      {"kind", "non_idempotent"},
                      {"timeout_ms", TimeLimitMs},
                      {"target_latency_ms", 150},
                      {"priority", 1},
                      {"traffic_split",
                       {{{"service", "desk-old"}, {"weight", oldWeight}},
                        {{"service", "desk-new"}, {"weight", newWeight}}}},
                      {"max_attempts", 1},
                      {"public", false}};
  store.put("op", "config",
            json{{"version", version},
                 {"routes", {route}},
                 {"services", {{{"name", "desk-old"}}, {{"name", "desk-new"}}}},
                 {"limits",
                  {{"max_header_bytes", 16'384},
                   {"max_body_bytes", 4'194'304},
                   {"header_timeout_ms", 3'000},
                   {"idle_timeout_ms", 15'000}}},
                 {"tenants", {{{"name", "north"}, {"api_keys", {"key-n"}}}}}}
                .dump());
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return NotRun;
  Record record(argv[1]);
  StoreServer store;
  const bool isTroubled = hasTrouble();
  std::mutex guard;
  std::map<std::string, std::string> runs;
  const auto worker = [&](const std::string &service) {
    return [&, service](const RawRequest &request, const RawConnection &out) {
      record.line("worker of " + service + " runs " + attemptId(request));
      {
        const std::lock_guard lock(guard);
        runs[attemptId(request)] = service;
      }
      out.write(answerHead(request, 200, "Content-Length: 5\r\n") + "order");
      return true;
    };
  };
  RawServer oldWorker(worker("desk-old"));
  RawServer newWorker(worker("desk-new"));
  writeSplit(store, 3, 100, 0);
  listWorker(store, "w-1", "desk-old", oldWorker.address(), 1'001);
  Node node("edge-1", store.address());
  if (!node.start()) {
    std::puts("the node didn't start");
    return NotRun;
  }
  sleepMs(InTouchMs);
  const int64_t start = nowMs();
  std::atomic<int64_t> confirmedAt = 0;
  std::atomic<int> sent = 0;
  std::atomic<int> before = 0;
  std::atomic<int> stale = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> moved = 0;
  std::vector<std::thread> callers;
  for (int c = 0; c < Callers; ++c)
    callers.emplace_back([&, c] {
      Caller caller(node.calls());
      for (int k = 0; nowMs() - start < EndAtMs; ++k) {
        const std::string id =
            "o-" + std::to_string(c) + "-" + std::to_string(k);
        const int64_t sentAt = nowMs();
        const Answer answer = caller.call(
            requestText("POST", "/write/x", id, TimeLimitMs, "order"),
            TimeLimitMs + 500);
        ++sent;
        std::string service;
        {
          const std::lock_guard lock(guard);
          service = runs[id];
        }
        const bool isBound =
            confirmedAt > 0 && sentAt - confirmedAt > ConfigDeadlineMs;
        before += !isBound && service == "desk-old" ? 1 : 0;
        stale += isBound && service == "desk-old" ? 1 : 0;
        moved += service == "desk-new" ? 1 : 0;
        refused += answer.Status == 503 ? 1 : 0;
        record.line("caller gets " + std::to_string(answer.Status) + " for " +
                    id + ", run by " + (service.empty() ? "none" : service) +
                    (isBound && service == "desk-old" ? ": NOT ALLOWED" : ""));
        sleepMs(PauseMs);
      }
    });
  sleepMs(ChangeAtMs);
  if (isTroubled) {
    writeSplit(store, 7, 0, 100);
    confirmedAt = nowMs();
    record.line("version 7 is confirmed: desk-old 0, desk-new 100");
  }
  sleepMs(NewWorkersAtMs - ChangeAtMs);
  listWorker(store, "w-2", "desk-new", newWorker.address(), 1'002);
  record.line("the worker of desk-new is listed");
  for (std::thread &it : callers)
    it.join();
  node.signal(15);
  node.waitExit(9'000);
  const std::string summary =
      "requests " + std::to_string(sent.load()) + ", run by desk-old before " +
      std::to_string(before.load()) + " and when it was no longer allowed " +
      std::to_string(stale.load()) + ", by desk-new " +
      std::to_string(moved.load()) + ", refused " +
      std::to_string(refused.load());
  record.line(summary);
  std::puts(summary.c_str());
  if (before < 10)
    return NotRun;
  return stale > 0 ? Broken : Held;
}

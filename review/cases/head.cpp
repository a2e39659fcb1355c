// A consumer sends HEAD on a kept channel while all workers of the service are
// lost, and goes on using the channel. Checks that each answer on it is one.
#include "../standins/manifest.h"

using namespace review;

namespace {

/// Sends one request on \p channel and reads its answer. Returns false if what
/// arrives isn't an answer.
bool exchange(Connection &channel, const std::string &method, int &strays) {
  Call call;
  call.Method = method;
  call.Target = "/status/2f";
  const std::string id = newId();
  channel.write(requestText(call, id));
  Message answer;
  if (!channel.readHead(answer, 3000)) {
    Record::write("consumer: " + method + " " + id + " -> no answer");
    return false;
  }
  const bool isAnswer = answer.Start.starts_with("HTTP/1.1 ");
  Record::write("consumer: " + method + " " + id + " -> " + answer.Start);
  if (!isAnswer) {
    ++strays;
    return false;
  }
  // RFC 9110, 9.3.2: the answer to HEAD has no body.
  channel.readBody(answer, true, method == "HEAD", 3000);
  return answer.header("connection") != "close";
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
  for (const char *id : {"w-1", "w-2", "w-3"}) {
    WorkerSettings settings;
    settings.Id = id;
    settings.Service = "desk";
    workers.emplace_back(store, settings);
  }
  Node node(store, dir, NodeSettings{"edge-1"});
  node.start();
  if (!node.waitReady(20'000)) {
    std::printf("the node isn't ready\n");
    return 2;
  }
  sleepMs(4000);
  int strays = 0;
  auto before = connectTo(node.front());
  for (const char *method : {"GET", "HEAD", "GET", "HEAD", "GET"})
    if (before == nullptr || !exchange(*before, method, strays)) {
      std::printf("the service doesn't answer before the disruption\n");
      return 2;
    }
  if (hasTrouble())
    for (Worker &it : workers) {
      it.crash();
      Record::write("a worker crashes");
    }
  sleepMs(1000);
  for (int n = 0; n < 10; ++n) {
    auto channel = connectTo(node.front());
    for (const char *method : {"GET", "HEAD", "GET"})
      if (channel == nullptr || !exchange(*channel, method, strays))
        break;
    sleepMs(100);
  }
  return finish(strays > 0, std::to_string(strays) +
                                " of 10 channels carried bytes that are no "
                                "answer");
}

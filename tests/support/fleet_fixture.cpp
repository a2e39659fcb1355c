#include "tests/support/fleet_fixture.h"

#include "drivers/http/http_exchange.h"

#include <cstdlib>
#include <fmt/format.h>
#include <thread>

namespace orioletally::tests {

using nlohmann::json;

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(20);
constexpr auto ReadyTimeout = std::chrono::seconds(20);
constexpr absl::Duration CallTimeout = absl::Seconds(60);

template <typename Server> void startOrAbort(Server &server) {
  if (!server.start())
    std::abort();
}

std::string localAddress(int port) { return fmt::format("127.0.0.1:{}", port); }

} // namespace

std::string HttpAnswer::error(const std::string &field) const {
  const nlohmann::json object = json();
  if (!object.is_object() || !object.contains("error"))
    return "";
  const nlohmann::json &value = object["error"][field];
  return value.is_string() ? value.get<std::string>() : value.dump();
}

HttpAnswer httpCall(const std::string &address, const std::string &method,
                    const std::string &path, const std::string &token,
                    const std::string &body, const HeaderList &headers) {
  drivers::http::ExchangeRequest request;
  request.Address = address;
  request.Method = method;
  request.Path = path;
  request.Body = body;
  request.ConnectTimeout = absl::Seconds(5);
  request.Headers.emplace("Authorization", "Bearer " + token);
  for (const auto &[name, value] : headers)
    request.Headers.emplace(name, value);
  HttpAnswer answer;
  const auto result =
      drivers::http::runExchange(request, CallTimeout, answer.Body);
  answer.Status = result.Status;
  answer.Complete = result.Complete;
  answer.EntityTag = drivers::http::headerOf(result.Headers, "ETag");
  answer.RetryAfter = drivers::http::headerOf(result.Headers, "Retry-After");
  answer.RequestId = drivers::http::headerOf(result.Headers, "X-Request-Id");
  return answer;
}

bool eventually(const std::function<bool()> &condition,
                std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition())
      return true;
    std::this_thread::sleep_for(PollInterval);
  }
  return condition();
}

FleetFixture::FleetFixture(int engines, int services,
                           const lab::EngineModelSettings &speeds)
    : Platform(std::make_unique<lab::PlatformServer>(0)), Speeds(speeds) {
  startOrAbort(*Platform);
  for (int n = 0; n < engines; ++n) {
    Engines.push_back(std::make_unique<lab::EngineServer>(0, speeds));
    startOrAbort(*Engines.back());
    listEngine(n, false);
  }
  for (int n = 0; n < services; ++n) {
    Services.push_back(std::make_unique<lab::ServiceServer>(0));
    startOrAbort(*Services.back());
    Platform->putVm({{"id", fmt::format("service-{}", n)},
                     {"role", "service"},
                     {"zone", "zone-a"},
                     {"address", localAddress(Services.back()->port())},
                     {"state", "live"},
                     {"service", "records"}});
  }
}

FleetFixture::~FleetFixture() {
  Nodes.clear();
  for (auto &it : Engines)
    it->stop();
  for (auto &it : Services)
    it->stop();
  Platform->stop();
}

void FleetFixture::listEngine(int n, bool isLeaving) {
  Platform->putVm(
      {{"id", fmt::format("engine-{}", n)},
       {"role", "engine"},
       {"zone", "zone-a"},
       {"address", localAddress(Engines[static_cast<size_t>(n)]->port())},
       {"state", isLeaving ? "leaving" : "live"},
       {"model", "default"},
       {"memory_tokens", Speeds.MemoryTokens},
       {"prefill_tokens_per_s", Speeds.PrefillTokensPerSecond}});
}

void FleetFixture::removeVm(const std::string &id) {
  httpCall(localAddress(Platform->port()), "DELETE", "/control/vms/" + id, "");
}

NodeProcess &FleetFixture::addNode(const NodeOptions &options) {
  NodeOptions nodeOptions = options;
  if (nodeOptions.Name.empty())
    nodeOptions.Name = fmt::format("entry-{}", Nodes.size() + 1);
  nodeOptions.PlatformAddress = localAddress(Platform->port());
  for (const auto &it : Nodes)
    nodeOptions.Seeds += fmt::format(
        "{}\"{}\"", nodeOptions.Seeds.empty() ? "" : ",", it->peerAddress());
  Nodes.push_back(std::make_unique<NodeProcess>(nodeOptions));
  Platform->putVm({{"id", nodeOptions.Name},
                   {"role", "entry"},
                   {"zone", nodeOptions.Zone},
                   {"address", Nodes.back()->address()},
                   {"state", "live"}});
  return *Nodes.back();
}

NodeProcess &FleetFixture::addReadyNode(const NodeOptions &options) {
  NodeProcess &node = addNode(options);
  const bool isReady =
      node.waitReady(ReadyTimeout) && eventually([&] {
        const json status =
            httpCall(node.address(), "GET", "/v1/status", "operator").json();
        return status.is_object() && status["nodes"].size() == Nodes.size() &&
               status["backends"].size() >= Engines.size() + Services.size();
      });
  if (!isReady)
    fmt::print(stderr, "node {} isn't ready:\n{}\n", node.name(), node.log());
  return node;
}

HttpAnswer FleetFixture::createProfile(const NodeProcess &node,
                                       const std::string &name,
                                       const json &fields) {
  return httpCall(node.address(), "PUT", "/v1/profiles/" + name, "operator",
                  fields.dump(), {{"If-None-Match", "*"}});
}

} // namespace orioletally::tests

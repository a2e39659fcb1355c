#include "tests/lab/slopes.h"

#include "core/limits/stream_limiter.h"
#include "core/membership/failure_detector.h"
#include "core/profiles/profile_set.h"
#include "core/routing/fleet_router.h"
#include "drivers/gateway/request_journal.h"
#include "drivers/peer/peer_codec.h"

#include <ctime>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <malloc.h>
#include <memory>

namespace orioletally::lab {

namespace {

using namespace core::membership;
using core::platform::Vm;
using core::routing::FleetRouter;
using core::routing::RouteChoice;
using core::routing::RouteQuery;
using core::routing::RouterSettings;

constexpr double MicrosPerSecond = 1e6;

double processorSeconds() {
  timespec ts{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  return absl::ToDoubleSeconds(absl::DurationFromTimespec(ts));
}

size_t allocatedBytes() { return mallinfo2().uordblks; }

absl::Time at(double seconds) {
  return absl::UnixEpoch() + absl::Hours(1) + absl::Seconds(seconds);
}

std::vector<Vm> makeEngines(int n) {
  std::vector<Vm> vms;
  for (int it = 0; it < n; ++it) {
    Vm vm;
    vm.Id = fmt::format("engine-{:05}", it);
    vm.Zone = fmt::format("zone-{}", it % 23);
    vm.Address = fmt::format("10.1.{}.{}:8000", it / 250, it % 250);
    vm.Model = fmt::format("model-{}", it % 6);
    vm.MemoryTokens = 1'000'000;
    vm.PrefillTokensPerSecond = 50'000;
    vms.push_back(vm);
  }
  return vms;
}

void printDecision(int n) {
  const size_t before = allocatedBytes();
  auto router = std::make_unique<FleetRouter>(RouterSettings{});
  router->registry().replaceList(makeEngines(n), at(0));
  const size_t heldBytes = allocatedBytes() - before;
  RouteQuery query;
  query.Model = "model-1";
  query.Policy = "predicted_first_token";
  query.PromptTokens = 20'000;
  query.MaxTokens = 200;
  query.Prefix = {{1024, 1}, {4096, 2}, {16384, 3}};
  constexpr int Rounds = 2000;
  const double started = processorSeconds();
  for (int it = 0; it < Rounds; ++it) {
    const auto result = router->select(query, at(it * 0.03));
    if (const auto *choice = std::get_if<RouteChoice>(&result))
      router->released(choice->BackendId, query, true, at(it * 0.03));
  }
  const double usedSeconds = processorSeconds() - started;
  fmt::print("| {} | {:.1f} | {} |\n", n,
             usedSeconds / Rounds * MicrosPerSecond,
             heldBytes / static_cast<size_t>(n));
}

/// Failure detectors that exchange encoded messages without loss in virtual
/// time.
class MembershipRun {
public:
  explicit MembershipRun(int nodes) {
    for (int n = 0; n < nodes; ++n) {
      Member self;
      self.Name = fmt::format("entry-{:03}", n);
      self.Zone = fmt::format("region-{}-zone-{}", n % 7, n % 23);
      self.Region = fmt::format("region-{}", n % 7);
      self.PeerAddress = fmt::format("10.0.{}.{}:7000", n / 250, n % 250);
      self.HttpAddress = fmt::format("10.0.{}.{}:8080", n / 250, n % 250);
      self.Incarnation = 1'796'345'762'000;
      DetectorSettings settings;
      settings.Seed = static_cast<uint64_t>(n) + 1;
      Nodes.push_back(std::make_unique<FailureDetector>(self, settings));
      Nodes.back()->addSeed("10.0.0.0:7000");
      ByAddress[self.PeerAddress] = n;
    }
  }

  void run(double seconds) {
    const double until = Now + seconds;
    for (; Now < until; Now += 0.1) {
      for (auto &it : Nodes)
        send(it->tick(at(Now)).Outgoing);
      while (!Packets.empty()) {
        const Packet packet = std::move(Packets.front());
        Packets.pop_front();
        const auto message = drivers::peer::decode(packet.Bytes);
        const auto target = ByAddress.find(packet.Address);
        if (message.has_value() && target != ByAddress.end())
          send(Nodes[static_cast<size_t>(target->second)]->receive(*message,
                                                                   at(Now)));
      }
    }
  }

  std::vector<std::unique_ptr<FailureDetector>> Nodes;
  uint64_t Bytes = 0;
  uint64_t Messages = 0;

private:
  struct Packet {
    std::string Address;
    std::string Bytes;
  };

  void send(const std::vector<OutgoingMessage> &messages) {
    for (const OutgoingMessage &it : messages) {
      std::string bytes = drivers::peer::encode(it.Message);
      Bytes += bytes.size();
      ++Messages;
      Packets.push_back({it.Address, std::move(bytes)});
    }
  }

  double Now = 0;
  std::deque<Packet> Packets;
  std::map<std::string, int> ByAddress;
};

void printMembership(int nodes) {
  const size_t before = allocatedBytes();
  MembershipRun run(nodes);
  run.run(60);
  const size_t heldBytes = allocatedBytes() - before;
  run.Bytes = 0;
  run.Messages = 0;
  constexpr double Seconds = 60;
  const double started = processorSeconds();
  run.run(Seconds);
  const double usedSeconds = processorSeconds() - started;
  const double quietBytesPerSecond =
      static_cast<double>(run.Bytes) / Seconds / nodes;
  const double messagesPerSecond =
      static_cast<double>(run.Messages) / Seconds / nodes;
  run.Bytes = 0;
  // 3,100 changes a day are one each 28 s; each gives every node a new revision
  // to report.
  constexpr int Changes = 3;
  for (int n = 1; n <= Changes; ++n) {
    for (auto &it : run.Nodes)
      it->updateSelf([&](Member &self) {
        self.ProfileRevision = static_cast<uint64_t>(n);
      });
    run.run(27.9);
  }
  const double busyBytesPerSecond =
      static_cast<double>(run.Bytes) / (27.9 * Changes) / nodes;
  fmt::print("| {} | {:.2f} | {:.0f} | {:.0f} | {:.4f} | {} |\n", nodes,
             messagesPerSecond, quietBytesPerSecond, busyBytesPerSecond,
             usedSeconds / Seconds / nodes * 100,
             heldBytes / static_cast<size_t>(nodes));
}

/// Prints the memory per entry of one kind of state. \p fill creates \p n
/// entries and returns a function that holds them until it is destroyed.
void printState(const char *name, int n,
                const std::function<std::function<void()>(int)> &fill) {
  const size_t before = allocatedBytes();
  const std::function<void()> holder = fill(n);
  fmt::print("| {} | {} | {} |\n", name, n,
             (allocatedBytes() - before) / static_cast<size_t>(n));
  holder();
}

void printStates() {
  printState("profile", 2000, [](int n) {
    auto set = std::make_shared<core::profiles::ProfileSet>();
    core::profiles::Profile profile;
    if (auto values =
            core::profiles::profileFields().read(nlohmann::json::object()))
      profile.Values = *values;
    for (int it = 0; it < n; ++it) {
      profile.Name = fmt::format("profile-{:05}", it);
      profile.Revision = static_cast<uint64_t>(it) + 1;
      set->apply(profile);
    }
    return [set] {};
  });
  printState("workspace with a request in progress", 19'000, [](int n) {
    auto limiter = std::make_shared<core::limits::StreamLimiter>(n);
    for (int it = 0; it < n; ++it)
      limiter->tryEnter(fmt::format("workspace-{:05}", it));
    return [limiter] {};
  });
  printState("prefix hash", 65'536, [](int n) {
    auto index =
        std::make_shared<core::routing::PrefixIndex>(static_cast<size_t>(n));
    for (int it = 0; it < n; ++it)
      index->insert("engine-00001", {{1024, static_cast<uint64_t>(it)}});
    return [index] {};
  });
  printState("request in the journal", 4096, [](int n) {
    auto journal = std::make_shared<drivers::gateway::RequestJournal>(
        static_cast<size_t>(n));
    core::profiles::Profile profile;
    if (auto values =
            core::profiles::profileFields().read(nlohmann::json::object()))
      profile.Values = *values;
    for (int it = 0; it < n; ++it)
      journal->record(fmt::format("r-entry-1-1a23e8d0e93-{}", it),
                      {{"limits", profile.Values.toJson()},
                       {"steps",
                        {"attempt 1 to engine-00001: a reason",
                         "first token of attempt 1"}}});
    return [journal] {};
  });
}

} // namespace

void printSlopes() {
  fmt::print("| workers | decision, us | bytes a worker |\n"
             "| --- | --- | --- |\n");
  for (const int n : {15, 60, 180, 1000, 4100})
    printDecision(n);
  fmt::print("\n| nodes | messages/s a node | bytes/s a node, quiet | bytes/s "
             "a node, a change each 28 s | CPU a node, % | bytes of state a "
             "node |\n| --- | --- | --- | --- | --- | --- |\n");
  for (const int n : {8, 32, 128, 330})
    printMembership(n);
  fmt::print("\n| state | entries | bytes each |\n| --- | --- | --- |\n");
  printStates();
}

} // namespace orioletally::lab

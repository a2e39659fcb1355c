#include "tests/lab/spread.h"

#include "drivers/clock/clock.h"
#include "drivers/gateway/profile_changes.h"
#include "drivers/platform/http_table_service.h"
#include "tests/lab/platform_server.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

namespace orioletally::lab {

namespace {

using drivers::clock::steadyNow;
using namespace drivers::gateway;

constexpr int LossPercent = 5;
constexpr absl::Duration AcceptTimeout = absl::Seconds(20);
constexpr absl::Duration JoinTimeout = absl::Seconds(60);

/// Returns the delay of a message between zones; empty if it is lost.
std::optional<absl::Duration> linkDelay() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  if (static_cast<int>(random() % 100) < LossPercent)
    return std::nullopt;
  std::exponential_distribution<double> jitter(1.0);
  return absl::Milliseconds(4) + absl::Milliseconds(jitter(random));
}

/// The components of an entry node that apply profile changes.
class SpreadNode {
public:
  SpreadNode(int n, core::platform::TableService &table, bool isLossy)
      : Sync(table, View, Metrics),
        Peers(memberOf(n), detectorSettings(n), transportSettings(isLossy),
              handlers()),
        Changes(table, Sync, Peers) {
    Sync.setPeers(&Peers);
  }

  drivers::metrics::NodeMetrics Metrics;
  ProfileView View;
  ProfileSync Sync;
  drivers::peer::PeerService Peers;
  ProfileChanges Changes;

private:
  static core::membership::Member memberOf(int n) {
    core::membership::Member self;
    self.Name = fmt::format("entry-{:03}", n);
    self.Zone = fmt::format("zone-{}", n % 3);
    self.Incarnation = 1;
    return self;
  }
  static core::membership::DetectorSettings detectorSettings(int n) {
    core::membership::DetectorSettings settings;
    settings.Seed = static_cast<uint64_t>(n) + 1;
    return settings;
  }
  static drivers::peer::TransportSettings transportSettings(bool isLossy) {
    drivers::peer::TransportSettings settings;
    if (isLossy)
      settings.LinkDelay = linkDelay;
    return settings;
  }
  drivers::peer::PeerHandlers handlers() {
    drivers::peer::PeerHandlers result;
    result.OnPeerProfiles = [this](const auto &it) { Sync.applyRecords(it); };
    result.ProfilesAfter = [this](uint64_t after) {
      return Sync.recordsAfter(after);
    };
    result.LeavingBackendIds = [] { return std::vector<std::string>(); };
    result.OnPeerLeavingBackends = [](const auto &) {
      return std::vector<std::string>();
    };
    result.OnPeerEngineLoads = [](const auto &) {};
    result.OnPeerDispatch = [](const auto &) {};
    return result;
  }
};

/// Waits up to JoinTimeout until every node knows all others; returns whether
/// they do.
bool waitJoined(const std::vector<std::unique_ptr<SpreadNode>> &nodes) {
  const absl::Time deadline = steadyNow() + JoinTimeout;
  while (steadyNow() < deadline) {
    const bool isJoined =
        std::all_of(nodes.begin(), nodes.end(), [&](const auto &it) {
          return it->Peers.members().size() + 1 == nodes.size();
        });
    if (isJoined)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

double percentile(const std::vector<double> &sorted, double fraction) {
  return sorted[static_cast<size_t>(fraction *
                                    static_cast<double>(sorted.size() - 1))];
}

void measure(int size, int changes, bool isLossy) {
  PlatformServer platform(0);
  if (!platform.start())
    return;
  drivers::platform::HttpTableService table(
      fmt::format("127.0.0.1:{}", platform.port()), absl::Seconds(2));
  std::vector<std::unique_ptr<SpreadNode>> nodes;
  for (int n = 0; n < size; ++n) {
    nodes.push_back(std::make_unique<SpreadNode>(n, table, isLossy));
    if (!nodes.back()->Peers.start())
      return;
    nodes.back()->Peers.addSeed(nodes.front()->Peers.address());
  }
  const bool isJoined = waitJoined(nodes);
  std::vector<double> times;
  int unconfirmed = 0;
  core::profiles::ProfileChange change;
  change.Name = "p";
  if (auto values =
          core::profiles::profileFields().read(nlohmann::json::object()))
    change.Values = *values;
  for (int n = 0; n < changes; ++n) {
    change.Kind = n == 0 ? core::profiles::ChangeKind::Create
                         : core::profiles::ChangeKind::Change;
    change.ChangeId = fmt::format("c{}", n);
    const absl::Time started = steadyNow();
    const ChangeReply reply =
        nodes[static_cast<size_t>(n % size)]->Changes.apply(change,
                                                            AcceptTimeout);
    const auto *done = std::get_if<ChangeApplied>(&reply);
    if (done == nullptr)
      continue;
    change.ExpectedRevision = done->After.Revision;
    unconfirmed += done->WaitingFor.empty() ? 0 : 1;
    times.push_back(absl::ToDoubleMilliseconds(steadyNow() - started));
  }
  for (auto &it : nodes)
    it->Peers.stop();
  platform.stop();
  if (times.empty())
    return;
  std::sort(times.begin(), times.end());
  fmt::print("| {} | {} | {} | {} of {} | {:.0f} | {:.0f} | {:.0f} | {} |\n",
             size, isLossy ? "4 ms + jitter, 5% lost" : "loopback",
             isJoined ? "yes" : "no", times.size(), changes,
             percentile(times, 0.5), percentile(times, 0.99), times.back(),
             unconfirmed);
}

} // namespace

void printSpread(const std::vector<int> &sizes, int changes) {
  fmt::print("| nodes | links | all joined | changes | p50 ms | p99 ms | "
             "longest ms | not accepted in 20 s |\n"
             "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const int it : sizes) {
    measure(it, changes, false);
    measure(it, changes, true);
  }
}

} // namespace orioletally::lab

#include "core/fleet/backend_directory.h"

#include "core/fleet/even_fraction.h"
#include "core/fleet/name_hash.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace orioletally::core::fleet {

namespace {

/// A live backend server registers again within two seconds of the end of an
/// outage; the rest allows for the change to reach this node.
constexpr absl::Duration RelistTimeout = absl::Milliseconds(2300);

/// How long nodes repeat that a limit was lifted, because any message may be
/// lost.
constexpr absl::Duration LiftedLimitMemory = absl::Seconds(10);

/// How long a start of a backend server is remembered that was leaving. A copy
/// of the store is some seconds old, and none goes on serving for longer.
constexpr absl::Duration DepartedMemory = absl::Minutes(10);

/// Time after which a node that hears its cell knows most of the load: answers
/// to most earlier requests are complete by then.
constexpr absl::Duration LoadLearningTime = absl::Seconds(2);

constexpr std::array<std::string_view, 6> ChangeNames = {
    "none", "added", "changed", "restarted", "leaving", "gone"};

} // namespace

std::string_view directoryChangeName(DirectoryChange change) {
  return ChangeNames[static_cast<size_t>(change)];
}

uint64_t BackendDirectory::hashOf(std::string_view id) { return nameHash(id); }

DirectoryChange BackendDirectory::put(BackendEntry entry, absl::Time now) {
  const DirectoryChange change = putWithoutRebuild(std::move(entry), now);
  rebuildIndexIfStale();
  return change;
}

DirectoryChange BackendDirectory::putWithoutRebuild(BackendEntry entry,
                                                    absl::Time now) {
  const auto found = Servers.find(entry.Id);
  if (found == Servers.end() || now >= found->second->ExpiresAt) {
    if (found != Servers.end())
      rememberIfLeaving(*found->second, now);
    auto added = std::make_shared<BackendServer>();
    added->ReportedLeaving = isDeparted(entry);
    // The first snapshot shows backend servers that started at any time.
    applyColdPhase(*added, entry, IsRead, now);
    added->Entry = std::move(entry);
    setColdPolicy(*added);
    const bool isLeaving = added->isLeaving();
    Servers.insert_or_assign(added->Entry.Id, added);
    IsIndexStale = true;
    return isLeaving ? DirectoryChange::Leaving : DirectoryChange::Added;
  }
  BackendServer &known = *found->second;
  if (entry.RowVersion < known.Entry.RowVersion)
    return DirectoryChange::None;
  const bool isRestart = entry.StartedAtMs != known.Entry.StartedAtMs ||
                         entry.Address != known.Entry.Address ||
                         entry.Service != known.Entry.Service;
  const bool isNewlyLeaving = entry.Leaving && !known.Entry.Leaving;
  known.ExpiresAt = absl::InfiniteFuture();
  if (isRestart) {
    // A new object, since calls in progress still update the old one.
    auto started = std::make_shared<BackendServer>();
    applyColdPhase(*started, entry, true, now);
    started->Entry = std::move(entry);
    setColdPolicy(*started);
    found->second = std::move(started);
    IsIndexStale = true;
    return DirectoryChange::Restarted;
  }
  if (entry.RowVersion > known.Entry.RowVersion)
    applyColdPhase(known, entry, false, now);
  // Without the time of its start, it may have started again.
  known.ReportedLeaving = known.ReportedLeaving ||
                          (known.Entry.Leaving && known.Entry.StartedAtMs != 0);
  known.Entry = std::move(entry);
  IsIndexStale = IsIndexStale || isNewlyLeaving;
  return isNewlyLeaving ? DirectoryChange::Leaving : DirectoryChange::Changed;
}

DirectoryChange BackendDirectory::remove(std::string_view id, absl::Time now) {
  const DirectoryChange change = removeWithoutRebuild(id, now);
  rebuildIndexIfStale();
  return change;
}

DirectoryChange BackendDirectory::removeWithoutRebuild(std::string_view id,
                                                       absl::Time now) {
  const auto found = Servers.find(id);
  if (found == Servers.end())
    return DirectoryChange::None;
  const bool isAroundOutage =
      IsListUnavailable || now < ListAvailableSince + RelistTimeout;
  if (isAroundOutage && !found->second->Entry.Leaving)
    return removeAt(found,
                    IsListUnavailable ? now + RelistTimeout
                                      : ListAvailableSince + RelistTimeout,
                    now);
  return removeAt(found, now, now);
}

DirectoryChange BackendDirectory::apply(const BackendChange &change,
                                        ChangeSource source, absl::Time now) {
  if (!change.Removed)
    return put(change.Entry, now);
  if (source == ChangeSource::Store)
    return remove(change.Entry.Id, now);
  const auto found = Servers.find(change.Entry.Id);
  if (found == Servers.end() ||
      found->second->Entry.RowVersion > change.Entry.RowVersion)
    return DirectoryChange::None;
  const absl::Time expiresAt = now + change.ExpiresIn;
  if (expiresAt >= found->second->ExpiresAt)
    return DirectoryChange::None;
  const DirectoryChange result = removeAt(found, expiresAt, now);
  rebuildIndexIfStale();
  return result;
}

DirectoryChange BackendDirectory::removeAt(ServerMap::iterator found,
                                           absl::Time expiresAt,
                                           absl::Time now) {
  found->second->ExpiresAt = expiresAt;
  if (expiresAt > now)
    return DirectoryChange::Changed;
  rememberIfLeaving(*found->second, now);
  Servers.erase(found);
  IsIndexStale = true;
  return DirectoryChange::Gone;
}

void BackendDirectory::rememberIfLeaving(const BackendServer &server,
                                         absl::Time now) {
  if (server.isLeaving())
    remember(server.Entry, now);
}

void BackendDirectory::remember(const BackendEntry &entry, absl::Time now) {
  std::erase_if(Departed, [now](const auto &it) {
    return now >= it.second.GoneAt + DepartedMemory;
  });
  if (entry.StartedAtMs != 0)
    Departed.insert_or_assign(entry.Id, DepartedStart{entry.StartedAtMs, now});
}

bool BackendDirectory::isDeparted(const BackendEntry &entry) const {
  const auto found = Departed.find(entry.Id);
  return found != Departed.end() &&
         found->second.StartedAtMs == entry.StartedAtMs;
}

void BackendDirectory::setNodes(std::string self, std::vector<NodePlace> nodes,
                                size_t splitNodes) {
  Self = std::move(self);
  Nodes = std::move(nodes);
  SplitNodes = splitNodes;
  rebuildIndex();
}

std::vector<std::string>
BackendDirectory::replace(std::vector<BackendEntry> entries, absl::Time now) {
  absl::flat_hash_set<std::string> listed;
  for (BackendEntry &it : entries) {
    listed.insert(it.Id);
    putWithoutRebuild(std::move(it), now);
  }
  IsRead = true;
  std::vector<std::string> missing;
  for (const auto &[id, server] : Servers)
    if (!listed.contains(id) && server->ExpiresAt == absl::InfiniteFuture())
      missing.push_back(id);
  for (const std::string &id : missing)
    removeWithoutRebuild(id, now);
  rebuildIndexIfStale();
  return missing;
}

void BackendDirectory::applyColdPhase(BackendServer &server,
                                      const BackendEntry &entry, bool isStart,
                                      absl::Time now) {
  if (entry.ColdRemaining.has_value())
    server.Cold.phase().recordRemaining(*entry.ColdRemaining, now);
  else if (isStart)
    server.Cold.phase().recordStart(now);
}

void BackendDirectory::setColdPolicy(BackendServer &server) const {
  const auto found = ColdPolicies.find(server.Entry.Service);
  server.Cold.setPolicy(found == ColdPolicies.end() ? ColdPolicy()
                                                    : found->second);
}

void BackendDirectory::setColdPolicies(
    std::map<std::string, ColdPolicy, std::less<>> policies) {
  ColdPolicies = std::move(policies);
  for (const auto &[id, server] : Servers)
    setColdPolicy(*server);
}

void BackendDirectory::recordPeerMessage(std::string_view name,
                                         absl::Time now) {
  if (hasColdPolicies())
    Reach.recordMessage(name, now);
}

CellView BackendDirectory::cellView(absl::Time now) const {
  return hasColdPolicies() ? Reach.view(now) : CellView();
}

double BackendDirectory::orderPosition(const BackendServer &server,
                                       const CellView &cell,
                                       absl::Time now) const {
  const bool knowsLoad = cell.ConnectedSince.has_value() &&
                         now - *cell.ConnectedSince >= LoadLearningTime;
  if (!hasColdPolicies() || knowsLoad)
    return server.OrderPosition;
  const double position = server.OrderPosition + OrderOffset;
  return position - std::floor(position);
}

std::vector<std::shared_ptr<BackendServer>>
BackendDirectory::cold(absl::Time now) const {
  std::vector<std::shared_ptr<BackendServer>> result;
  if (!hasColdPolicies())
    return result;
  for (const auto &[id, server] : Servers)
    if (server->Cold.isCold(now))
      result.push_back(server);
  return result;
}

void BackendDirectory::setListUnavailable(absl::Time /*now*/) {
  IsListUnavailable = true;
}

void BackendDirectory::setListAvailable(absl::Time now) {
  if (!IsListUnavailable)
    return;
  IsListUnavailable = false;
  ListAvailableSince = now;
}

bool BackendDirectory::markLeaving(std::string_view id) {
  const auto found = Servers.find(id);
  if (found == Servers.end())
    return false;
  const bool isNew = !found->second->isLeaving();
  found->second->ReportedLeaving = true;
  return isNew;
}

bool BackendDirectory::markLeaving(const BackendEntry &entry, absl::Time now) {
  const auto found = Servers.find(entry.Id);
  if (found != Servers.end() &&
      found->second->Entry.StartedAtMs == entry.StartedAtMs)
    return markLeaving(entry.Id);
  if (found == Servers.end())
    remember(entry, now);
  return false;
}

std::shared_ptr<BackendServer>
BackendDirectory::applyLimit(const BackendLimit &limit, absl::Time now) {
  const std::shared_ptr<BackendServer> server = find(limit.Backend);
  if (server == nullptr || server->Entry.StartedAtMs != limit.StartedAtMs)
    return nullptr;
  return server->Limit.apply(limit.Statement, now) ? server : nullptr;
}

BackendLimit BackendDirectory::limitOf(const BackendServer &server) {
  return {server.Entry.Id, server.Entry.StartedAtMs, server.Limit.statement()};
}

std::vector<BackendLimit> BackendDirectory::limits(absl::Time now) const {
  std::vector<BackendLimit> result;
  for (const auto &[id, server] : Servers) {
    const RequestLimit &limit = server->Limit;
    if (limit.isActive() ||
        now - limit.statement().StatedAt < LiftedLimitMemory)
      result.push_back(limitOf(*server));
  }
  return result;
}

std::vector<std::shared_ptr<BackendServer>>
BackendDirectory::usable(std::string_view service, absl::Time now) const {
  std::vector<std::shared_ptr<BackendServer>> result;
  const auto found = ByService.find(service);
  if (found == ByService.end())
    return result;
  for (const bool isCellOnly : {true, false}) {
    for (const std::shared_ptr<BackendServer> &it : found->second)
      if (it->acceptsWork(now) && !isEvacuated(*it) &&
          (it->InCell || !isCellOnly))
        result.push_back(it);
    if (!result.empty())
      break;
  }
  return result;
}

bool BackendDirectory::isServiceEvacuated(std::string_view service,
                                          absl::Time now) const {
  const auto found = ByService.find(service);
  if (found == ByService.end())
    return false;
  bool isAnyEvacuated = false;
  for (const std::shared_ptr<BackendServer> &it : found->second) {
    if (!it->acceptsWork(now))
      continue;
    if (!isEvacuated(*it))
      return false;
    isAnyEvacuated = true;
  }
  return isAnyEvacuated;
}

std::vector<std::string>
BackendDirectory::idsInZone(std::string_view zone) const {
  std::vector<std::string> result;
  for (const auto &[id, server] : Servers)
    if (server->Entry.Zone == zone)
      result.push_back(id);
  return result;
}

std::shared_ptr<BackendServer>
BackendDirectory::findUsable(std::string_view id, std::string_view service,
                             absl::Time now) const {
  const std::shared_ptr<BackendServer> server = find(id);
  return server != nullptr && server->Entry.Service == service &&
                 server->acceptsWork(now) && !isEvacuated(*server)
             ? server
             : nullptr;
}

bool BackendDirectory::isPartitioned(std::string_view service) const {
  const auto found = ByService.find(service);
  return Plan.cellCount() > 1 && found != ByService.end() &&
         !found->second.empty() && !found->second.front()->IsSharedByCells;
}

std::shared_ptr<BackendServer>
BackendDirectory::find(std::string_view id) const {
  const auto found = Servers.find(id);
  return found == Servers.end() ? nullptr : found->second;
}

std::shared_ptr<BackendServer>
BackendDirectory::findByHash(uint64_t hash) const {
  const auto found = ByHash.find(hash);
  return found == ByHash.end() ? nullptr : found->second;
}

std::vector<std::string> BackendDirectory::leaving() const {
  std::vector<std::string> result;
  for (const auto &[id, server] : Servers)
    if (server->isLeaving())
      result.push_back(id);
  return result;
}

void BackendDirectory::rebuildIndexIfStale() {
  if (IsIndexStale && Batches == 0)
    rebuildIndex();
}

void BackendDirectory::rebuildIndex() {
  IsIndexStale = false;
  ByHash.clear();
  ByService.clear();
  size_t largest = 0;
  for (const auto &[id, server] : Servers) {
    ByHash.emplace(hashOf(id), server);
    auto &servers = ByService[server->Entry.Service];
    servers.push_back(server);
    largest = std::max(largest, servers.size());
  }
  if (!Nodes.empty())
    Plan = CellPlan(Self, Nodes, largest, SplitNodes);
  const std::vector<std::string> &members = Plan.members();
  Reach.setRegistered(members.size());
  const auto self = std::lower_bound(members.begin(), members.end(), Self);
  OrderOffset = evenFraction(members.empty()
                                 ? NodeSeed % UnknownNodes
                                 : static_cast<size_t>(self - members.begin()));
  for (auto &[service, servers] : ByService)
    assignToCell(servers);
}

void BackendDirectory::assignToCell(
    std::vector<std::shared_ptr<BackendServer>> &servers) const {
  std::sort(servers.begin(), servers.end(),
            [](const auto &left, const auto &right) {
              return hashOf(left->Entry.Id) < hashOf(right->Entry.Id);
            });
  // Backend servers that are leaving don't count toward a cell's quota.
  std::vector<BackendPlace> places;
  for (const std::shared_ptr<BackendServer> &it : servers)
    if (!it->Entry.Leaving)
      places.push_back({it->Entry.Id, it->Entry.Zone});
  const std::vector<bool> isInCell = Plan.assignedToCell(places);
  const bool isPartitioned = Plan.isPartitioned(places.size());
  const auto inCellCount = std::count(isInCell.begin(), isInCell.end(), true);
  const std::vector<std::string> &members = Plan.members();
  ColdShare cold;
  cold.Nodes = members.size();
  cold.Position = static_cast<size_t>(
      std::lower_bound(members.begin(), members.end(), Self) - members.begin());
  size_t place = 0;
  size_t position = 0;
  for (const std::shared_ptr<BackendServer> &it : servers) {
    it->InCell = !it->Entry.Leaving && isInCell[place++];
    it->IsSharedByCells = !isPartitioned && Plan.cellCount() > 1;
    cold.Cell =
        isPartitioned ? (it->InCell ? 1 : 0) : Plan.limitShare(it->Entry.Id);
    cold.Seed = NodeSeed ^ hashOf(it->Entry.Id);
    it->Limit.setShare(cold.Cell);
    it->Cold.setShare(cold);
    if (it->InCell)
      it->OrderPosition =
          static_cast<double>(position++) / static_cast<double>(inCellCount);
  }
}

} // namespace orioletally::core::fleet

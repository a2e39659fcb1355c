#ifndef ORIOLETALLY_CORE_FLEET_BACKEND_DIRECTORY_H
#define ORIOLETALLY_CORE_FLEET_BACKEND_DIRECTORY_H

#include "core/engines/engine_load.h"
#include "core/fleet/address_doubt.h"
#include "core/fleet/backend_entry.h"
#include "core/fleet/backend_health.h"
#include "core/fleet/cell_plan.h"
#include "core/fleet/cell_reach.h"
#include "core/fleet/cold_limit.h"
#include "core/fleet/request_limit.h"
#include "core/fleet/zone_evacuations.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::fleet {

/// A backend server and what this node keeps about it.
struct BackendServer {
  BackendEntry Entry;
  BackendHealth Health;
  AddressDoubt Address;
  /// For engines, the load that all nodes have sent to it.
  engines::EngineLoad Load;
  /// Calls from this node in progress on it.
  int64_t InFlight = 0;
  /// Relative position, from 0 to below 1, in the order shared by all nodes of
  /// the cell.
  double OrderPosition = 0;
  /// Whether it is assigned to this node's cell.
  bool InCell = true;
  /// Whether all cells of the fleet use it.
  bool IsSharedByCells = false;
  RequestLimit Limit;
  ColdLimit Cold;
  /// When this or another node last received anything from it.
  absl::Time LastReceivedAt = absl::InfinitePast();
  /// Set when a peer or the backend server itself reported that it is leaving,
  /// possibly before the list shows it.
  bool ReportedLeaving = false;
  /// When an entry that disappeared around an outage of the list is dropped;
  /// infinite for all others.
  absl::Time ExpiresAt = absl::InfiniteFuture();

  /// Whether this start of it was ever said to accept no new work.
  bool isLeaving() const { return Entry.Leaving || ReportedLeaving; }

  bool acceptsWork(absl::Time now) const {
    return !Entry.Leaving && !ReportedLeaving && now < ExpiresAt &&
           Address.acceptsCalls(now);
  }
};

/// The effect of a change of the list.
enum class DirectoryChange { None, Added, Changed, Restarted, Leaving, Gone };

/// Returns the name of \p change in logs.
std::string_view directoryChangeName(DirectoryChange change);

/// Where a change of the list came from.
enum class ChangeSource {
  /// The store itself.
  Store,
  /// Another node, which received it from the store. Its expiry time for a
  /// removal is used, even while the store doesn't answer this node.
  Node,
};

/// The backend servers known to this node, kept up to date from the platform's
/// list.
///
/// During an outage of the list the entries of live backend servers can expire.
/// Those that disappear around an outage stay in use until they have had time
/// to register again.
class BackendDirectory {
public:
  /// Adds \p entry or updates the existing one; ignores one with an older row
  /// version.
  DirectoryChange put(BackendEntry entry, absl::Time now);

  /// Removes the entry \p id, which is no longer in the list. Around an outage
  /// it is only marked to expire.
  DirectoryChange remove(std::string_view id, absl::Time now);

  /// While it exists, the directory isn't searched by service or by hash, and
  /// its index is rebuilt once for all changes, at the end.
  class Batch {
  public:
    explicit Batch(BackendDirectory &directory) : Directory(directory) {
      ++Directory.Batches;
    }
    ~Batch() {
      --Directory.Batches;
      Directory.rebuildIndexIfStale();
    }
    Batch(const Batch &) = delete;
    Batch &operator=(const Batch &) = delete;

  private:
    BackendDirectory &Directory;
  };

  /// Applies \p change, received from \p source.
  DirectoryChange apply(const BackendChange &change, ChangeSource source,
                        absl::Time now);

  /// Sets the nodes among whose cells the backend servers are partitioned; see
  /// CellPlan for \p splitNodes.
  void setNodes(std::string self, std::vector<NodePlace> nodes,
                size_t splitNodes = CellPlan::CellSplitNodes);

  /// Sets the policies of the services whose backend servers can be cold.
  void setColdPolicies(std::map<std::string, ColdPolicy, std::less<>> policies);

  /// Whether the backend servers of any service can be cold.
  bool hasColdPolicies() const { return !ColdPolicies.empty(); }

  /// Sets a number that differs from that of other nodes.
  void setNodeSeed(uint64_t seed) { NodeSeed = seed; }

  /// Records that a message from the node \p name of the cell arrived.
  /// Only observed while backend servers can be cold.
  void recordPeerMessage(std::string_view name, absl::Time now);

  /// How much of the cell this node hears; nothing while no backend server can
  /// be cold.
  CellView cellView(absl::Time now) const;

  /// Returns the order position of \p server that this node goes by: the
  /// shared one, or one of its own while it lacks the load that other nodes
  /// have sent, because all of them would choose the same idle engine.
  double orderPosition(const BackendServer &server, const CellView &cell,
                       absl::Time now) const;

  /// Returns the backend servers that are cold.
  std::vector<std::shared_ptr<BackendServer>> cold(absl::Time now) const;

  /// The partition of the fleet and this node's cell.
  const CellPlan &cell() const { return Plan; }

  /// Replaces all entries by a snapshot of the list. Returns the ids of those
  /// that it lacks.
  std::vector<std::string> replace(std::vector<BackendEntry> entries,
                                   absl::Time now);

  /// Records that the list can't be reached, or that it answered. Repeated
  /// calls have no effect.
  void setListUnavailable(absl::Time now);
  void setListAvailable(absl::Time now);

  /// Records that a peer or the backend server itself reported that \p id
  /// accepts no new work. Returns false if that was known before or if \p id is
  /// unknown.
  bool markLeaving(std::string_view id);

  /// The same for the start of a backend server that \p entry describes, whose
  /// entry may be gone or replaced already.
  bool markLeaving(const BackendEntry &entry, absl::Time now);

  /// Applies what another node read in an answer. Returns the backend server if
  /// that changed its limit, null otherwise.
  std::shared_ptr<BackendServer> applyLimit(const BackendLimit &limit,
                                            absl::Time now);

  /// Returns what \p server stated, to be sent to the other nodes.
  static BackendLimit limitOf(const BackendServer &server);

  /// Returns the limits in force and those lifted recently, to be sent to the
  /// other nodes.
  std::vector<BackendLimit> limits(absl::Time now) const;

  /// The evacuations of availability zones.
  ZoneEvacuations &evacuations() { return Evacuations; }
  const ZoneEvacuations &evacuations() const { return Evacuations; }

  /// Whether nothing new may be sent to \p server because its availability
  /// zone is evacuated.
  bool isEvacuated(const BackendServer &server) const {
    return Evacuations.contains(server.Entry.Zone);
  }

  /// Whether \p service has backend servers that accept new work, but all of
  /// them are in evacuated availability zones.
  bool isServiceEvacuated(std::string_view service, absl::Time now) const;

  /// Returns the ids of the backend servers in \p zone.
  std::vector<std::string> idsInZone(std::string_view zone) const;

  /// Returns the backend servers of \p service that accept new work and aren't
  /// in an evacuated availability zone: those of this node's cell, or those of
  /// the whole fleet if the cell has none.
  std::vector<std::shared_ptr<BackendServer>> usable(std::string_view service,
                                                     absl::Time now) const;

  /// Returns the backend server \p id, of any cell, if it belongs to
  /// \p service and accepts new work; null otherwise.
  std::shared_ptr<BackendServer> findUsable(std::string_view id,
                                            std::string_view service,
                                            absl::Time now) const;

  /// Whether each cell has backend servers of \p service of its own.
  bool isPartitioned(std::string_view service) const;

  /// Returns the backend server \p id; null when unknown.
  std::shared_ptr<BackendServer> find(std::string_view id) const;

  /// Returns the backend server whose id has the hash \p hash; null when
  /// unknown.
  std::shared_ptr<BackendServer> findByHash(uint64_t hash) const;

  /// Returns the ids of listed backend servers that are leaving.
  std::vector<std::string> leaving() const;

  /// Whether a snapshot of the list has been read.
  bool isRead() const { return IsRead; }

  size_t size() const { return Servers.size(); }

  /// Returns the hash that stands for \p id in messages between nodes.
  static uint64_t hashOf(std::string_view id);

private:
  using ServerMap =
      std::map<std::string, std::shared_ptr<BackendServer>, std::less<>>;

  // These leave it to the caller to rebuild the index once, after all changes.
  DirectoryChange putWithoutRebuild(BackendEntry entry, absl::Time now);
  DirectoryChange removeWithoutRebuild(std::string_view id, absl::Time now);
  /// A start of a backend server that was leaving when its entry disappeared.
  struct DepartedStart {
    int64_t StartedAtMs = 0;
    absl::Time GoneAt;
  };

  /// Remembers that \p server was leaving, if it was, before it is dropped.
  void rememberIfLeaving(const BackendServer &server, absl::Time now);
  void remember(const BackendEntry &entry, absl::Time now);
  /// Whether \p entry is of a start that was leaving: the store came back from
  /// an older copy.
  bool isDeparted(const BackendEntry &entry) const;

  DirectoryChange removeAt(ServerMap::iterator found, absl::Time expiresAt,
                           absl::Time now);
  void rebuildIndexIfStale();
  /// Recomputes the lookup tables, the cell's assignment and the order.
  void rebuildIndex();
  /// Records what \p entry, a new start or a newer row, says about the cold
  /// phase of \p server.
  static void applyColdPhase(BackendServer &server, const BackendEntry &entry,
                             bool isStart, absl::Time now);
  void setColdPolicy(BackendServer &server) const;
  void assignToCell(std::vector<std::shared_ptr<BackendServer>> &servers) const;

  /// Ordered by id, so that all nodes compute the same order.
  ServerMap Servers;
  std::map<std::string, DepartedStart, std::less<>> Departed;
  absl::flat_hash_map<uint64_t, std::shared_ptr<BackendServer>> ByHash;
  std::map<std::string, std::vector<std::shared_ptr<BackendServer>>,
           std::less<>>
      ByService;
  std::string Self;
  std::vector<NodePlace> Nodes;
  size_t SplitNodes = CellPlan::CellSplitNodes;
  CellPlan Plan;
  ZoneEvacuations Evacuations;
  CellReach Reach;
  std::map<std::string, ColdPolicy, std::less<>> ColdPolicies;
  uint64_t NodeSeed = 0;
  /// This node's offset to the shared order, from 0 to below 1.
  double OrderOffset = 0;
  bool IsIndexStale = false;
  int Batches = 0;
  bool IsRead = false;
  bool IsListUnavailable = false;
  absl::Time ListAvailableSince = absl::InfinitePast();
};

} // namespace orioletally::core::fleet

#endif

#ifndef ORIOLETALLY_CORE_FLEET_BACKEND_DIRECTORY_H
#define ORIOLETALLY_CORE_FLEET_BACKEND_DIRECTORY_H

#include "core/engines/engine_load.h"
#include "core/fleet/backend_entry.h"
#include "core/fleet/backend_health.h"
#include "core/fleet/cell_plan.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::fleet {

/// One backend server as this node knows it.
struct BackendServer {
  BackendEntry Entry;
  BackendHealth Health;
  /// What all nodes have sent to it, for engines.
  engines::EngineLoad Load;
  /// Calls of this node that are in progress there.
  int64_t InFlight = 0;
  /// Position in the order that all nodes of the cell share, 0 to 1.
  double OrderPosition = 0;
  /// Whether it belongs to this node's cell.
  bool InCell = true;
  /// When this or another node last got anything from it.
  absl::Time LastReceivedAt = absl::InfinitePast();
  /// Set by a peer or by the backend server itself before the list says so.
  bool ReportedLeaving = false;
  /// When an entry that vanished around an outage of the list stops counting;
  /// in the future for all others.
  absl::Time ExpiresAt = absl::InfiniteFuture();

  bool acceptsWork(absl::Time now) const {
    return !Entry.Leaving && !ReportedLeaving && now < ExpiresAt;
  }
};

/// What a change of the list did.
enum class DirectoryChange { None, Added, Changed, Restarted, Leaving, Gone };

/// Returns the name of \p change in logs.
std::string_view directoryChangeName(DirectoryChange change);

/// Who tells of a change of the list.
enum class ChangeSource {
  /// The store itself.
  Store,
  /// Another node, which the store told: its view of when a removal counts
  /// holds, also while the store doesn't answer this node.
  Node,
};

/// The backend servers that this node knows, kept up to date from the
/// platform's list.
///
/// Load answered: an outage of the list in which the entries of live backend
/// servers expire. Those that vanish around it are used until the list has
/// had the time to hear from them again.
class BackendDirectory {
public:
  /// Takes in an entry that is newer than the one known.
  DirectoryChange put(BackendEntry entry, absl::Time now);

  /// The entry \p id is no longer in the list.
  DirectoryChange remove(std::string_view id, absl::Time now);

  /// Takes in \p change as \p source tells of it.
  DirectoryChange apply(const BackendChange &change, ChangeSource source,
                        absl::Time now);

  /// Sets the nodes among which the backend servers are divided.
  void setNodes(std::string self, std::vector<NodePlace> nodes);

  /// The cell that this node belongs to.
  const CellPlan &cell() const { return Plan; }

  /// Replaces the whole list, as read at one moment.
  void replace(std::vector<BackendEntry> entries, absl::Time now);

  /// The list can't be reached, or answered again for the first time.
  void setListUnavailable(absl::Time now);
  void setListAvailable(absl::Time now);

  /// A peer or the backend server itself says that \p id takes no new work.
  /// Returns whether that was news.
  bool markLeaving(std::string_view id);

  /// Returns the backend servers of \p service that may get new work: those of
  /// this node's cell, or all if the cell has none.
  std::vector<std::shared_ptr<BackendServer>> usable(std::string_view service,
                                                     absl::Time now) const;

  /// Returns the backend server called \p id; null when it isn't known.
  std::shared_ptr<BackendServer> find(std::string_view id) const;

  /// Returns the backend server with this \p hash of its id; null if none.
  std::shared_ptr<BackendServer> findByHash(uint64_t hash) const;

  /// Ids of those that are known to be leaving while still listed.
  std::vector<std::string> leaving() const;

  /// Whether a whole list has been read.
  bool isRead() const { return IsRead; }

  size_t size() const { return Servers.size(); }

  /// Hash that names \p id in messages between nodes.
  static uint64_t hashOf(std::string_view id);

private:
  using ServerMap =
      std::map<std::string, std::shared_ptr<BackendServer>, std::less<>>;

  // These leave the orders to whoever calls them, to be worked out once.
  DirectoryChange putWithoutRebuild(BackendEntry entry, absl::Time now);
  DirectoryChange removeWithoutRebuild(std::string_view id, absl::Time now);
  DirectoryChange removeAt(ServerMap::iterator found, absl::Time goneAt,
                           absl::Time now);
  void rebuildIndexIfStale();
  /// Works out anew what belongs to the cell, and the orders.
  void rebuildIndex();
  void assignToCell(std::vector<std::shared_ptr<BackendServer>> &servers) const;

  /// Ordered by id, so that ranks are the same everywhere.
  ServerMap Servers;
  absl::flat_hash_map<uint64_t, std::shared_ptr<BackendServer>> ByHash;
  std::map<std::string, std::vector<std::shared_ptr<BackendServer>>,
           std::less<>>
      ByService;
  std::string Self;
  std::vector<NodePlace> Nodes;
  CellPlan Plan;
  bool IsIndexStale = false;
  bool IsRead = false;
  bool IsListUnavailable = false;
  absl::Time ListAvailableSince = absl::InfinitePast();
};

} // namespace orioletally::core::fleet

#endif

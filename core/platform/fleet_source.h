#ifndef ORIOLETALLY_CORE_PLATFORM_FLEET_SOURCE_H
#define ORIOLETALLY_CORE_PLATFORM_FLEET_SOURCE_H

#include "core/fleet/backend_entry.h"
#include "core/fleet/zone_evacuations.h"
#include "core/platform/fleet_topic.h"
#include "core/relay/quarantined_part.h"
#include "core/routes/routing_config.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::platform {

/// A node's registration in the list of nodes.
struct NodeEntry {
  std::string Name;
  /// "ip:port" at which other nodes reach it.
  std::string PeerAddress;
  std::string Zone;
  std::string Region;
  uint64_t Incarnation = 0;
  /// Version of the row; 0 when it wasn't read from one.
  uint64_t RowVersion = 0;
};

/// Receives the fleet's data from the platform's store. All calls come from one
/// thread.
class FleetListener {
public:
  virtual ~FleetListener() = default;

  /// A valid configuration was read. A version may be repeated, but versions
  /// never decrease.
  virtual void
  configRead(std::shared_ptr<const routes::RoutingConfig> config) = 0;

  /// A snapshot of all evacuations of availability zones was read, with every
  /// change up to \p version. Called before configRead() for the same snapshot,
  /// also when there are none.
  virtual void evacuationsRead(std::vector<fleet::EvacuationChange> evacuations,
                               uint64_t version) = 0;

  /// Evacuations changed; \p changes are all those since the last call and not
  /// empty.
  virtual void
  evacuationsChanged(std::vector<fleet::EvacuationChange> changes) = 0;

  /// A snapshot of all backend servers was read, with every change up to
  /// \p version.
  virtual void backendsRead(std::vector<fleet::BackendEntry> entries,
                            uint64_t version) = 0;

  /// The list of backend servers changed; \p changes are in order and not
  /// empty.
  virtual void backendsChanged(std::vector<fleet::BackendChange> changes) = 0;

  /// The list of all registered nodes was read; it may include this one.
  virtual void nodesRead(const std::vector<NodeEntry> &nodes) = 0;

  /// The quarantined parts of prompts were read.
  virtual void
  quarantineRead(const std::vector<relay::QuarantinedPart> &parts) = 0;

  /// The key with which nodes authenticate each other was read. Returns whether
  /// it is usable.
  virtual bool peerKeyRead(const std::string &key) = 0;

  /// An attempt to unregister \p node ended. \p isRemoved is false when it had
  /// registered again, and so wasn't removed.
  virtual void nodeUnregistered(const NodeEntry &node, bool isRemoved) = 0;

  /// A store call about \p topic failed because of \p reason. Called for each
  /// failed call.
  virtual void storeCallFailed(FleetTopic topic, const std::string &reason) = 0;

  /// The store answered a call about \p topic, and what it said is applied.
  /// \p at is when the answer arrived, or when the read of a whole table began:
  /// the store may have changed since. Called for each answered call.
  virtual void storeCallAnswered(FleetTopic topic, absl::Time at) = 0;

  /// A row of \p topic couldn't be parsed and is skipped.
  virtual void rowRejected(FleetTopic topic, const std::string &key,
                           const std::string &reason) = 0;
};

/// Watches the fleet's data in the platform's store, and keeps this node
/// registered there. Implementations limit the duration and the rate of their
/// store calls.
class FleetSource {
public:
  virtual ~FleetSource() = default;

  /// Starts to watch all topics; \p listener must outlive the source.
  virtual void start(FleetListener &listener) = 0;

  /// Cancels all calls.
  virtual void stop() = 0;

  /// Sets whether to watch \p topic; otherwise other nodes forward its changes.
  /// All topics are watched initially. Returns whether the setting changed.
  virtual bool setWatching(FleetTopic topic, bool isWanted) = 0;

  /// Schedules one read of \p topic, unless one is pending.
  virtual void refresh(FleetTopic topic) = 0;

  /// Reads the changes of \p topic once, without waiting for one, if the topic
  /// isn't watched.
  virtual void readChangesOnce(FleetTopic topic) = 0;

  /// Version up to which all changes of \p topic are known; 0 before the first
  /// read.
  virtual uint64_t knownVersion(FleetTopic topic) = 0;

  /// Records that this node knows all changes of \p topic up to \p version
  /// from others, so that the next read begins after it. Ignored if the store
  /// was restored between that version and the last read.
  virtual void skipTo(FleetTopic topic, uint64_t version) = 0;

  /// Removes this node from the list of nodes for good.
  virtual void unregisterSelf() = 0;

  /// Removes \p nodes from the list, except those that have registered again
  /// since they were read.
  virtual void unregisterNodes(std::vector<NodeEntry> nodes) = 0;

  /// Stores quarantined parts of prompts, so that nodes that start later read
  /// them. Repeats the write until the store has answered it.
  virtual void storeQuarantine(std::vector<relay::QuarantinedPart> parts) = 0;

  /// Parses the configuration \p version that another node forwarded, and calls
  /// configRead() later, or rowRejected() when it is invalid. Of those that
  /// arrive meanwhile, only the newest is parsed.
  virtual void readConfig(uint64_t version, std::string text) = 0;
};

} // namespace orioletally::core::platform

#endif

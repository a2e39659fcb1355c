#ifndef ORIOLETALLY_CORE_PLATFORM_FLEET_SOURCE_H
#define ORIOLETALLY_CORE_PLATFORM_FLEET_SOURCE_H

#include "core/fleet/backend_entry.h"
#include "core/platform/fleet_topic.h"
#include "core/routes/routing_config.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::platform {

/// Another node of the fleet, as it registered itself.
struct NodeEntry {
  std::string Name;
  /// "ip:port" that other nodes reach it under.
  std::string PeerAddress;
  std::string Zone;
  std::string Region;
  uint64_t Incarnation = 0;
  /// Version of the row that says so; 0 where none was read.
  uint64_t RowVersion = 0;
};

/// Hears what the platform knows of the fleet. All calls come from one thread.
class FleetListener {
public:
  virtual ~FleetListener() = default;

  /// A readable configuration; versions may come twice, never out of order.
  virtual void
  configRead(std::shared_ptr<const routes::RoutingConfig> config) = 0;

  /// All backend servers, with every change up to \p version.
  virtual void backendsRead(std::vector<fleet::BackendEntry> entries,
                            uint64_t version) = 0;

  /// Changes of the backend servers, in order.
  virtual void backendsChanged(std::vector<fleet::BackendChange> changes) = 0;

  /// All nodes that have registered themselves, this one included.
  virtual void nodesRead(const std::vector<NodeEntry> &nodes) = 0;

  /// The key that nodes know each other by. Returns whether it is of use.
  virtual bool peerKeyRead(const std::string &key) = 0;

  /// \p node was taken off the list, unless it has registered itself anew.
  virtual void nodeUnregistered(const NodeEntry &node, bool isRemoved) = 0;

  /// \p topic can't be followed, because of \p reason; called for each failed
  /// call.
  virtual void storeCallFailed(FleetTopic topic, const std::string &reason) = 0;

  /// \p topic is being followed; called for each answered call.
  virtual void storeCallAnswered(FleetTopic topic) = 0;

  /// A row of \p topic can't be read and is left out.
  virtual void rowRejected(FleetTopic topic, const std::string &key,
                           const std::string &reason) = 0;
};

/// Follows what the platform keeps about the fleet, and keeps this node
/// registered. Every call of an implementation is bounded in time and paced.
class FleetSource {
public:
  virtual ~FleetSource() = default;

  /// Begins to follow; \p listener outlives the source.
  virtual void start(FleetListener &listener) = 0;

  /// Ends all calls.
  virtual void stop() = 0;

  /// Sets whether changes of \p topic are followed, which they are at first,
  /// or this node hears of them from others. Returns whether that is a change.
  virtual bool setWatching(FleetTopic topic, bool isWanted) = 0;

  /// Reads \p topic once, soon, unless that is being done.
  virtual void refresh(FleetTopic topic) = 0;

  /// Takes this node off the list of nodes, on which it isn't put again.
  virtual void unregisterSelf() = 0;

  /// Takes \p nodes off the list, but for those that have registered
  /// themselves since they were read.
  virtual void unregisterNodes(std::vector<NodeEntry> nodes) = 0;

  /// Reads a configuration that another node passed on; null, after a call of
  /// rowRejected(), when it can't be read.
  virtual std::shared_ptr<const routes::RoutingConfig>
  readConfig(const std::string &text) = 0;
};

} // namespace orioletally::core::platform

#endif

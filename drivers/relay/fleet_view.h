#ifndef ORIOLETALLY_DRIVERS_RELAY_FLEET_VIEW_H
#define ORIOLETALLY_DRIVERS_RELAY_FLEET_VIEW_H

#include "core/fleet/backend_directory.h"
#include "core/fleet/backend_list_versions.h"
#include "core/fleet/store_watch_policy.h"
#include "core/platform/fleet_source.h"
#include "drivers/relay/relay_context.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::drivers::relay {

/// Applies the configuration and the backend servers, as read from the store or
/// received from other nodes, to the node's dispatcher, and logs each change.
class FleetView : public core::platform::FleetListener {
public:
  explicit FleetView(RelayContext &context) : Context(context) {}

  /// \p handler is called after a new configuration takes effect.
  void setConfigChangedHandler(std::function<void()> handler) {
    OnConfigChanged = std::move(handler);
  }

  /// \p handler is called with all registered nodes each time they are read.
  void setNodesReadHandler(
      std::function<void(const std::vector<core::platform::NodeEntry> &)>
          handler) {
    OnNodesRead = std::move(handler);
  }

  /// \p handler is called with the key that authenticates nodes to each other;
  /// it returns false when the key is invalid.
  void setPeerKeyHandler(std::function<bool(const std::string &)> handler) {
    OnPeerKeyRead = std::move(handler);
  }

  void configRead(
      std::shared_ptr<const core::routes::RoutingConfig> config) override;
  void evacuationsRead(std::vector<core::fleet::EvacuationChange> evacuations,
                       uint64_t version) override;
  void evacuationsChanged(
      std::vector<core::fleet::EvacuationChange> changes) override;
  void backendsRead(std::vector<core::fleet::BackendEntry> entries,
                    uint64_t version) override;
  void
  backendsChanged(std::vector<core::fleet::BackendChange> changes) override;
  void nodesRead(const std::vector<core::platform::NodeEntry> &nodes) override;
  void quarantineRead(
      const std::vector<core::relay::QuarantinedPart> &parts) override;
  bool peerKeyRead(const std::string &key) override;
  void nodeUnregistered(const core::platform::NodeEntry &node,
                        bool isRemoved) override;
  void storeCallFailed(core::platform::FleetTopic topic,
                       const std::string &reason) override;
  void storeCallAnswered(core::platform::FleetTopic topic,
                         absl::Time at) override;
  void rowRejected(core::platform::FleetTopic topic, const std::string &key,
                   const std::string &reason) override;

  /// \p handler is called with changes of the backend servers from the store:
  /// all those after version \p since.
  void setBackendsChangedHandler(
      std::function<void(uint64_t since,
                         const std::vector<core::fleet::BackendChange> &)>
          handler) {
    OnBackendsChanged = std::move(handler);
  }

  /// \p predicate returns whether other nodes rely on what this node reads
  /// about the backend servers. It then also announces removals that a snapshot
  /// shows: they don't change the version of any row.
  void setSnapshotAnnounced(std::function<bool()> predicate) {
    IsSnapshotAnnounced = std::move(predicate);
  }

  /// Applies changes that a peer announced, all those after version \p since.
  /// Ignores them if this node lacks earlier ones.
  void applyPeerChanges(uint64_t since,
                        std::vector<core::fleet::BackendChange> changes);

  /// Version up to which all changes of the backend servers are applied.
  uint64_t backendsAppliedVersion() const {
    return ListVersions.appliedVersion();
  }

  /// Version of the newest change of the backend servers.
  uint64_t newestBackendChange() const { return ListVersions.newestChange(); }

  /// When this node's latest calls of the store about \p topic ended.
  const core::fleet::StoreCallTimes &
  storeCalls(core::platform::FleetTopic topic) const {
    return TopicStates[static_cast<size_t>(topic)].Calls;
  }

  /// \p handler is called after the store answered a call about a topic.
  void setStoreAnsweredHandler(
      std::function<void(core::platform::FleetTopic)> handler) {
    OnStoreAnswered = std::move(handler);
  }

  /// Records that the store answered another node about \p topic at \p at, and
  /// that this node has all that the other one has; \p newestBackendChange is
  /// the newest change of the backend servers that the other one has.
  void recordPeerAnswer(core::platform::FleetTopic topic, absl::Time at,
                        uint64_t newestBackendChange);

  /// Marks the backend servers \p ids, which a peer announced, as leaving.
  void applyPeerLeaving(const std::vector<std::string> &ids);

  /// Applies the evacuations that another node stated.
  void applyPeerEvacuations(
      const std::vector<core::fleet::EvacuationChange> &statement,
      uint64_t version);

  /// \p handler is called after evacuations read from the store took effect or
  /// were lifted.
  void setEvacuationsChangedHandler(std::function<void()> handler) {
    OnEvacuationsChanged = std::move(handler);
  }

  /// Applies the request limits that another node knows of.
  void applyPeerLimits(const std::vector<core::fleet::BackendLimit> &limits);

private:
  /// Opens the start gate once there is a configuration and a backend list.
  void openStartGateIfReady();
  struct TopicState {
    bool IsFailing = false;
    absl::Time FailingSince;
    core::fleet::StoreCallTimes Calls;
  };

  /// Applies the changes that are new to this node, and sets in removals how
  /// long the entry is still kept.
  void applyNewChanges(std::vector<core::fleet::BackendChange> &changes,
                       core::fleet::ChangeSource source);
  void apply(const core::fleet::BackendChange &change,
             core::fleet::ChangeSource source, absl::Time now);

  /// Announces that a snapshot of \p version lacks the entries \p missing and
  /// has \p changed, the entries that are newer than version \p since.
  void announceSnapshot(uint64_t since, uint64_t version,
                        std::vector<core::fleet::BackendEntry> changed,
                        const std::vector<std::string> &missing);
  /// Sets how long the entry of a removal is still kept, since nodes that get
  /// the change from this one must not drop it sooner, and how much longer a
  /// backend server is cold.
  void setTimesLeft(core::fleet::BackendChange &change) const;

  /// Logs \p changes, which took effect or were lifted.
  void
  recordEvacuations(const std::vector<core::fleet::EvacuationChange> &changes,
                    std::string_view source);
  void logBackendChange(const core::fleet::BackendEntry &entry,
                        core::fleet::DirectoryChange change);

  RelayContext &Context;
  std::function<void()> OnConfigChanged;
  std::function<void()> OnEvacuationsChanged;
  std::function<void(const std::vector<core::platform::NodeEntry> &)>
      OnNodesRead;
  std::function<bool(const std::string &)> OnPeerKeyRead;
  std::function<void(core::platform::FleetTopic)> OnStoreAnswered;
  std::function<void(uint64_t, const std::vector<core::fleet::BackendChange> &)>
      OnBackendsChanged;
  std::function<bool()> IsSnapshotAnnounced;
  core::fleet::BackendListVersions ListVersions;
  std::array<TopicState, core::platform::FleetTopicCount> TopicStates;
};

} // namespace orioletally::drivers::relay

#endif

#ifndef ORIOLETALLY_DRIVERS_RELAY_FLEET_VIEW_H
#define ORIOLETALLY_DRIVERS_RELAY_FLEET_VIEW_H

#include "core/fleet/backend_directory.h"
#include "core/fleet/list_position.h"
#include "core/platform/fleet_source.h"
#include "drivers/relay/relay_context.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace orioletally::drivers::relay {

/// Keeps what the node believes of the fleet in step with the platform, and
/// logs each change of it.
class FleetView : public core::platform::FleetListener {
public:
  explicit FleetView(RelayContext &context) : Context(context) {}

  /// Called after a change that other nodes should hear of.
  void setConfigChangedHandler(std::function<void()> handler) {
    OnConfigChanged = std::move(handler);
  }

  /// Called with the nodes that have registered themselves.
  void setNodesReadHandler(
      std::function<void(const std::vector<core::platform::NodeEntry> &)>
          handler) {
    OnNodesRead = std::move(handler);
  }

  /// Called with the key that nodes know each other by; returns whether it is
  /// of use.
  void setPeerKeyHandler(std::function<bool(const std::string &)> handler) {
    OnPeerKeyRead = std::move(handler);
  }

  void configRead(
      std::shared_ptr<const core::routes::RoutingConfig> config) override;
  void backendsRead(std::vector<core::fleet::BackendEntry> entries,
                    uint64_t version) override;
  void
  backendsChanged(std::vector<core::fleet::BackendChange> changes) override;
  void nodesRead(const std::vector<core::platform::NodeEntry> &nodes) override;
  bool peerKeyRead(const std::string &key) override;
  void nodeForgotten(const core::platform::NodeEntry &node,
                     bool isRemoved) override;
  void topicLost(core::platform::FleetTopic topic,
                 const std::string &reason) override;
  void topicFollowed(core::platform::FleetTopic topic) override;
  void rowRejected(core::platform::FleetTopic topic, const std::string &key,
                   const std::string &reason) override;

  /// Called with changes of the backend servers that the store told this node
  /// of, and the version that they follow.
  void setBackendsChangedHandler(
      std::function<void(uint64_t since,
                         const std::vector<core::fleet::BackendChange> &)>
          handler) {
    OnBackendsChanged = std::move(handler);
  }

  /// Takes in changes that a peer passes on, all those after \p since; leaves
  /// them if earlier ones are missing.
  void applyPeerChanges(uint64_t since,
                        std::vector<core::fleet::BackendChange> changes);

  /// Version up to which every change of the backend servers is known.
  uint64_t backendsAppliedVersion() const { return Position.knownTo(); }

  /// Version of the newest change of the backend servers.
  uint64_t newestBackendChange() const { return Position.changedAt(); }

  /// When the store last told this node about \p topic.
  absl::Time storeAnsweredAt(core::platform::FleetTopic topic) const {
    return Topics[static_cast<size_t>(topic)].AnsweredAt;
  }

  /// Takes in what a peer says of leaving backend servers.
  void applyPeerLeaving(const std::vector<std::string> &ids);

private:
  /// Lets calls through that came before the fleet was known.
  void openStartGateIfReady();
  struct TopicState {
    bool IsLost = false;
    absl::Time LostAt;
    absl::Time AnsweredAt = absl::InfinitePast();
  };

  /// Puts the changes in force that aren't known; fills in when removals count.
  void applyNew(std::vector<core::fleet::BackendChange> &changes,
                core::fleet::ChangeSource source);
  void apply(const core::fleet::BackendChange &change,
             core::fleet::ChangeSource source, absl::Time now);

  void logBackend(const core::fleet::BackendEntry &entry,
                  core::fleet::DirectoryChange change);

  RelayContext &Context;
  std::function<void()> OnConfigChanged;
  std::function<void(const std::vector<core::platform::NodeEntry> &)>
      OnNodesRead;
  std::function<bool(const std::string &)> OnPeerKeyRead;
  std::function<void(uint64_t, const std::vector<core::fleet::BackendChange> &)>
      OnBackendsChanged;
  core::fleet::ListPosition Position;
  std::array<TopicState, core::platform::FleetTopics> Topics;
};

} // namespace orioletally::drivers::relay

#endif

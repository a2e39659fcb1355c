#include "core/platform/fleet_topic.h"

#include <array>

namespace orioletally::core::platform {

namespace {
constexpr std::array<std::string_view, FleetTopicCount> TopicNames = {
    "config", "backends", "nodes", "quarantine"};
} // namespace

std::string_view fleetTopicName(FleetTopic topic) {
  return TopicNames[static_cast<size_t>(topic)];
}

} // namespace orioletally::core::platform

#ifndef ORIOLETALLY_CORE_PLATFORM_FLEET_TOPIC_H
#define ORIOLETALLY_CORE_PLATFORM_FLEET_TOPIC_H

#include <cstddef>
#include <string_view>

namespace orioletally::core::platform {

/// The kinds of data that a FleetSource reads from the store.
enum class FleetTopic { Config, Backends, Nodes, Quarantine };

constexpr size_t FleetTopicCount = 4;

/// Returns the name of \p topic in logs and metrics.
std::string_view fleetTopicName(FleetTopic topic);

} // namespace orioletally::core::platform

#endif

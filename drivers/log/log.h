#ifndef ORIOLETALLY_DRIVERS_LOG_LOG_H
#define ORIOLETALLY_DRIVERS_LOG_LOG_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace orioletally::drivers::log {

enum class Level { Debug, Info, Warn, Error };

/// Returns the name of \p level in settings and log lines.
std::string_view levelName(Level level);

/// Returns the level with the name \p name, or Info if there is none.
Level levelFromName(std::string_view name);

/// Sets the node and incarnation that every line of this process states, and
/// the lowest level that is written. Call once, before any thread is started.
void setIdentity(std::string node, uint64_t incarnation, Level minLevel);

/// Writes one JSON line to standard output. \p fields is an object and must not
/// contain prompts or answers. Never blocks: lines above the rate limit, and
/// lines that standard output has no room for, are dropped and counted.
void write(Level level, std::string_view event,
           const nlohmann::json &fields = nlohmann::json::object());

/// Number of lines dropped since the process started.
uint64_t droppedLines();

} // namespace orioletally::drivers::log

#endif

#ifndef ORIOLETALLY_DRIVERS_LOG_LOG_H
#define ORIOLETALLY_DRIVERS_LOG_LOG_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace orioletally::drivers::log {

enum class Level { Debug, Info, Warn, Error };

/// Returns the name of \p level as settings and log lines write it.
std::string_view levelName(Level level);

/// Returns the level called \p name; an unknown name stands for Info.
Level levelFromName(std::string_view name);

/// Sets what every line of this process carries. Call once, before threads.
void setIdentity(std::string node, uint64_t incarnation, Level minLevel);

/// Writes one JSON line to standard output. \p fields is an object; prompts and
/// answers never go in. Never blocks: lines beyond the bound on their rate, and
/// those that the reader has no room for, are dropped and counted.
void write(Level level, std::string_view event,
           const nlohmann::json &fields = nlohmann::json::object());

/// Lines that were dropped so far.
uint64_t droppedLines();

} // namespace orioletally::drivers::log

#endif

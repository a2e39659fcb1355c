#include "drivers/log/log.h"

#include "drivers/clock/clock.h"

#include <absl/time/time.h>
#include <array>
#include <cstdio>
#include <fmt/format.h>
#include <utility>

namespace orioletally::drivers::log {

namespace {

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info", "warn",
                                                        "error"};

struct Identity {
  std::string Node;
  uint64_t Incarnation = 0;
  Level Least = Level::Info;
};

Identity &identity() {
  static Identity instance;
  return instance;
}

} // namespace

std::string_view levelName(Level level) {
  return LevelNames[static_cast<size_t>(level)];
}

Level levelFromName(std::string_view name) {
  for (size_t n = 0; n < LevelNames.size(); ++n)
    if (LevelNames[n] == name)
      return static_cast<Level>(n);
  return Level::Info;
}

void setIdentity(std::string node, uint64_t incarnation, Level least) {
  identity() = {std::move(node), incarnation, least};
}

void write(Level level, std::string_view event, const nlohmann::json &fields) {
  if (level < identity().Least)
    return;
  nlohmann::ordered_json line;
  line["time"] = absl::FormatTime(absl::RFC3339_full, clock::wallNow(),
                                  absl::UTCTimeZone());
  line["level"] = levelName(level);
  line["node"] = identity().Node;
  line["incarnation"] = identity().Incarnation;
  line["event"] = event;
  for (const auto &[key, value] : fields.items())
    line[key] = value;
  const auto replace = nlohmann::ordered_json::error_handler_t::replace;
  fmt::print(stderr, "{}\n", line.dump(-1, ' ', false, replace));
}

} // namespace orioletally::drivers::log

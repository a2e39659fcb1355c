#include "drivers/log/log.h"

#include "drivers/clock/clock.h"

#include <absl/time/time.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace orioletally::drivers::log {

namespace {

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info", "warn",
                                                        "error"};

struct Identity {
  std::string Node;
  uint64_t Incarnation = 0;
  Level MinLevel = Level::Info;
};

/// Limits of the average rate and of a burst. A node writes three lines per
/// call; the rate is ten times what its share of the calls needs.
constexpr double LinesPerSecond = 400;
constexpr double MaxLineBurst = 800;

/// Limits the rate of lines with a token bucket.
class LineRateLimit {
public:
  bool tryTake(absl::Time now) {
    const std::lock_guard lock(Guard);
    const double refill =
        absl::ToDoubleSeconds(now - RefilledAt) * LinesPerSecond;
    Tokens = std::min(MaxLineBurst, Tokens + std::max(0.0, refill));
    RefilledAt = now;
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  std::mutex Guard;
  double Tokens = MaxLineBurst;
  absl::Time RefilledAt = clock::steadyNow();
};

std::atomic<uint64_t> &droppedCount() {
  static std::atomic<uint64_t> count = 0;
  return count;
}

bool isOutputWritable() {
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

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

void setIdentity(std::string node, uint64_t incarnation, Level minLevel) {
  identity() = {std::move(node), incarnation, minLevel};
}

void write(Level level, std::string_view event, const nlohmann::json &fields) {
  if (level < identity().MinLevel)
    return;
  static LineRateLimit limit;
  if (!limit.tryTake(clock::steadyNow())) {
    ++droppedCount();
    return;
  }
  nlohmann::ordered_json line;
  line["time"] = absl::FormatTime(absl::RFC3339_full, clock::wallNow(),
                                  absl::UTCTimeZone());
  line["level"] = levelName(level);
  line["node"] = identity().Node;
  line["incarnation"] = identity().Incarnation;
  line["event"] = event;
  for (const auto &[key, value] : fields.items())
    line[key] = value;
  if (const uint64_t dropped = droppedCount(); dropped > 0)
    line["lines_dropped"] = dropped;
  const auto replace = nlohmann::ordered_json::error_handler_t::replace;
  const std::string text = line.dump(-1, ' ', false, replace) + "\n";
  // If the pipe accepts only part of the line, the rest is lost.
  if (!isOutputWritable() ||
      ::write(STDOUT_FILENO, text.data(), text.size()) < 0)
    ++droppedCount();
}

uint64_t droppedLines() { return droppedCount(); }

} // namespace orioletally::drivers::log

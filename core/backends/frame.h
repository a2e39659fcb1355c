#ifndef ORIOLETALLY_CORE_BACKENDS_FRAME_H
#define ORIOLETALLY_CORE_BACKENDS_FRAME_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace orioletally::core::backends {

/// The kind of one frame of an engine's stream.
enum class FrameKind { Accepted, Token, Heartbeat, Final };

/// Returns the wire name of \p kind.
std::string_view frameKindName(FrameKind kind);

/// Returns the kind with the wire name \p name, or nothing if there is none.
std::optional<FrameKind> frameKindFromName(std::string_view name);

/// Number of engine priorities, 0 to 9; streams of priority 9 run first.
constexpr size_t PriorityCount = 10;

/// Prompt tokens by the priority of their streams.
using TokensByPriority = std::array<int64_t, PriorityCount>;

/// The load that an engine reports; it may be seconds old.
struct LoadReport {
  /// Prompt tokens that are in prefill or wait for it. If an engine reports
  /// only the sum, all of them count at the highest priority.
  TokensByPriority QueuedPrefill{};
  /// Streams that occupy memory of the engine.
  int64_t Streams = 0;
  /// KV memory that no stream occupies, in tokens.
  int64_t FreeTokens = 0;

  /// Prompt tokens in prefill or waiting for it, summed over all priorities.
  int64_t queuedPrefillTokens() const;

  bool operator==(const LoadReport &) const = default;
};

/// One frame of a stream. The request id, the attempt and the offset give its
/// place in an answer; a frame out of place is never passed on.
struct Frame {
  FrameKind Kind = FrameKind::Heartbeat;
  std::string RequestId;
  uint32_t Attempt = 0;
  /// Index of the token; for Final, the number of tokens in the whole answer.
  uint64_t Offset = 0;
  std::string Text;
  /// Why generation stopped; set only on Final.
  std::string FinishReason;
  /// Whether the backend server has begun to drain.
  bool Draining = false;
  std::optional<LoadReport> Load;
};

} // namespace orioletally::core::backends

#endif

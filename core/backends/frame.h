#ifndef ORIOLETALLY_CORE_BACKENDS_FRAME_H
#define ORIOLETALLY_CORE_BACKENDS_FRAME_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace orioletally::core::backends {

/// What one frame of an engine's stream says.
enum class FrameKind { Accepted, Token, Heartbeat, Final };

/// Returns the wire name of \p kind.
std::string_view frameKindName(FrameKind kind);

/// Returns the kind that \p name stands for on the wire.
std::optional<FrameKind> frameKindFromName(std::string_view name);

/// Priorities that engines know, 0 to 9; 9 goes first.
constexpr size_t PriorityCount = 10;

/// Prompt tokens by the priority of their streams.
using TokensByPriority = std::array<int64_t, PriorityCount>;

/// The load that an engine reports of itself; it may be seconds old.
struct LoadReport {
  /// Prompt tokens that wait for or are in prefill. An engine that tells only
  /// their sum has them all at the highest priority.
  TokensByPriority QueuedPrefill{};
  /// Streams that the engine holds.
  int64_t Streams = 0;
  /// KV memory not held by any stream, in tokens.
  int64_t FreeTokens = 0;

  /// Tokens in prefill or waiting for it, of all priorities.
  int64_t queuedPrefillTokens() const;

  bool operator==(const LoadReport &) const = default;
};

/// One frame of a stream. The triple of request, attempt and offset says whose
/// answer it belongs to and where; a frame that doesn't fit is never passed on.
struct Frame {
  FrameKind Kind = FrameKind::Heartbeat;
  std::string RequestId;
  uint32_t Attempt = 0;
  /// Index of the token; for Final, the number of tokens of the whole answer.
  uint64_t Offset = 0;
  std::string Text;
  /// Why the engine stopped; set on Final.
  std::string FinishReason;
  /// Set once the backend server has begun to leave.
  bool Draining = false;
  std::optional<LoadReport> Load;
};

} // namespace orioletally::core::backends

#endif

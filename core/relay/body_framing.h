#ifndef ORIOLETALLY_CORE_RELAY_BODY_FRAMING_H
#define ORIOLETALLY_CORE_RELAY_BODY_FRAMING_H

#include <string_view>

namespace orioletally::core::relay {

/// What marks the end of an answer's body.
enum class BodyFraming {
  /// A length in the head.
  Length,
  /// The last chunk.
  Chunks,
  /// The end of the connection, which also follows a crash of the sender.
  ConnectionClose,
};

/// Returns the name of \p framing in logs and metrics.
std::string_view bodyFramingName(BodyFraming framing);

} // namespace orioletally::core::relay

#endif

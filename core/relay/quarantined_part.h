#ifndef ORIOLETALLY_CORE_RELAY_QUARANTINED_PART_H
#define ORIOLETALLY_CORE_RELAY_QUARANTINED_PART_H

#include <absl/time/time.h>
#include <string>

namespace orioletally::core::relay {

/// A part of prompts with which no prompt is sent to a backend server for some
/// time.
struct QuarantinedPart {
  /// Id of the part.
  std::string Part;
  absl::Duration TimeLeft;
};

} // namespace orioletally::core::relay

#endif

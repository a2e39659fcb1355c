#ifndef ORIOLETALLY_CORE_RELAY_CONFIG_REFUSAL_H
#define ORIOLETALLY_CORE_RELAY_CONFIG_REFUSAL_H

#include "core/errors/request_error.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>

namespace orioletally::core::relay {

/// How up to date a node's configuration is.
struct ConfigCurrency {
  /// When the configuration last lacked nothing that the store had; infinite
  /// past for never.
  absl::Time CurrentAt = absl::InfinitePast();
  /// Whether the node knows that from a peer, not from the store itself.
  bool IsFromPeer = false;
  /// Newest version that another node has reported; 0 for none.
  uint64_t NewestReported = 0;
};

/// Why a configuration doesn't allow a call.
struct ConfigObjection {
  errors::ErrorCode Code;
  std::string Message;
  /// Version of the configuration.
  uint64_t Version;
};

/// Time from the store's confirmation of a configuration within which nodes
/// must follow it, unless the settings name another.
constexpr absl::Duration DefaultConfigMaxAge = absl::Seconds(2);

/// Returns the refusal of a call that the configuration doesn't allow. Callers
/// don't repeat a call after the error of \p objection, and a newer
/// configuration may allow it. So if the one in force may be outdated by more
/// than \p maxAge, the caller is asked to come back.
///
/// Answers the load of callers whose route or key is new to nodes that the
/// store doesn't reach.
errors::RequestError refuseByConfig(const ConfigObjection &objection,
                                    const ConfigCurrency &currency,
                                    absl::Duration maxAge, absl::Time now);

} // namespace orioletally::core::relay

#endif

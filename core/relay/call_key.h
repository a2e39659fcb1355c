#ifndef ORIOLETALLY_CORE_RELAY_CALL_KEY_H
#define ORIOLETALLY_CORE_RELAY_CALL_KEY_H

#include <string>
#include <string_view>
#include <vector>

namespace orioletally::core::relay {

/// What makes two calls the same, apart from their attempt ids.
struct CallIdentity {
  std::string_view Method;
  std::string_view Host;
  std::string_view Target;
  /// The caller's API key; empty for none.
  std::string_view ApiKey;
  /// The body or, for calls without one, the id of their prompt.
  std::string_view Body;
};

/// Returns a key that repetitions of a call share, on all nodes. No part of a
/// prompt has such an id.
std::string callKey(const CallIdentity &call);

/// Whether \p id is the key of a call and not the id of a part of a prompt.
bool isCallKey(std::string_view id);

/// Returns what may be the cause if the call \p key crashes a backend server:
/// the call itself and the parts \p promptParts of its prompt, of which the
/// last one belongs to this prompt alone. Ends with the id of the prompt.
std::vector<std::string> crashSuspects(const std::string &key,
                                       std::vector<std::string> promptParts);

} // namespace orioletally::core::relay

#endif

#ifndef ORIOLETALLY_CORE_REQUESTS_REQUEST_PLAN_H
#define ORIOLETALLY_CORE_REQUESTS_REQUEST_PLAN_H

#include "core/profiles/profile.h"
#include "core/routing/backend_selector.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace orioletally::core::requests {

/// The parameters of a completion, which are fixed at admission. `Profile` is a
/// copy, so a later change of the profile doesn't affect this request.
struct RequestPlan {
  std::string RequestId;
  std::string Workspace;
  profiles::Profile Profile;
  int64_t PromptTokens = 0;
  int64_t MaxTokens = 0;
  /// Hashes of the prompt's prefixes for routing, shortest first.
  std::vector<routing::PrefixHash> Prefix;
  /// Whether tokens are sent to the caller as they arrive. Such an answer can't
  /// be restarted once a token was sent.
  bool Streaming = false;
  absl::Time Deadline;
};

} // namespace orioletally::core::requests

#endif

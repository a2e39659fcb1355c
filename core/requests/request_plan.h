#ifndef ORIOLETALLY_CORE_REQUESTS_REQUEST_PLAN_H
#define ORIOLETALLY_CORE_REQUESTS_REQUEST_PLAN_H

#include "core/profiles/profile.h"
#include "core/routing/backend_selector.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace orioletally::core::requests {

/// Everything that is settled about a completion at admission. The profile is
/// the copy in force then; a later change doesn't touch this request.
struct RequestPlan {
  std::string RequestId;
  std::string Workspace;
  profiles::Profile Profile;
  int64_t PromptTokens = 0;
  int64_t MaxTokens = 0;
  /// Marks of the prompt's beginning for prefix routing, shortest first.
  std::vector<routing::PrefixHash> Prefix;
  /// True when tokens go to the caller as they come. Such an answer can't be
  /// begun again once a token was passed on.
  bool Streaming = false;
  absl::Time Deadline;
};

} // namespace orioletally::core::requests

#endif

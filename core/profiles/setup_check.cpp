#include "core/profiles/setup_check.h"

#include <absl/algorithm/container.h>
#include <algorithm>
#include <fmt/format.h>

namespace orioletally::core::profiles {

namespace {

using fields::FieldValues;
using platform::Vm;
using platform::VmRole;

constexpr int64_t MsPerSecond = 1000;

void checkEngines(const FieldValues &values, const std::vector<Vm> &vms,
                  std::vector<std::string> &findings) {
  const std::string &model = values.text("model");
  int64_t largestMemory = 0;
  int64_t fastestRate = 0;
  bool isServed = false;
  for (const Vm &it : vms) {
    if (it.Role != VmRole::Engine || it.Leaving || it.Model != model)
      continue;
    isServed = true;
    largestMemory = std::max(largestMemory, it.MemoryTokens);
    fastestRate = std::max(fastestRate, it.PrefillTokensPerSecond);
  }
  if (!isServed) {
    findings.push_back(fmt::format("model: no engine has {}", model));
    return;
  }
  const int64_t longestPrompt = values.integer("max_prompt_tokens");
  if (longestPrompt >= largestMemory)
    findings.push_back(
        fmt::format("max_prompt_tokens: {} and an answer are more than the "
                    "{} tokens that the largest engine holds",
                    longestPrompt, largestMemory));
  const int64_t deadlineMs = values.integer("deadline_ms");
  const int64_t longestPrefillMs =
      fastestRate > 0 ? longestPrompt * MsPerSecond / fastestRate : 0;
  if (longestPrefillMs >= deadlineMs)
    findings.push_back(
        fmt::format("deadline_ms: the fastest engine needs {} ms for the "
                    "longest prompt, the deadline is {} ms",
                    longestPrefillMs, deadlineMs));
}

void checkService(const FieldValues &values, const std::vector<Vm> &vms,
                  std::vector<std::string> &findings) {
  const std::string &service = values.text("service");
  const bool isServed = absl::c_any_of(vms, [&](const Vm &it) {
    return it.Role == VmRole::Service && !it.Leaving && it.Service == service;
  });
  if (!isServed)
    findings.push_back(
        fmt::format("service: no backend server runs {}", service));
}

} // namespace

std::vector<std::string> checkSetup(const FieldValues &values,
                                    const SetupContext &context) {
  std::vector<std::string> findings;
  if (values.text("kind") == "service")
    checkService(values, context.Vms, findings);
  else
    checkEngines(values, context.Vms, findings);
  for (const std::string &it : values.list("workspaces"))
    if (!absl::c_linear_search(context.Workspaces, it))
      findings.push_back(fmt::format("workspaces: no token belongs to {}", it));
  return findings;
}

} // namespace orioletally::core::profiles

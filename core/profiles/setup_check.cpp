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
                  std::vector<std::string> &faults) {
  const std::string &model = values.text("model");
  int64_t memory = 0;
  int64_t rate = 0;
  bool isServed = false;
  for (const Vm &it : vms) {
    if (it.Role != VmRole::Engine || it.Leaving || it.Model != model)
      continue;
    isServed = true;
    memory = std::max(memory, it.MemoryTokens);
    rate = std::max(rate, it.PrefillTokensPerSecond);
  }
  if (!isServed) {
    faults.push_back(fmt::format("model: no engine has {}", model));
    return;
  }
  const int64_t prompt = values.integer("max_prompt_tokens");
  if (prompt >= memory)
    faults.push_back(
        fmt::format("max_prompt_tokens: {} and an answer are more than the "
                    "{} tokens that the largest engine holds",
                    prompt, memory));
  const int64_t deadline = values.integer("deadline_ms");
  const int64_t longest = rate > 0 ? prompt * MsPerSecond / rate : 0;
  if (longest >= deadline)
    faults.push_back(
        fmt::format("deadline_ms: the fastest engine needs {} ms for the "
                    "longest prompt, the deadline is {} ms",
                    longest, deadline));
}

void checkService(const FieldValues &values, const std::vector<Vm> &vms,
                  std::vector<std::string> &faults) {
  const std::string &service = values.text("service");
  const bool isServed = absl::c_any_of(vms, [&](const Vm &it) {
    return it.Role == VmRole::Service && !it.Leaving && it.Service == service;
  });
  if (!isServed)
    faults.push_back(
        fmt::format("service: no backend server runs {}", service));
}

} // namespace

std::vector<std::string> findSetupFaults(const FieldValues &values,
                                         const SetupSurroundings &around) {
  std::vector<std::string> faults;
  if (values.text("kind") == "service")
    checkService(values, around.Vms, faults);
  else
    checkEngines(values, around.Vms, faults);
  for (const std::string &it : values.list("workspaces"))
    if (!absl::c_linear_search(around.Workspaces, it))
      faults.push_back(fmt::format("workspaces: no token belongs to {}", it));
  return faults;
}

} // namespace orioletally::core::profiles

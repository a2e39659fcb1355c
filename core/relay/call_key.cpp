#include "core/relay/call_key.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace orioletally::core::relay {

namespace {

/// The ids of parts contain no colon.
constexpr std::string_view Prefix = "call:";

} // namespace

std::string callKey(const CallIdentity &call) {
  XXH64_hash_t hash = 0;
  for (const std::string_view it :
       {call.Method, call.Host, call.Target, call.ApiKey, call.Body})
    hash = XXH3_64bits_withSeed(it.data(), it.size(), hash);
  return fmt::format("{}{:016x}", Prefix, hash);
}

bool isCallKey(std::string_view id) { return id.starts_with(Prefix); }

std::vector<std::string> crashSuspects(const std::string &key,
                                       std::vector<std::string> promptParts) {
  if (promptParts.empty())
    return {key, key};
  promptParts.insert(promptParts.begin(), key);
  return promptParts;
}

} // namespace orioletally::core::relay

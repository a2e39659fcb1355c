#ifndef ORIOLETALLY_CORE_REQUESTS_LENGTH_CLASS_H
#define ORIOLETALLY_CORE_REQUESTS_LENGTH_CLASS_H

#include <cstdint>
#include <string_view>

namespace orioletally::core::requests {

/// Prompts by length, for measures and for shares of capacity.
enum class LengthClass { Short, Medium, Long, Huge };

/// Longest prompt of each class, in tokens; Huge has no bound.
constexpr int64_t ShortPromptTokens = 4'000;
constexpr int64_t MediumPromptTokens = 32'000;
constexpr int64_t LongPromptTokens = 100'000;

/// Returns the class of a prompt of \p tokens tokens.
LengthClass lengthClassOf(int64_t tokens);

/// Returns the priority that an engine is told: the profile's, raised for short
/// prompts and lowered for the longest, so that a short question isn't kept
/// behind the prefill of a register.
int64_t enginePriority(int64_t profilePriority, int64_t promptTokens);

/// Returns the name of \p length in metrics.
std::string_view lengthClassName(LengthClass length);

} // namespace orioletally::core::requests

#endif

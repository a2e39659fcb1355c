#ifndef ORIOLETALLY_CORE_REQUESTS_LENGTH_CLASS_H
#define ORIOLETALLY_CORE_REQUESTS_LENGTH_CLASS_H

#include <cstdint>
#include <string_view>

namespace orioletally::core::requests {

/// Classes of prompts by length, for metrics and priorities.
enum class LengthClass { Short, Medium, Long, Huge };

/// Longest prompt of each class, in tokens; Huge has no limit.
constexpr int64_t ShortPromptTokens = 4'000;
constexpr int64_t MediumPromptTokens = 32'000;
constexpr int64_t LongPromptTokens = 100'000;

/// Returns the class of a prompt of \p tokens tokens.
LengthClass lengthClassOf(int64_t tokens);

/// Returns the priority that is sent to the engine: the profile's, raised for
/// short prompts and lowered for long ones, so that a short prompt doesn't wait
/// for the prefill of a long document.
int64_t enginePriority(int64_t profilePriority, int64_t promptTokens);

/// Returns the name of \p length in metric labels.
std::string_view lengthClassName(LengthClass length);

} // namespace orioletally::core::requests

#endif

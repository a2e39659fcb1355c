#include "core/requests/length_class.h"

#include <algorithm>
#include <array>

namespace orioletally::core::requests {

namespace {
constexpr std::array<std::string_view, 4> ClassNames = {"short", "medium",
                                                        "long", "huge"};
constexpr std::array<int64_t, 4> PriorityShiftByClass = {2, 1, -1, -2};
constexpr int64_t LowestPriority = 0;
constexpr int64_t HighestPriority = 9;
} // namespace

LengthClass lengthClassOf(int64_t tokens) {
  if (tokens <= ShortPromptTokens)
    return LengthClass::Short;
  if (tokens <= MediumPromptTokens)
    return LengthClass::Medium;
  return tokens <= LongPromptTokens ? LengthClass::Long : LengthClass::Huge;
}

int64_t enginePriority(int64_t profilePriority, int64_t promptTokens) {
  const auto length = static_cast<size_t>(lengthClassOf(promptTokens));
  return std::clamp<int64_t>(profilePriority + PriorityShiftByClass[length],
                             LowestPriority, HighestPriority);
}

std::string_view lengthClassName(LengthClass length) {
  return ClassNames[static_cast<size_t>(length)];
}

} // namespace orioletally::core::requests

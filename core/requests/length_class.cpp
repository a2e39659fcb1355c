#include "core/requests/length_class.h"

#include <array>

namespace orioletally::core::requests {

namespace {
constexpr std::array<std::string_view, 4> ClassNames = {"short", "medium",
                                                        "long", "huge"};
} // namespace

LengthClass lengthClassOf(int64_t tokens) {
  if (tokens <= ShortPromptTokens)
    return LengthClass::Short;
  if (tokens <= MediumPromptTokens)
    return LengthClass::Medium;
  return tokens <= LongPromptTokens ? LengthClass::Long : LengthClass::Huge;
}

std::string_view lengthClassName(LengthClass length) {
  return ClassNames[static_cast<size_t>(length)];
}

} // namespace orioletally::core::requests

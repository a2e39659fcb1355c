#include "core/relay/body_framing.h"

#include <array>
#include <cstddef>

namespace orioletally::core::relay {

namespace {

constexpr std::array<std::string_view, 3> FramingNames = {"length", "chunks",
                                                          "connection_close"};

} // namespace

std::string_view bodyFramingName(BodyFraming framing) {
  return FramingNames[static_cast<size_t>(framing)];
}

} // namespace orioletally::core::relay

#include "core/membership/member.h"

#include <array>
#include <tuple>

namespace orioletally::core::membership {

namespace {
constexpr std::array<std::string_view, 4> StatusNames = {"alive", "suspect",
                                                         "dead", "left"};
} // namespace

std::string_view memberStatusName(MemberStatus status) {
  return StatusNames[static_cast<size_t>(status)];
}

bool isNewer(const Member &one, const Member &two) {
  return std::tie(one.Incarnation, one.StateVersion) >
         std::tie(two.Incarnation, two.StateVersion);
}

} // namespace orioletally::core::membership

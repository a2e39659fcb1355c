#include "core/holdings/holding_sweep.h"

#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace orioletally::core::holdings {

namespace {

using backends::StreamHolding;
using membership::Member;
using membership::MemberStatus;
using membership::MemberView;

constexpr int Hexadecimal = 16;

/// Returns whether the process that owns the holding has ended.
bool isOwnerGone(const HoldingOwner &owner, const Member &self,
                 const std::vector<MemberView> &members) {
  if (owner.Node == self.Name)
    return owner.Incarnation < self.Incarnation;
  for (const MemberView &it : members) {
    if (it.Info.Name != owner.Node)
      continue;
    const bool isGone =
        it.Status == MemberStatus::Dead || it.Status == MemberStatus::Left;
    return isGone || owner.Incarnation < it.Info.Incarnation;
  }
  // An unknown owner may be alive on the other side of a partition.
  return false;
}

bool mayRelease(const StreamHolding &holding, const Member &self,
                const std::vector<MemberView> &members) {
  if (holding.TimeLeft < -DeadlineGrace)
    return true;
  if (holding.DetachedFor < DetachedTimeout)
    return false;
  const auto owner = parseOwner(holding.Owner);
  return owner.has_value() && isOwnerGone(*owner, self, members);
}

} // namespace

std::string formatOwner(const HoldingOwner &owner) {
  return fmt::format("{}/{:x}", owner.Node, owner.Incarnation);
}

std::optional<HoldingOwner> parseOwner(std::string_view text) {
  const size_t slash = text.rfind('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  HoldingOwner owner;
  owner.Node = text.substr(0, slash);
  const char *begin = text.data() + slash + 1;
  const char *end = text.data() + text.size();
  const auto parsed =
      std::from_chars(begin, end, owner.Incarnation, Hexadecimal);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return owner;
}

std::vector<backends::StreamId>
streamsToRelease(const std::vector<StreamHolding> &holdings, const Member &self,
                 const std::vector<MemberView> &members) {
  std::vector<backends::StreamId> result;
  for (const StreamHolding &it : holdings)
    if (mayRelease(it, self, members))
      result.push_back(it.Stream);
  return result;
}

std::string watcherOf(std::string_view backend,
                      const std::vector<std::string> &nodes) {
  const uint64_t seed = XXH3_64bits(backend.data(), backend.size());
  std::string best;
  uint64_t highest = 0;
  for (const std::string &it : nodes) {
    const uint64_t hash = XXH3_64bits_withSeed(it.data(), it.size(), seed);
    if (!best.empty() && hash <= highest)
      continue;
    best = it;
    highest = hash;
  }
  return best;
}

} // namespace orioletally::core::holdings

#include "core/fleet/cold_limit.h"

#include "core/fleet/even_fraction.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace orioletally::core::fleet {

namespace {

/// Share of the configured rate that is used, at least 0.8. The rest is a
/// margin for nodes that keep to their own share beside a connected majority.
constexpr double RateShare = 0.94;
/// Configured rates are clamped to these, so that times stay finite.
constexpr double MinColdPerSecond = 0.1;
constexpr double MaxPerSecond = 1e6;
/// Time of the rate by which the tokens that nodes need differ. A longer time
/// opens the limit to fewer nodes at once but uses it later.
constexpr absl::Duration SpreadTime = absl::Milliseconds(200);
/// Requests above the rate that a backend server is certain to tolerate in a
/// second: a share of the rate and a constant.
constexpr double ToleratedExcessShare = 0.5;
constexpr double ToleratedExcess = 5;
/// Calls that arrive in the time in which a node learns of the others'
/// requests: 340 a second and 50 ms. A higher number leaves more of the rate
/// unused by few callers, a lower one lets a burst after an idle time overdraw
/// the bucket by more.
constexpr double CallsPerDelay = 17;
/// Tokens that the bucket holds beyond those that open it to all nodes, so that
/// few calls use the whole rate although they come at irregular intervals.
constexpr double ReserveTokens = 3;
/// Interval at which nodes draw again how many tokens they need.
constexpr absl::Duration DrawInterval = absl::Milliseconds(50);
/// An overdrawn bucket is empty again after this time at the latest.
constexpr absl::Duration MaxColdDebt = absl::Seconds(2);
/// How long a slot can be used. The slots of a second and those begun up to
/// this time before it must stay below the tolerated requests of a second.
constexpr absl::Duration SlotDuration = absl::Milliseconds(500);

} // namespace

absl::Time ColdLimit::nextSendAt(const CellView &cell, absl::Time now) const {
  const absl::Time end = coldUntil();
  if (now >= end)
    return absl::InfinitePast();
  if (Share.Cell <= 0)
    return end;
  const absl::Time next = cell.ConnectedSince.has_value()
                              ? nextSharedSendAt(cell, now)
                              : nextSlotAt(cell.Nodes, now);
  return std::min(next, end);
}

void ColdLimit::recordSend(const CellView &cell, bool isOwn, absl::Time now) {
  if (!isCold(now) || Share.Cell <= 0)
    return;
  EmptyAt = std::min(emptyAt(cell, now) + absl::Seconds(1 / rate()),
                     now + MaxColdDebt);
  ++Sends;
  if (isOwn)
    LastOwnSlot = slotNumber(cell.Nodes, now);
}

double ColdLimit::ratePerNode(const CellView &cell) const {
  return rate() /
         static_cast<double>(cell.Nodes > 0 ? cell.Nodes : UnknownNodes);
}

double ColdLimit::rate() const {
  return RateShare *
         std::clamp(Policy.PerSecond, MinColdPerSecond, MaxPerSecond) *
         Share.Cell;
}

double ColdLimit::spread() const {
  return rate() * absl::ToDoubleSeconds(SpreadTime);
}

double ColdLimit::maxOpenShare(size_t nodes) const {
  const double tolerated =
      Share.Cell * (ToleratedExcessShare * Policy.PerSecond + ToleratedExcess);
  const double others =
      std::clamp((tolerated - spread()) / CallsPerDelay, 0.0, 1.0);
  const double self = 1 / static_cast<double>(nodes);
  return self + (1 - self) * others;
}

absl::Time ColdLimit::emptyAt(const CellView &cell, absl::Time now) const {
  const absl::Duration saved =
      SpreadTime + absl::Seconds((1 + ReserveTokens * Share.Cell) / rate());
  // What others sent before this node heard them is unknown.
  return std::max({EmptyAt, Phase.beganAt(),
                   cell.ConnectedSince.value_or(absl::InfinitePast()),
                   now - saved});
}

absl::Time ColdLimit::nextSharedSendAt(const CellView &cell,
                                       absl::Time now) const {
  const double others = 1 - 1 / static_cast<double>(cell.Nodes);
  const double openShare = maxOpenShare(cell.Nodes);
  const double drawn = draw(now);
  if (drawn >= openShare)
    return now + DrawInterval - (now - absl::UnixEpoch()) % DrawInterval;
  // The root lets the share of nodes that may send grow with the square of the
  // content, so that few of them use the first tokens.
  const double needed = 1 + spread() * others * std::sqrt(drawn / openShare);
  const absl::Time at = emptyAt(cell, now) + absl::Seconds(needed / rate());
  return at <= now ? absl::InfinitePast() : at;
}

absl::Time ColdLimit::nextSlotAt(size_t nodes, absl::Time now) const {
  const int64_t slot = slotNumber(nodes, now);
  if (slot < 0)
    return firstSlotAt(nodes);
  const absl::Time begin = firstSlotAt(nodes) + slot * slotInterval(nodes);
  if (slot != LastOwnSlot && now < begin + SlotDuration)
    return absl::InfinitePast();
  return begin + slotInterval(nodes);
}

absl::Duration ColdLimit::slotInterval(size_t nodes) const {
  return absl::Seconds(static_cast<double>(nodes > 0 ? nodes : UnknownNodes) /
                       rate());
}

absl::Time ColdLimit::firstSlotAt(size_t nodes) const {
  const size_t count = nodes > 0 ? nodes : UnknownNodes;
  const size_t position =
      count == Share.Nodes ? Share.Position : Share.Seed % count;
  // Nodes with neighboring positions may be partitioned together, so their
  // slots are far apart.
  return Phase.beganAt() + evenFraction(position) * slotInterval(nodes);
}

int64_t ColdLimit::slotNumber(size_t nodes, absl::Time now) const {
  return static_cast<int64_t>(std::floor(
      absl::FDivDuration(now - firstSlotAt(nodes), slotInterval(nodes))));
}

double ColdLimit::draw(absl::Time now) const {
  const std::array<uint64_t, 2> key = {
      Sends, static_cast<uint64_t>((now - absl::UnixEpoch()) / DrawInterval)};
  constexpr int MantissaBits = 53;
  return std::ldexp(
      static_cast<double>(
          XXH3_64bits_withSeed(key.data(), sizeof key, Share.Seed) >>
          (64 - MantissaBits)),
      -MantissaBits);
}

} // namespace orioletally::core::fleet

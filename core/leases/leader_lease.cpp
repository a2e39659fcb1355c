#include "core/leases/leader_lease.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::core::leases {

namespace {

using nlohmann::json;
using platform::TableTransaction;

} // namespace

LeaderLease::LeaderLease(platform::TableService &service, std::string owner,
                         LeaseSettings wanted)
    : Table(service), Owner(std::move(owner)), Settings(std::move(wanted)) {}

std::optional<uint64_t> LeaderLease::fence(absl::Time now) const {
  if (!HeldFence.has_value() || now >= HeldUntil)
    return std::nullopt;
  return HeldFence;
}

void LeaderLease::poll(absl::Time now) {
  leaf::try_handle_all([&] { return step(now); }, [] {});
}

leaf::result<std::optional<LeaderLease::Row>> LeaderLease::readRow() {
  BOOST_LEAF_AUTO(found, Table.read(Settings.Key));
  if (!found.has_value())
    return std::optional<Row>();
  const json object = json::parse(found->Value, nullptr, false);
  Row row;
  row.Version = found->Version;
  if (object.is_object()) {
    row.Owner = object.value("owner", std::string());
    row.Fence = object.value("fence", uint64_t{0});
  }
  return std::optional<Row>(std::move(row));
}

leaf::result<void> LeaderLease::step(absl::Time now) {
  BOOST_LEAF_AUTO(row, readRow());
  if (!row.has_value())
    return write(0, 1, now);
  // The row is this process's own as long as it says so: a write whose answer
  // was lost shows here.
  const bool isOwn = row->Owner == Owner;
  if (isOwn && fence(now).has_value())
    return write(row->Version, row->Fence, now);
  if (row->Version != SeenVersion) {
    SeenVersion = row->Version;
    SeenSince = now;
    return {};
  }
  if (now - SeenSince < Settings.Duration + Settings.Margin)
    return {};
  return write(row->Version, row->Fence + 1, now);
}

leaf::result<void> LeaderLease::write(uint64_t version, uint64_t fence,
                                      absl::Time now) {
  TableTransaction transaction;
  transaction.Conditions = {{Settings.Key, version}};
  const json value = {{"owner", Owner}, {"fence", fence}};
  transaction.Writes = {{Settings.Key, value.dump()}};
  BOOST_LEAF_AUTO(commit, Table.commit(transaction));
  if (!commit.Committed) {
    HeldFence.reset();
    return {};
  }
  // Counted from before the write, since followers count from after it.
  HeldFence = fence;
  HeldUntil = now + Settings.Duration;
  SeenVersion = commit.Version;
  SeenSince = now;
  return {};
}

} // namespace orioletally::core::leases

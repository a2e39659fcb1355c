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
                         LeaseSettings settings)
    : Table(service), Owner(std::move(owner)), Settings(std::move(settings)) {}

std::optional<uint64_t> LeaderLease::fencingToken(absl::Time now) const {
  if (!ActiveToken.has_value() || now >= ActiveUntil)
    return std::nullopt;
  return ActiveToken;
}

void LeaderLease::poll(absl::Time now) {
  leaf::try_handle_all([&] { return renewOrTakeOver(now); }, [] {});
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
    row.Token = object.value("fence", uint64_t{0});
  }
  return std::optional<Row>(std::move(row));
}

leaf::result<void> LeaderLease::renewOrTakeOver(absl::Time now) {
  BOOST_LEAF_AUTO(row, readRow());
  if (!row.has_value())
    return write(0, 1, now);
  // The owner in the row decides. This also covers this process's own writes
  // whose answer was lost.
  const bool isOwn = row->Owner == Owner;
  if (isOwn && fencingToken(now).has_value())
    return write(row->Version, row->Token, now);
  if (row->Version != ObservedVersion) {
    ObservedVersion = row->Version;
    ObservedSince = now;
    return {};
  }
  if (now - ObservedSince < Settings.Duration + Settings.Margin)
    return {};
  return write(row->Version, row->Token + 1, now);
}

leaf::result<void> LeaderLease::write(uint64_t version, uint64_t token,
                                      absl::Time now) {
  TableTransaction transaction;
  transaction.Conditions = {{Settings.Key, version}};
  const json value = {{"owner", Owner}, {"fence", token}};
  transaction.Writes = {{Settings.Key, value.dump()}};
  BOOST_LEAF_AUTO(commit, Table.commit(transaction));
  if (!commit.Committed) {
    ActiveToken.reset();
    return {};
  }
  // Counted from before the write, since other processes count from after it.
  ActiveToken = token;
  ActiveUntil = now + Settings.Duration;
  ObservedVersion = commit.Version;
  ObservedSince = now;
  return {};
}

} // namespace orioletally::core::leases

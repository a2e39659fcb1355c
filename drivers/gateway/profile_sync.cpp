#include "drivers/gateway/profile_sync.h"

#include "drivers/log/log.h"

#include <algorithm>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::gateway {

namespace {

using core::membership::ProfileRecords;
using core::platform::TableError;
using core::profiles::AuditRecord;
using core::profiles::Profile;
using core::profiles::UnreadableRow;
using nlohmann::json;

/// Further behind than this, a snapshot costs the table less than the log.
constexpr uint64_t LongestCatchUp = 200;

void logUnreadable(const UnreadableRow &row) {
  log::write(log::Level::Error, "profile_row_unreadable",
             {{"row", row.Key}, {"reason", row.Reason}});
}

/// Runs \p read and logs why it failed, if it did.
template <typename Function> bool succeeded(Function read) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(read());
        return true;
      },
      [](const UnreadableRow &row) {
        logUnreadable(row);
        return false;
      },
      [](const TableError &ec) {
        log::write(log::Level::Debug, "table_unavailable",
                   {{"detail", ec.Detail}});
        return false;
      },
      [] { return false; });
}

} // namespace

ProfileSync::ProfileSync(core::platform::TableService &table,
                         ProfileView &target, metrics::NodeMetrics &figures)
    : Store(table), View(target), Metrics(figures) {}

bool ProfileSync::refreshFromTable() {
  const std::lock_guard lock(RefreshGuard);
  uint64_t head = 0;
  const bool isRead = succeeded([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(head, Store.headRevision());
    return {};
  });
  if (!isRead)
    return false;
  const uint64_t own = View.current()->revision();
  // A head below what is in force comes from a read of old data.
  const bool isNothingNew = head <= own && View.isLoaded();
  if (isNothingNew)
    return true;
  const bool mustSnapshot = !View.isLoaded() || head - own > LongestCatchUp;
  const bool isDone = mustSnapshot ? takeSnapshot() : catchUp(head);
  if (isDone)
    View.setLoaded();
  return isDone;
}

void ProfileSync::loadFromPeers() {
  if (View.isLoaded() || Peers == nullptr)
    return;
  uint64_t highest = 0;
  for (const core::membership::MemberView &it : Peers->members())
    if (it.Status == core::membership::MemberStatus::Alive)
      highest = std::max(highest, it.Info.ProfileRevision);
  const uint64_t own = revision();
  // Nobody may have anything yet; only the table can tell that apart from
  // everyone having lost it.
  const bool isHighest = own > 0 && own >= highest && PeerAnswers > 0;
  if (!isHighest) {
    Peers->requestProfiles(own);
    return;
  }
  View.setLoaded();
  log::write(log::Level::Warn, "profiles_loaded",
             {{"to", own}, {"source", "peers, the table is down"}});
}

bool ProfileSync::catchUp(uint64_t head) {
  return succeeded([&]() -> leaf::result<void> {
    const uint64_t own = View.current()->revision();
    BOOST_LEAF_AUTO(log, Store.logAfter(own, static_cast<int>(LongestCatchUp)));
    std::vector<Profile> profiles;
    uint64_t complete = own;
    for (const AuditRecord &it : log) {
      profiles.push_back(it.After);
      complete = it.Revision;
    }
    merge(profiles, complete);
    log::write(log::Level::Info, "profiles_caught_up",
               {{"from", own},
                {"to", complete},
                {"head", head},
                {"source", "table log"}});
    return {};
  });
}

bool ProfileSync::takeSnapshot() {
  return succeeded([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(set, Store.snapshot());
    std::vector<Profile> profiles;
    for (const Profile *it : set.all())
      profiles.push_back(*it);
    merge(profiles, set.revision());
    log::write(log::Level::Info, "profiles_loaded",
               {{"to", set.revision()},
                {"profiles", profiles.size()},
                {"source", "table snapshot"}});
    return {};
  });
}

void ProfileSync::merge(const std::vector<Profile> &profiles,
                        std::optional<uint64_t> completeTo) {
  if (!View.merge(profiles, completeTo))
    return;
  const ProfileView::Snapshot set = View.current();
  Metrics.setProfileRevision(set->revision());
  if (Peers != nullptr)
    Peers->announceProfiles(set->revision(), set->hash());
}

void ProfileSync::takeCommitted(const Profile &profile) {
  const uint64_t own = View.current()->revision();
  const bool isNext = profile.Revision == own + 1;
  merge({profile},
        isNext ? std::optional<uint64_t>(profile.Revision) : std::nullopt);
  if (!isNext)
    refreshFromTable();
}

void ProfileSync::takeRecords(const ProfileRecords &records) {
  std::vector<Profile> profiles;
  for (const std::string &it : records.Profiles) {
    const bool isRead = succeeded([&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(profile,
                      Profile::fromJson(json::parse(it, nullptr, false)));
      profiles.push_back(std::move(profile));
      return {};
    });
    // With one record unread the rest can't be called complete.
    if (!isRead)
      return;
  }
  const bool isGapless = records.After <= View.current()->revision();
  merge(profiles,
        isGapless ? std::optional<uint64_t>(records.CompleteTo) : std::nullopt);
  ++PeerAnswers;
}

ProfileRecords ProfileSync::recordsAfter(uint64_t after) const {
  const ProfileView::Snapshot set = View.current();
  ProfileRecords records;
  records.After = after;
  records.CompleteTo = set->revision();
  for (const Profile *it : set->all())
    if (it->Revision > after)
      records.Profiles.push_back(it->toJson().dump());
  return records;
}

} // namespace orioletally::drivers::gateway

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

/// A node that is more revisions behind loads a snapshot, which then costs the
/// table service less than reading the log.
constexpr uint64_t MaxCatchUpRevisions = 200;

void logUnreadable(const UnreadableRow &row) {
  log::write(log::Level::Error, "profile_row_unreadable",
             {{"row", row.Key}, {"reason", row.Reason}});
}

/// Runs \p read, logs its error if there is one and returns whether it
/// succeeded.
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

ProfileSync::ProfileSync(core::platform::TableService &table, ProfileView &view,
                         metrics::NodeMetrics &nodeMetrics)
    : Store(table), View(view), Metrics(nodeMetrics) {}

bool ProfileSync::refreshFromTable() {
  const std::lock_guard lock(RefreshGuard);
  uint64_t head = 0;
  const bool isRead = succeeded([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(head, Store.headRevision());
    return {};
  });
  if (!isRead)
    return false;
  const uint64_t localRevision = View.current()->revision();
  // A head below the local revision comes from a stale read.
  const bool isUpToDate = head <= localRevision && View.isLoaded();
  if (isUpToDate)
    return true;
  const bool mustSnapshot =
      !View.isLoaded() || head - localRevision > MaxCatchUpRevisions;
  const bool isDone = mustSnapshot ? loadSnapshot() : catchUp(head);
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
  const uint64_t localRevision = revision();
  // At revision 0 there may be no profiles yet, or all nodes may have lost
  // them; only the table can tell these cases apart.
  const bool isHighest =
      localRevision > 0 && localRevision >= highest && PeerReplyCount > 0;
  if (!isHighest) {
    Peers->requestProfiles(localRevision);
    return;
  }
  View.setLoaded();
  log::write(log::Level::Warn, "profiles_loaded",
             {{"to", localRevision}, {"source", "peers, the table is down"}});
}

bool ProfileSync::catchUp(uint64_t head) {
  return succeeded([&]() -> leaf::result<void> {
    const uint64_t localRevision = View.current()->revision();
    BOOST_LEAF_AUTO(log, Store.logAfter(localRevision,
                                        static_cast<int>(MaxCatchUpRevisions)));
    std::vector<Profile> profiles;
    uint64_t complete = localRevision;
    for (const AuditRecord &it : log) {
      profiles.push_back(it.After);
      complete = it.Revision;
    }
    merge(profiles, complete);
    log::write(log::Level::Info, "profiles_caught_up",
               {{"from", localRevision},
                {"to", complete},
                {"head", head},
                {"source", "table log"}});
    return {};
  });
}

bool ProfileSync::loadSnapshot() {
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

void ProfileSync::applyCommitted(const Profile &profile) {
  const uint64_t localRevision = View.current()->revision();
  const bool isNext = profile.Revision == localRevision + 1;
  merge({profile},
        isNext ? std::optional<uint64_t>(profile.Revision) : std::nullopt);
  if (!isNext)
    refreshFromTable();
}

void ProfileSync::applyRecords(const ProfileRecords &records) {
  std::vector<Profile> profiles;
  for (const std::string &it : records.Profiles) {
    const bool isRead = succeeded([&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(profile,
                      Profile::fromJson(json::parse(it, nullptr, false)));
      profiles.push_back(std::move(profile));
      return {};
    });
    // Without this record the others aren't complete, so none is applied.
    if (!isRead)
      return;
  }
  const bool isGapless = records.After <= View.current()->revision();
  merge(profiles,
        isGapless ? std::optional<uint64_t>(records.CompleteTo) : std::nullopt);
  ++PeerReplyCount;
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

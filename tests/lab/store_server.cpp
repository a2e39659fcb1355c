#include "tests/lab/store_server.h"

#include <absl/strings/escaping.h>
#include <chrono>
#include <cstdlib>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace orioletally::lab {

namespace {

using nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusHistoryGone = 410;
constexpr int StatusConflict = 412;
constexpr int StatusUnavailable = 503;
/// Longer than any timeout of a call.
constexpr auto SilenceDuration = std::chrono::seconds(30);
constexpr auto SilencePollInterval = std::chrono::milliseconds(20);

std::string queryParameter(const std::string &target, const std::string &name) {
  const std::string prefix = name + "=";
  const size_t at = target.find(prefix);
  if (at == std::string::npos)
    return "";
  const size_t from = at + prefix.size();
  return target.substr(from, target.find('&', from) - from);
}

std::string formatResponse(int status, uint64_t era, const std::string &body) {
  return fmt::format("HTTP/1.1 {} X\r\nContent-Type: application/json\r\n"
                     "Store-Era: {}\r\nContent-Length: {}\r\n\r\n{}",
                     status, era, body.size(), body);
}

} // namespace

StoreServer::StoreServer()
    : Server(
          [this](const RawRequest &request, const RawConnection &connection) {
            return handle(request, connection);
          }) {}

StoreServer::~StoreServer() {
  Stopping = true;
  Changed.notify_all();
}

void StoreServer::put(const std::string &table, const std::string &key,
                      const std::string &value) {
  applyChange({0, table, key, value, false});
}

void StoreServer::remove(const std::string &table, const std::string &key) {
  applyChange({0, table, key, "", true});
}

std::string StoreServer::value(const std::string &table,
                               const std::string &key) const {
  const std::lock_guard lock(Guard);
  const auto rows = Tables.find(table);
  if (rows == Tables.end() || !rows->second.contains(key))
    return "";
  return rows->second.at(key).Value;
}

std::optional<int> StoreServer::firstWaitMs(const std::string &table) const {
  const std::lock_guard lock(Guard);
  const auto found = FirstWaits.find(table);
  if (found == FirstWaits.end())
    return std::nullopt;
  return found->second;
}

void StoreServer::clearFirstWaits() {
  const std::lock_guard lock(Guard);
  FirstWaits.clear();
}

void StoreServer::delayReads(const std::string &table,
                             std::chrono::milliseconds time) {
  const std::lock_guard lock(Guard);
  ReadDelays[table] = time;
}

std::chrono::milliseconds StoreServer::delayOf(const std::string &table) const {
  const std::lock_guard lock(Guard);
  const auto found = ReadDelays.find(table);
  return found == ReadDelays.end() ? std::chrono::milliseconds(0)
                                   : found->second;
}

void StoreServer::compact() {
  const std::lock_guard lock(Guard);
  History.clear();
  OldestVersion = ++Version;
  Changed.notify_all();
}

void StoreServer::save() {
  const std::lock_guard lock(Guard);
  SavedTables = Tables;
  SavedVersion = Version;
}

void StoreServer::restore() {
  const std::lock_guard lock(Guard);
  Tables = SavedTables;
  Version = SavedVersion;
  History.clear();
  OldestVersion = Version;
  ++Era;
  Changed.notify_all();
}

void StoreServer::applyChange(Change change) {
  const std::lock_guard lock(Guard);
  change.Version = ++Version;
  if (change.Removed)
    Tables[change.Table].erase(change.Key);
  else
    Tables[change.Table][change.Key] = change;
  History.push_back(std::move(change));
  Changed.notify_all();
}

bool StoreServer::handle(const RawRequest &request,
                         const RawConnection &connection) {
  ++Calls;
  switch (Fault) {
  case StoreFault::None:
    break;
  case StoreFault::Refuse:
    connection.write(formatResponse(StatusUnavailable, Era, "{}"));
    return true;
  case StoreFault::Silence:
    for (auto n = SilenceDuration / SilencePollInterval; n > 0 && !Stopping;
         --n) {
      if (connection.closesWithin(0))
        return false;
      std::this_thread::sleep_for(SilencePollInterval);
    }
    return false;
  case StoreFault::Reset:
    connection.reset();
    return false;
  }
  const std::string table = queryParameter(request.Target, "table");
  int status = StatusOk;
  std::string body;
  if (request.Target.find("rows-get") != std::string::npos) {
    body = read(table);
    std::this_thread::sleep_for(delayOf(table));
  } else if (request.Target.find("rows-feed") != std::string::npos) {
    body = watch(
        table,
        std::strtoull(queryParameter(request.Target, "since_rev").c_str(),
                      nullptr, 10),
        std::atoi(queryParameter(request.Target, "wait_ms").c_str()), status);
  } else {
    status = write(request.Body) ? StatusOk : StatusConflict;
    body = R"({"schema_version":1,"now_ms":1})";
  }
  if (Fault == StoreFault::None)
    connection.write(formatResponse(status, Era, body));
  return Fault == StoreFault::None;
}

std::string StoreServer::read(const std::string &table) const {
  const std::lock_guard lock(Guard);
  json rows = json::array();
  const auto found = Tables.find(table);
  if (found != Tables.end())
    for (const auto &[key, row] : found->second)
      rows.push_back({{"table", table},
                      {"part", ""},
                      {"key", key},
                      {"value", absl::Base64Escape(row.Value)},
                      {"schema_version", row.Version}});
  return json{{"rows", rows},
              {"has_more", false},
              {"schema_version", Version},
              {"now_ms", 1}}
      .dump();
}

std::string StoreServer::watch(const std::string &table, uint64_t sinceVersion,
                               int waitMs, int &status) {
  std::unique_lock lock(Guard);
  FirstWaits.emplace(table, waitMs);
  const auto changedRows = [&] {
    json rows = json::array();
    for (const Change &it : History) {
      if (it.Version <= sinceVersion || it.Table != table)
        continue;
      json row = {{"table", table},
                  {"part", ""},
                  {"key", it.Key},
                  {"schema_version", it.Version}};
      if (it.Removed)
        row["removed"] = true;
      else
        row["value"] = absl::Base64Escape(it.Value);
      rows.push_back(row);
    }
    return rows;
  };
  const auto isUnknownVersion = [&] {
    return sinceVersion < OldestVersion || sinceVersion > Version;
  };
  Changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] {
    return Stopping || isUnknownVersion() || !changedRows().empty();
  });
  if (isUnknownVersion()) {
    status = StatusHistoryGone;
    return "{}";
  }
  return json{
      {"rows", changedRows()}, {"schema_version", Version}, {"now_ms", 1}}
      .dump();
}

bool StoreServer::isConditionMet(const json &condition) const {
  const std::lock_guard lock(Guard);
  const auto rows = Tables.find(condition.at("table").get<std::string>());
  const uint64_t expectedVersion = condition.at("schema_version");
  if (rows == Tables.end())
    return expectedVersion == 0;
  const auto row = rows->second.find(condition.at("key").get<std::string>());
  return expectedVersion ==
         (row == rows->second.end() ? 0 : row->second.Version);
}

bool StoreServer::write(const std::string &body) {
  const std::lock_guard lock(TransactionGuard);
  const json transaction = json::parse(body);
  for (const json &it : transaction.at("expected_rev"))
    if (!isConditionMet(it))
      return false;
  for (const json &it : transaction.at("put")) {
    std::string value;
    const std::string encoded = it.at("value");
    absl::Base64Unescape(encoded, &value);
    put(it.at("table"), it.at("key"), value);
  }
  for (const json &it : transaction.at("delete"))
    remove(it.at("table"), it.at("key"));
  return true;
}

} // namespace orioletally::lab

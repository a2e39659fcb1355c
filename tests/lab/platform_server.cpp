#include "tests/lab/platform_server.h"

#include "tests/lab/lab_http.h"

#include <thread>

namespace orioletally::lab {

using nlohmann::json;

namespace {
constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int Percent = 100;
} // namespace

PlatformServer::PlatformServer(int port, uint64_t seed)
    : Random(seed), Server(labServerSettings(port)) {
  registerTable();
  registerControl();
}

boost::leaf::result<void> PlatformServer::start() { return Server.start(); }

void PlatformServer::setFaults(const PlatformFaults &faults) {
  const std::lock_guard lock(Guard);
  if (faults.StaleReads && !Faults.StaleReads)
    StaleTable = Table;
  Faults = faults;
}

void PlatformServer::putVm(const json &vm) {
  const std::lock_guard lock(Guard);
  Vms[vm["id"].get<std::string>()] = vm;
}

uint64_t PlatformServer::writes() const {
  const std::lock_guard lock(Guard);
  return Writes;
}

uint64_t PlatformServer::reads() const {
  const std::lock_guard lock(Guard);
  return Reads;
}

bool PlatformServer::applyCallFaults(bool isVmList) {
  int delay = 0;
  bool isOutage = false;
  {
    const std::lock_guard lock(Guard);
    delay = Faults.DelayMs;
    isOutage = Faults.Outage || (isVmList && Faults.VmListOutage);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(delay));
  if (isOutage)
    cutConnection();
  return isOutage;
}

const PlatformServer::Rows &PlatformServer::visibleRows() const {
  return Faults.StaleReads ? StaleTable : Table;
}

json PlatformServer::rowJson(const std::string &key, const Row &row) {
  return {{"key", key}, {"version", row.Version}, {"value", row.Value}};
}

void PlatformServer::registerTable() {
  Server.Get("/v1/row", [this](const auto &request, auto &response) {
    if (applyCallFaults(false))
      return;
    const std::lock_guard lock(Guard);
    ++Reads;
    const std::string key = request.get_param_value("key");
    const auto it = visibleRows().find(key);
    reply(response, StatusOk,
          {{"row", it == visibleRows().end() ? json(nullptr)
                                             : rowJson(key, it->second)}});
  });
  Server.Get("/v1/rows", [this](const auto &request, auto &response) {
    if (applyCallFaults(false))
      return;
    const std::lock_guard lock(Guard);
    ++Reads;
    const std::string prefix = request.get_param_value("prefix");
    const std::string after = request.get_param_value("after");
    const auto limit = std::stoul(request.get_param_value("limit"));
    json rows = json::array();
    for (auto it = visibleRows().upper_bound(std::max(prefix, after));
         it != visibleRows().end() && it->first.starts_with(prefix) &&
         rows.size() < limit;
         ++it)
      rows.push_back(rowJson(it->first, it->second));
    reply(response, StatusOk, {{"rows", rows}});
  });
  Server.Post("/v1/transactions", [this](const auto &request, auto &response) {
    if (applyCallFaults(false))
      return;
    commit(json::parse(request.body), response);
  });
}

void PlatformServer::commit(const json &transaction,
                            httplib::Response &response) {
  const std::lock_guard lock(Guard);
  ++Writes;
  for (const json &it : transaction["conditions"]) {
    const auto row = Table.find(it["key"].get<std::string>());
    const uint64_t version = row == Table.end() ? 0 : row->second.Version;
    if (version != it["version"].get<uint64_t>()) {
      reply(response, StatusConflict,
            {{"key", it["key"]}, {"version", version}});
      return;
    }
  }
  ++LastVersion;
  for (const json &it : transaction["writes"]) {
    const auto key = it["key"].get<std::string>();
    if (it["value"].is_null())
      Table.erase(key);
    else
      Table[key] = {LastVersion, it["value"].get<std::string>()};
  }
  if (static_cast<int>(Random() % Percent) < Faults.LoseReplyPercent)
    cutConnection();
  reply(response, StatusOk, {{"version", LastVersion}});
}

void PlatformServer::registerControl() {
  Server.Get("/v1/vms", [this](const auto &, auto &response) {
    if (applyCallFaults(true))
      return;
    const std::lock_guard lock(Guard);
    json vms = json::array();
    for (const auto &[id, vm] : Vms)
      vms.push_back(vm);
    reply(response, StatusOk, {{"vms", vms}});
  });
  Server.Post("/control/vms", [this](const auto &request, auto &response) {
    putVm(json::parse(request.body));
    reply(response, StatusOk, json::object());
  });
  Server.Delete(R"(/control/vms/(.+))",
                [this](const auto &request, auto &response) {
                  const std::lock_guard lock(Guard);
                  Vms.erase(request.matches[1]);
                  reply(response, StatusOk, json::object());
                });
  Server.Post("/control/faults", [this](const auto &request, auto &response) {
    const json body = json::parse(request.body);
    PlatformFaults faults;
    faults.Outage = body.value("outage", false);
    faults.VmListOutage = body.value("vm_list_outage", false);
    faults.DelayMs = body.value("delay_ms", 0);
    faults.LoseReplyPercent = body.value("lose_reply_percent", 0);
    faults.StaleReads = body.value("stale_reads", false);
    setFaults(faults);
    reply(response, StatusOk, json::object());
  });
  Server.Get("/control/counts", [this](const auto &, auto &response) {
    const std::lock_guard lock(Guard);
    reply(response, StatusOk, {{"reads", Reads}, {"writes", Writes}});
  });
}

} // namespace orioletally::lab

#include "drivers/platform/http_vm_list.h"

#include "drivers/http/http_exchange.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::platform {

namespace {

using core::platform::Vm;
using core::platform::VmListError;
using core::platform::VmRole;
using http::StatusOk;
using nlohmann::json;

std::optional<VmRole> parseVmRole(std::string_view name) {
  if (name == "engine")
    return VmRole::Engine;
  if (name == "service")
    return VmRole::Service;
  if (name == "entry")
    return VmRole::Entry;
  return std::nullopt;
}

std::optional<Vm> parseVm(const json &object) {
  const auto role = parseVmRole(object.value("role", std::string()));
  if (!role.has_value())
    return std::nullopt;
  Vm vm;
  vm.Id = object.value("id", std::string());
  vm.Role = *role;
  vm.Zone = object.value("zone", std::string());
  vm.Address = object.value("address", std::string());
  vm.Leaving = object.value("state", std::string()) == "leaving";
  vm.Service = object.value("service", std::string());
  vm.Model = object.value("model", std::string());
  vm.MemoryTokens = object.value("memory_tokens", int64_t{0});
  vm.PrefillTokensPerSecond = object.value("prefill_tokens_per_s", int64_t{0});
  vm.ChecksFencing = object.value("checks_fencing", false);
  return vm;
}

} // namespace

HttpVmList::HttpVmList(std::string address, absl::Duration timeout)
    : Address(std::move(address)), Timeout(timeout) {}

leaf::result<std::vector<Vm>> HttpVmList::fetch() {
  http::ExchangeRequest request;
  request.Address = Address;
  request.Method = "GET";
  request.Path = "/v1/vms";
  request.ConnectTimeout = Timeout;
  std::string body;
  const http::ExchangeResult result =
      http::runExchange(std::move(request), Timeout, body);
  const json object = json::parse(body, nullptr, false);
  if (!result.Complete || result.Status != StatusOk || !object.is_object() ||
      !object.contains("vms"))
    return leaf::new_error(VmListError{fmt::format(
        "no valid VM list: status {} {}", result.Status, result.Error)});
  std::vector<Vm> vms;
  for (const json &it : object["vms"])
    if (auto vm = parseVm(it))
      vms.push_back(*std::move(vm));
  return vms;
}

} // namespace orioletally::drivers::platform

#include "drivers/platform/http_table_service.h"

#include "drivers/http/http_exchange.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::drivers::platform {

namespace {

using core::platform::TableCommit;
using core::platform::TableCondition;
using core::platform::TableError;
using core::platform::TableFailure;
using core::platform::TableRow;
using core::platform::TableTransaction;
using core::platform::TableWrite;
using http::StatusOk;
using nlohmann::json;

constexpr std::array<std::string_view, TableCauseCount> CauseNames = {
    "profiles", "claims", "nodes", "other"};
constexpr int StatusConflict = 409;

leaf::error_id unavailable(std::string detail) {
  return leaf::new_error(
      TableError{TableFailure::Unavailable, std::move(detail)});
}

std::optional<TableRow> parseRow(const json &object) {
  if (!object.is_object() || !object.contains("key"))
    return std::nullopt;
  TableRow row;
  row.Key = object.value("key", std::string());
  row.Version = object.value("version", uint64_t{0});
  row.Value = object.value("value", std::string());
  return row;
}

json toJson(const TableTransaction &transaction) {
  json conditions = json::array();
  for (const TableCondition &it : transaction.Conditions)
    conditions.push_back({{"key", it.Key}, {"version", it.Version}});
  json writes = json::array();
  for (const TableWrite &it : transaction.Writes) {
    json entry = {{"key", it.Key}};
    entry["value"] = it.Value.has_value() ? json(*it.Value) : json(nullptr);
    writes.push_back(std::move(entry));
  }
  return {{"conditions", conditions}, {"writes", writes}};
}

} // namespace

std::string_view tableCauseName(TableCause cause) {
  return CauseNames[static_cast<size_t>(cause)];
}

TableCause tableCauseOf(std::string_view key) {
  const std::string_view part = key.substr(0, key.find('/'));
  for (size_t n = 0; n < CauseNames.size(); ++n)
    if (CauseNames[n] == part)
      return static_cast<TableCause>(n);
  return TableCause::Other;
}

HttpTableService::HttpTableService(std::string address, absl::Duration timeout)
    : Address(std::move(address)), Timeout(timeout) {}

TableCallCount &HttpTableService::countFor(std::string_view key) {
  return Counts[static_cast<size_t>(tableCauseOf(key))];
}

leaf::result<std::string> HttpTableService::get(const std::string &path,
                                                std::string_view key) {
  TableCallCount &count = countFor(key);
  ++count.Reads;
  http::ExchangeRequest request;
  request.Address = Address;
  request.Method = "GET";
  request.Path = path;
  request.ConnectTimeout = Timeout;
  std::string body;
  const http::ExchangeResult result =
      http::runExchange(std::move(request), Timeout, body);
  if (!result.Complete || result.Status != StatusOk) {
    ++count.Failures;
    return unavailable(
        fmt::format("read: status {} {}", result.Status, result.Error));
  }
  return body;
}

leaf::result<std::optional<TableRow>>
HttpTableService::read(std::string_view key) {
  BOOST_LEAF_AUTO(
      body, get(fmt::format("/v1/row?key={}", http::percentEncoded(key)), key));
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object() || !object.contains("row"))
    return unavailable("read: the answer is not a JSON object with a row");
  return parseRow(object["row"]);
}

leaf::result<std::vector<TableRow>>
HttpTableService::scan(std::string_view prefix, std::string_view after,
                       int limit) {
  BOOST_LEAF_AUTO(body, get(fmt::format("/v1/rows?prefix={}&after={}&limit={}",
                                        http::percentEncoded(prefix),
                                        http::percentEncoded(after), limit),
                            prefix));
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object() || !object.contains("rows"))
    return unavailable("scan: the answer is not a JSON object with rows");
  std::vector<TableRow> rows;
  for (const json &it : object["rows"])
    if (auto row = parseRow(it))
      rows.push_back(*std::move(row));
  return rows;
}

leaf::result<TableCommit>
HttpTableService::commit(const TableTransaction &transaction) {
  // All rows of a transaction have the same cause.
  TableCallCount &count = countFor(
      transaction.Writes.empty() ? "" : transaction.Writes.front().Key);
  ++count.Writes;
  http::ExchangeRequest request;
  request.Address = Address;
  request.Method = "POST";
  request.Path = "/v1/transactions";
  request.Body = toJson(transaction).dump();
  request.ConnectTimeout = Timeout;
  std::string body;
  const http::ExchangeResult result =
      http::runExchange(std::move(request), Timeout, body);
  const json object = json::parse(body, nullptr, false);
  const bool isAnswer = result.Complete && object.is_object();
  if (isAnswer && result.Status == StatusOk)
    return TableCommit{true, object.value("version", uint64_t{0}), "", 0};
  if (isAnswer && result.Status == StatusConflict)
    return TableCommit{false, 0, object.value("key", std::string()),
                       object.value("version", uint64_t{0})};
  ++count.Failures;
  const TableFailure failure =
      result.Written ? TableFailure::OutcomeUnknown : TableFailure::Unavailable;
  return leaf::new_error(
      TableError{failure, fmt::format("commit: no valid answer: status {} {}",
                                      result.Status, result.Error)});
}

} // namespace orioletally::drivers::platform

#include "main/settings.h"

#include "main/toml_json.h"

#include <array>
#include <fmt/format.h>
#include <fstream>
#include <iterator>

namespace leaf = boost::leaf;

namespace orioletally::main {

namespace {

using core::fields::FieldError;
using core::fields::FieldSpec;
using core::fields::FieldTable;
using core::fields::FieldType;
using core::fields::FieldValues;

constexpr std::array<FieldSpec, 32> Specs = {{
    {"node.name", FieldType::Text, "", "", 1, 64, "",
     "Unique name of this VM."},
    {"node.zone", FieldType::Text, "", "", 1, 64, "",
     "Availability zone of this VM."},
    {"node.region", FieldType::Text, "", "\"default\"", 1, 64, "",
     "Region that the availability zone belongs to."},
    {"node.drain_ms", FieldType::Integer, "ms", "600000", 0, 7200000, "",
     "Longest time that requests in progress may run on after SIGTERM."},
    {"http.address", FieldType::Text, "", "\"127.0.0.1\"", 7, 45, "",
     "IP address to listen on for callers and operators."},
    {"http.port", FieldType::Integer, "", "8080", 0, 65535, "",
     "Port to listen on; 0 takes a free one."},
    {"http.max_streams", FieldType::Integer, "", "1000", 1, 20000, "",
     "Largest number of requests of callers in progress at once."},
    {"http.operator_reserve", FieldType::Integer, "", "64", 8, 1000, "",
     "Connections reserved for operators and health checks."},
    {"http.max_body_bytes", FieldType::Integer, "bytes", "16777216", 1024,
     67108864, "", "Largest request body."},
    {"http.request_ms", FieldType::Integer, "ms", "10000", 100, 600000, "",
     "Timeout for receiving one whole request."},
    {"http.write_ms", FieldType::Integer, "ms", "10000", 100, 600000, "",
     "Timeout for a caller to accept more of an answer."},
    {"http.idle_ms", FieldType::Integer, "ms", "5000", 100, 600000, "",
     "Time that a connection may stay idle between requests."},
    {"auth.tokens_file", FieldType::Text, "", "\"\"", 0, 4096, "",
     "TOML file with the bearer tokens of callers and operators."},
    {"auth.tokens_env", FieldType::Text, "", "\"\"", 0, 256, "",
     "Environment variable that holds the same text instead of a file."},
    {"platform.address", FieldType::Text, "", "", 3, 64, "",
     "ip:port of the platform's table service and VM list."},
    {"platform.timeout_ms", FieldType::Integer, "ms", "1500", 50, 30000, "",
     "Timeout for one call to the platform."},
    {"platform.vm_list_poll_ms", FieldType::Integer, "ms", "1000", 100, 60000,
     "", "Time between two reads of the VM list."},
    {"profiles.poll_ms", FieldType::Integer, "ms", "500", 50, 60000, "",
     "Time between two reads of the head revision by a zone's leader."},
    {"profiles.backstop_ms", FieldType::Integer, "ms", "10000", 100, 600000, "",
     "Time between two such reads by the other nodes of the zone."},
    {"profiles.accept_wait_ms", FieldType::Integer, "ms", "5000", 0, 60000, "",
     "Longest time that the answer to a change waits for every node to "
     "confirm it."},
    {"routing.report_lag_ms", FieldType::Integer, "ms", "500", 0, 60000, "",
     "Highest age of an engine's load report when it arrives."},
    {"routing.retry_share_percent", FieldType::Integer, "%", "10", 0, 100, "",
     "Retries that each hundred successful requests add to the budget."},
    {"routing.retry_reserve", FieldType::Integer, "", "10", 0, 10000, "",
     "Retries available at the start, and the most that can accumulate."},
    {"routing.watch_ms", FieldType::Integer, "ms", "1000", 50, 60000, "",
     "Time between two polls of an engine by the node that watches it."},
    {"prompts.bytes_per_token", FieldType::Integer, "bytes", "4", 1, 16, "",
     "Bytes per token, to estimate a prompt's tokens from its length."},
    {"claims.send_ms", FieldType::Integer, "ms", "5000", 50, 60000, "",
     "Longest time between claiming a call that must not be repeated and "
     "sending it."},
    {"peer.address", FieldType::Text, "", "\"127.0.0.1\"", 7, 45, "",
     "IP address to listen on for other entry nodes."},
    {"peer.port", FieldType::Integer, "", "0", 0, 65535, "",
     "Port to listen on for other entry nodes; 0 takes a free one."},
    {"peer.seeds", FieldType::TextList, "", "[]", 0, 0, "",
     "ip:port of entry nodes to join through when the table service is down."},
    {"peer.key_file", FieldType::Text, "", "\"\"", 0, 4096, "",
     "File with the secret key that all entry nodes share; empty turns "
     "encryption off."},
    {"peer.period_ms", FieldType::Integer, "ms", "500", 20, 60000, "",
     "Time between two probes sent to other entry nodes."},
    {"log.level", FieldType::Choice, "", "\"info\"", 0, 0,
     "debug,info,warn,error", "Lowest level that is logged."},
}};

} // namespace

std::string SettingsError::text() const {
  std::string where = File;
  if (Line > 0)
    where += fmt::format(":{}", Line);
  if (Key.empty())
    return fmt::format("{}: {}", where, Reason);
  return fmt::format("{}: {}: {}", where, Key, Reason);
}

const FieldTable &settingsFields() {
  static const FieldTable table(Specs);
  return table;
}

leaf::result<FieldValues> parseFields(const FieldTable &table,
                                      std::string_view text,
                                      const std::string &file) {
  FlatToml flat;
  return leaf::try_handle_some(
      [&]() -> leaf::result<FieldValues> {
        BOOST_LEAF_ASSIGN(flat, flattenToml(text));
        return table.read(flat.Object);
      },
      [&](const TomlError &ec) -> leaf::result<FieldValues> {
        return leaf::new_error(SettingsError{file, ec.Line, "", ec.Reason});
      },
      [&](const FieldError &ec) -> leaf::result<FieldValues> {
        return leaf::new_error(
            SettingsError{file, flat.lineOf(ec.Key), ec.Key, ec.Reason});
      });
}

leaf::result<FieldValues> parseSettings(std::string_view text,
                                        const std::string &file) {
  return parseFields(settingsFields(), text, file);
}

absl::Duration milliseconds(const FieldValues &settings, std::string_view key) {
  return absl::Milliseconds(settings.integer(key));
}

leaf::result<std::string> readFile(const std::string &file) {
  std::ifstream in(file, std::ios::binary);
  if (!in)
    return leaf::new_error(SettingsError{file, 0, "", "can't be read"});
  return std::string(std::istreambuf_iterator<char>(in), {});
}

leaf::result<FieldValues> loadSettings(const std::string &file) {
  BOOST_LEAF_AUTO(text, readFile(file));
  return parseSettings(text, file);
}

} // namespace orioletally::main

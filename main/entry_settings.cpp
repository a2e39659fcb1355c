#include "main/entry_settings.h"

#include "main/toml_json.h"

#include <array>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::main {

namespace {

using core::fields::FieldError;
using core::fields::FieldSpec;
using core::fields::FieldTable;
using core::fields::FieldType;
using core::fields::FieldValues;

constexpr std::array<FieldSpec, 23> EntrySpecs = {{
    {"node.name", FieldType::Text, "", "\"\"", 0, 128, "",
     "Unique name of this VM; peers.address if empty."},
    {"node.zone", FieldType::Text, "", "\"default\"", 1, 128, "",
     "Availability zone of this VM."},
    {"node.region", FieldType::Text, "", "\"default\"", 1, 128, "",
     "Region that the availability zone belongs to."},
    {"node.max_files", FieldType::Integer, "", "4096", 256, 1048576, "",
     "Number of file descriptors that the process may open."},
    {"node.memory_mb", FieldType::Integer, "MiB", "256", 64, 1048576, "",
     "Memory that the process may use; calls that need more are refused."},
    {"node.grace_s", FieldType::Real, "s", "8", 0, 600, "",
     "Time from SIGTERM until the platform sends SIGKILL."},
    {"calls.address", FieldType::Text, "", "", 9, 64, "",
     "ip:port to listen on for callers."},
    {"calls.max_answer_bytes", FieldType::Integer, "bytes", "8388608", 4096,
     1073741824, "",
     "Largest answer that isn't streamed; it is buffered until complete."},
    {"calls.max_event_bytes", FieldType::Integer, "bytes", "262144", 1024,
     16777216, "", "Largest event of a streamed answer."},
    {"ready.address", FieldType::Text, "", "", 9, 64, "",
     "ip:port to listen on for readiness checks."},
    {"metrics.port", FieldType::Integer, "", "9464", 0, 65535, "",
     "Port for metrics at the IP address of calls.address; 0 disables it."},
    {"peers.address", FieldType::Text, "", "", 9, 64, "",
     "ip:port for traffic between entry nodes."},
    {"store.address", FieldType::Text, "", "", 9, 64, "",
     "ip:port of the platform's store."},
    {"store.wait_ms", FieldType::Integer, "ms", "1500", 100, 30000, "",
     "Longest time that the store holds a long poll for changes."},
    {"store.bound_ms", FieldType::Integer, "ms", "1300", 100, 30000, "",
     "Timeout for a call to the store; a long poll gets store.wait_ms more."},
    {"store.config_max_age_ms", FieldType::Real, "ms", "2000", 0, 600000, "",
     "Age up to which a configuration decides that a call has no route or no "
     "valid key; with an older one, callers are asked to come back."},
    {"retries.share", FieldType::Real, "", "0.2", 0, 1, "",
     "Retries per call of a service in one window, over all nodes."},
    {"retries.slack", FieldType::Real, "", "50", 0, 100000, "",
     "Additional retries of a service in one window, over all nodes."},
    {"retries.window_s", FieldType::Real, "s", "10", 1, 600, "",
     "Length of the sliding window of the retry budget."},
    {"placement.across_cells", FieldType::Boolean, "", "false", 0, 0, "",
     "Whether prompts that their cell can't serve in time may be placed on "
     "engines of other cells."},
    {"admission.by_priority", FieldType::Boolean, "", "false", 0, 0, "",
     "Whether less urgent calls leave headroom for more urgent ones, and "
     "workspaces for others, when calls contend for capacity."},
    {"placement.learned_cost", FieldType::Boolean, "", "false", 0, 0, "",
     "Whether calls are placed by what calls of their kind cost lately."},
    {"log.level", FieldType::Choice, "", "\"info\"", 0, 0,
     "debug,info,warn,error", "Lowest level that is logged."},
}};

} // namespace

const FieldTable &entryFields() {
  static const FieldTable table(EntrySpecs);
  return table;
}

leaf::result<EntrySettings> parseEntrySettings(std::string_view text,
                                               const std::string &file,
                                               const FieldValues *known) {
  FlatToml flat = flattenReadableToml(text);
  EntrySettings result;
  for (const TomlError &it : flat.Errors)
    result.Rejected.push_back({file, it.Line, "", it.Reason});
  // A line that couldn't be parsed may hold any setting that isn't found.
  if (known != nullptr && !flat.Errors.empty()) {
    const nlohmann::json before = known->toJson();
    for (const auto &[key, value] : before.items())
      if (!flat.Object.contains(key))
        flat.Object[key] = value;
  }
  const auto errorFor = [&](const FieldError &ec) {
    return SettingsError{file, flat.lineOf(ec.Key), ec.Key, ec.Reason};
  };
  return leaf::try_handle_some(
      [&]() -> leaf::result<EntrySettings> {
        BOOST_LEAF_AUTO(fields,
                        entryFields().readTolerantly(flat.Object, known));
        result.Values = std::move(fields.Values);
        if (result.Values.text("node.name").empty())
          result.Values.set("node.name", result.Values.text("peers.address"));
        for (const FieldError &it : fields.Rejected)
          result.Rejected.push_back(errorFor(it));
        return result;
      },
      [&](const FieldError &ec) -> leaf::result<EntrySettings> {
        return leaf::new_error(errorFor(ec));
      });
}

} // namespace orioletally::main

#include "main/entry_settings.h"

#include "main/settings.h"

#include <array>

namespace leaf = boost::leaf;

namespace orioletally::main {

namespace {

using core::fields::FieldSpec;
using core::fields::FieldTable;
using core::fields::FieldType;
using core::fields::FieldValues;

constexpr std::array<FieldSpec, 18> Specs = {{
    {"node.name", FieldType::Text, "", "", 1, 128, "",
     "Name of this VM, unlike that of any other."},
    {"node.zone", FieldType::Text, "", "", 1, 64, "",
     "Availability zone of this VM."},
    {"node.region", FieldType::Text, "", "\"default\"", 1, 64, "",
     "Region that the availability zone belongs to."},
    {"node.max_files", FieldType::Integer, "", "4096", 256, 1048576, "",
     "File descriptors that the process may have open."},
    {"node.grace_ms", FieldType::Integer, "ms", "8000", 0, 600000, "",
     "Time between SIGTERM and SIGKILL."},
    {"calls.address", FieldType::Text, "", "", 9, 64, "",
     "ip:port that callers' connections come to."},
    {"calls.max_answer_bytes", FieldType::Integer, "bytes", "8388608", 4096,
     1073741824, "",
     "Bound on a plain answer, which is held whole until it is complete."},
    {"calls.max_event_bytes", FieldType::Integer, "bytes", "262144", 1024,
     16777216, "", "Bound on one event of a streamed answer."},
    {"ready.address", FieldType::Text, "", "", 9, 64, "",
     "ip:port that is asked whether this node takes new connections."},
    {"metrics.port", FieldType::Integer, "", "9464", 0, 65535, "",
     "Port of the metrics, at the IP number of calls.address; 0 for none."},
    {"peers.address", FieldType::Text, "", "", 9, 64, "",
     "ip:port for traffic between entry nodes."},
    {"store.address", FieldType::Text, "", "", 9, 64, "",
     "ip:port of the platform's store."},
    {"store.wait_ms", FieldType::Integer, "ms", "1500", 100, 30000, "",
     "How long the store holds a call that waits for changes."},
    {"store.bound_ms", FieldType::Integer, "ms", "1300", 100, 30000, "",
     "Bound on the store's answers, besides that wait."},
    {"retries.share", FieldType::Real, "", "0.2", 0, 1, "",
     "Repeats that all nodes together may send a service, for each call."},
    {"retries.slack", FieldType::Integer, "", "50", 0, 100000, "",
     "Repeats that they may send besides, in one window."},
    {"retries.window_ms", FieldType::Integer, "ms", "10000", 100, 600000, "",
     "Length of the window of both."},
    {"log.level", FieldType::Choice, "", "\"info\"", 0, 0,
     "debug,info,warn,error", "Least level that is written."},
}};

} // namespace

const FieldTable &entryFields() {
  static const FieldTable table(Specs);
  return table;
}

leaf::result<FieldValues> loadEntrySettings(const std::string &file) {
  BOOST_LEAF_AUTO(text, readFile(file));
  return parseFields(entryFields(), text, file);
}

} // namespace orioletally::main

#include "core/profiles/profile.h"

#include <absl/algorithm/container.h>
#include <absl/strings/ascii.h>
#include <array>
#include <fmt/format.h>

namespace leaf = boost::leaf;

namespace orioletally::core::profiles {

namespace {

using fields::FieldSpec;
using fields::FieldType;

constexpr size_t MaxNameLength = 64;

constexpr std::array<FieldSpec, 16> Specs = {{
    {"kind", FieldType::Choice, "", "\"completion\"", 0, 0,
     "completion,service",
     "What the profile routes to: model engines or a plain service."},
    {"model", FieldType::Text, "", "\"default\"", 1, 128, "",
     "Model that the engines must have loaded (kind completion)."},
    {"service", FieldType::Text, "", "\"\"", 0, 64, "",
     "Plain service that handles the requests (kind service)."},
    {"deadline_ms", FieldType::Integer, "ms", "30000", 50, 3600000, "",
     "Time from admission within which a request must finish or fail."},
    {"queue_ms", FieldType::Integer, "ms", "2000", 0, 600000, "",
     "Longest time that a request waits at the entry node for a backend "
     "server."},
    {"connect_ms", FieldType::Integer, "ms", "300", 10, 30000, "",
     "Timeout for opening a connection to a backend server."},
    {"stall_ms", FieldType::Integer, "ms", "2000", 50, 60000, "",
     "Time without a frame after which a stream is resumed over a new "
     "connection."},
    {"max_attempts", FieldType::Integer, "", "3", 1, 10, "",
     "Largest number of submits of one request, including the first."},
    {"max_prompt_tokens", FieldType::Integer, "tokens", "1000000", 1, 4000000,
     "", "Longest prompt that the profile admits."},
    {"max_output_tokens", FieldType::Integer, "tokens", "4096", 1, 1000000, "",
     "Largest number of output tokens that a request may ask for."},
    {"max_body_bytes", FieldType::Integer, "bytes", "1048576", 1, 67108864, "",
     "Largest body of a plain service call."},
    {"priority", FieldType::Integer, "", "5", 0, 9, "",
     "Priority at the engine, raised for short prompts and lowered for long "
     "ones; 9 runs first."},
    {"repeatable", FieldType::Boolean, "", "true", 0, 0, "",
     "Whether a request whose outcome is unknown may be run again."},
    {"routing", FieldType::Choice, "", "\"predicted_first_token\"", 0, 0,
     "predicted_first_token,least_in_flight,two_choices,round_robin,random",
     "Policy that chooses a backend server."},
    {"delay_weight_percent", FieldType::Integer, "%", "30", 0, 100, "",
     "Weight of the delay that a request adds to longer prompts, relative to "
     "its own wait; a higher value favours the first token of long prompts."},
    {"workspaces", FieldType::TextList, "", "[]", 0, 0, "",
     "Workspaces that may use the profile; empty allows all."},
}};

leaf::error_id invalidField(std::string_view key, std::string reason) {
  return leaf::new_error(
      fields::FieldError{std::string(key), std::move(reason)});
}

} // namespace

const fields::FieldTable &profileFields() {
  static const fields::FieldTable table(Specs);
  return table;
}

ProfileKind Profile::kind() const {
  return Values.text("kind") == "service" ? ProfileKind::Service
                                          : ProfileKind::Completion;
}

absl::Duration Profile::deadline() const {
  return absl::Milliseconds(Values.integer("deadline_ms"));
}

absl::Duration Profile::stallTimeout() const {
  return absl::Milliseconds(Values.integer("stall_ms"));
}

absl::Duration Profile::connectTimeout() const {
  return absl::Milliseconds(Values.integer("connect_ms"));
}

absl::Duration Profile::queueTimeout() const {
  return absl::Milliseconds(Values.integer("queue_ms"));
}

int64_t Profile::maxAttempts() const { return Values.integer("max_attempts"); }

int64_t Profile::maxPromptTokens() const {
  return Values.integer("max_prompt_tokens");
}

int64_t Profile::maxOutputTokens() const {
  return Values.integer("max_output_tokens");
}

int64_t Profile::priority() const { return Values.integer("priority"); }

double Profile::delayWeight() const {
  constexpr double Percent = 0.01;
  return Percent * static_cast<double>(Values.integer("delay_weight_percent"));
}

bool Profile::repeatable() const { return Values.flag("repeatable"); }

const std::string &Profile::model() const { return Values.text("model"); }

const std::string &Profile::service() const { return Values.text("service"); }

const std::string &Profile::routing() const { return Values.text("routing"); }

bool Profile::allowsWorkspace(std::string_view workspace) const {
  const std::vector<std::string> &allowed = Values.list("workspaces");
  return allowed.empty() || absl::c_linear_search(allowed, workspace);
}

std::string Profile::rule(std::string_view field) const {
  return fmt::format("profile {} revision {} {}", Name, Revision, field);
}

std::string Profile::entityTag() const {
  return fmt::format("\"{}\"", Revision);
}

nlohmann::json Profile::toJson() const {
  return {{"name", Name},
          {"revision", Revision},
          {"retired", Retired},
          {"fields", Values.toJson()}};
}

leaf::result<Profile> Profile::fromJson(const nlohmann::json &object) {
  if (!object.is_object() || !object.contains("fields") ||
      !object.contains("name") || !object.contains("revision"))
    return invalidField("",
                        "expected an object with name, revision and fields");
  Profile profile;
  BOOST_LEAF_ASSIGN(profile.Values, profileFields().read(object["fields"]));
  profile.Name = object["name"].get<std::string>();
  profile.Revision = object["revision"].get<uint64_t>();
  profile.Retired = object.value("retired", false);
  return profile;
}

bool isValidProfileName(std::string_view name) {
  if (name.empty() || name.size() > MaxNameLength)
    return false;
  if (!absl::ascii_islower(static_cast<unsigned char>(name.front())))
    return false;
  return absl::c_all_of(name, [](unsigned char it) {
    return absl::ascii_islower(it) || absl::ascii_isdigit(it) || it == '-' ||
           it == '_';
  });
}

leaf::result<void> checkConsistency(const fields::FieldValues &values) {
  const int64_t deadline = values.integer("deadline_ms");
  for (std::string_view key : {"queue_ms", "connect_ms", "stall_ms"})
    if (values.integer(key) > deadline)
      return invalidField(key, "expected at most deadline_ms, which is " +
                                   std::to_string(deadline));
  const bool isService = values.text("kind") == "service";
  if (isService && values.text("service").empty())
    return invalidField("service", "required when kind is service");
  if (!isService && !values.text("service").empty())
    return invalidField("service", "allowed only when kind is service");
  return {};
}

} // namespace orioletally::core::profiles

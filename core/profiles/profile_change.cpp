#include "core/profiles/profile_change.h"

#include <array>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::core::profiles {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 3> KindNames = {"create", "change",
                                                       "retire"};

ChangeKind kindFromName(const std::string &name) {
  for (size_t n = 0; n < KindNames.size(); ++n)
    if (KindNames[n] == name)
      return static_cast<ChangeKind>(n);
  return ChangeKind::Change;
}

} // namespace

std::string_view changeKindName(ChangeKind kind) {
  return KindNames[static_cast<size_t>(kind)];
}

leaf::result<json> fieldsOfBody(const json &body, std::string_view name,
                                uint64_t revision) {
  if (!body.is_object() || !body.contains("fields"))
    return body;
  const auto invalidField = [](std::string key, std::string reason) {
    return leaf::new_error(
        fields::FieldError{std::move(key), std::move(reason)});
  };
  for (const auto &[key, value] : body.items())
    if (key != "name" && key != "revision" && key != "retired" &&
        key != "fields")
      return invalidField(key, "unknown key next to fields");
  if (body.contains("name") && body["name"] != json(name))
    return invalidField("name", "expected the name in the path");
  const bool isOther = revision != 0 && body.contains("revision") &&
                       body["revision"] != json(revision);
  if (isOther)
    return invalidField("revision", "expected the revision in If-Match");
  if (body.contains("retired") && body["retired"] != json(false))
    return invalidField("retired",
                        "expected false; use DELETE to retire a profile");
  return body["fields"];
}

json AuditRecord::toJson() const {
  json rows = json::array();
  for (const FieldDifference &it : Differences)
    rows.push_back(
        {{"field", it.Key}, {"before", it.Before}, {"after", it.After}});
  return {{"revision", Revision},        {"kind", changeKindName(Kind)},
          {"operator", Origin.Operator}, {"source", Origin.Source},
          {"node", Origin.Node},         {"at", Origin.At},
          {"change_id", ChangeId},       {"differences", rows},
          {"findings", Findings},        {"profile", After.toJson()}};
}

leaf::result<AuditRecord> AuditRecord::fromJson(const json &from) {
  if (!from.is_object() || !from.contains("profile"))
    return leaf::new_error(
        fields::FieldError{"", "expected an audit record with a profile"});
  AuditRecord record;
  record.Revision = from.value("revision", uint64_t{0});
  record.Kind = kindFromName(from.value("kind", std::string()));
  record.Origin.Operator = from.value("operator", std::string());
  record.Origin.Source = from.value("source", std::string());
  record.Origin.Node = from.value("node", std::string());
  record.Origin.At = from.value("at", std::string());
  record.ChangeId = from.value("change_id", std::string());
  record.Findings = from.value("findings", std::vector<std::string>());
  for (const json &it : from.value("differences", json::array()))
    record.Differences.push_back(
        {it.value("field", std::string()), it["before"], it["after"]});
  BOOST_LEAF_ASSIGN(record.After, Profile::fromJson(from["profile"]));
  return record;
}

std::vector<FieldDifference> differences(const fields::FieldValues *before,
                                         const fields::FieldValues &after) {
  const json old = before == nullptr ? json::object() : before->toJson();
  const json current = after.toJson();
  std::vector<FieldDifference> result;
  for (const auto &[key, value] : current.items()) {
    const json previous = old.contains(key) ? old[key] : json(nullptr);
    if (previous != value)
      result.push_back({key, previous, value});
  }
  return result;
}

} // namespace orioletally::core::profiles

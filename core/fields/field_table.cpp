#include "core/fields/field_table.h"

#include <fmt/format.h>
#include <utility>
#include <xxhash.h>

namespace leaf = boost::leaf;

namespace orioletally::core::fields {

namespace {

std::string_view typeName(FieldType type) {
  switch (type) {
  case FieldType::Integer:
    return "integer";
  case FieldType::Real:
    return "number";
  case FieldType::Boolean:
    return "boolean";
  case FieldType::Text:
    return "text";
  case FieldType::TextList:
    return "list of text";
  case FieldType::Choice:
    return "choice";
  }
  return "?";
}

std::string rangeText(const FieldSpec &spec) {
  if (spec.Type == FieldType::Choice)
    return fmt::format("one of {}", spec.Choices);
  if (spec.Type == FieldType::Integer || spec.Type == FieldType::Real)
    return fmt::format("{} to {}", spec.Min, spec.Max);
  if (spec.Type == FieldType::Text)
    return fmt::format("{} to {} characters", spec.Min, spec.Max);
  return "";
}

leaf::error_id invalidValue(const FieldSpec &spec) {
  std::string reason = fmt::format("expected {}", typeName(spec.Type));
  const std::string range = rangeText(spec);
  if (!range.empty())
    reason += fmt::format(", {}", range);
  if (!spec.Unit.empty())
    reason += fmt::format(" ({})", spec.Unit);
  return leaf::new_error(FieldError{std::string(spec.Key), reason});
}

leaf::result<FieldValue> readInteger(const FieldSpec &spec,
                                     const nlohmann::json &value) {
  if (!value.is_number_integer())
    return invalidValue(spec);
  // An unsigned value above INT64_MAX would wrap in the conversion.
  if (value.is_number_unsigned() &&
      value.get<uint64_t>() > static_cast<uint64_t>(INT64_MAX))
    return invalidValue(spec);
  const auto n = value.get<int64_t>();
  if (n < spec.Min || n > spec.Max)
    return invalidValue(spec);
  return FieldValue(n);
}

leaf::result<FieldValue> readReal(const FieldSpec &spec,
                                  const nlohmann::json &value) {
  if (!value.is_number())
    return invalidValue(spec);
  const auto n = value.get<double>();
  if (n < static_cast<double>(spec.Min) || n > static_cast<double>(spec.Max))
    return invalidValue(spec);
  return FieldValue(n);
}

/// Returns whether \p word is one of the comma-separated \p choices.
bool isChoice(std::string_view choices, std::string_view word) {
  while (!choices.empty()) {
    const size_t n = choices.find(',');
    if (choices.substr(0, n) == word)
      return true;
    choices.remove_prefix(n == std::string_view::npos ? choices.size() : n + 1);
  }
  return false;
}

leaf::result<FieldValue> readText(const FieldSpec &spec,
                                  const nlohmann::json &value) {
  if (!value.is_string())
    return invalidValue(spec);
  auto text = value.get<std::string>();
  if (spec.Type == FieldType::Choice) {
    if (!isChoice(spec.Choices, text))
      return invalidValue(spec);
    return FieldValue(std::move(text));
  }
  const auto n = static_cast<int64_t>(text.size());
  if (n < spec.Min || n > spec.Max)
    return invalidValue(spec);
  return FieldValue(std::move(text));
}

leaf::result<FieldValue> readList(const FieldSpec &spec,
                                  const nlohmann::json &value) {
  if (!value.is_array())
    return invalidValue(spec);
  std::vector<std::string> items;
  for (const nlohmann::json &it : value) {
    if (!it.is_string())
      return invalidValue(spec);
    items.push_back(it.get<std::string>());
  }
  return FieldValue(std::move(items));
}

leaf::result<FieldValue> readValue(const FieldSpec &spec,
                                   const nlohmann::json &value) {
  switch (spec.Type) {
  case FieldType::Integer:
    return readInteger(spec, value);
  case FieldType::Real:
    return readReal(spec, value);
  case FieldType::Boolean:
    if (!value.is_boolean())
      return invalidValue(spec);
    return FieldValue(value.get<bool>());
  case FieldType::Text:
  case FieldType::Choice:
    return readText(spec, value);
  case FieldType::TextList:
    return readList(spec, value);
  }
  return invalidValue(spec);
}

} // namespace

const FieldValue &FieldValues::at(std::string_view key) const {
  return Values.find(key)->second;
}

int64_t FieldValues::integer(std::string_view key) const {
  return std::get<int64_t>(at(key));
}

double FieldValues::real(std::string_view key) const {
  return std::get<double>(at(key));
}

bool FieldValues::flag(std::string_view key) const {
  return std::get<bool>(at(key));
}

const std::string &FieldValues::text(std::string_view key) const {
  return std::get<std::string>(at(key));
}

const std::vector<std::string> &FieldValues::list(std::string_view key) const {
  return std::get<std::vector<std::string>>(at(key));
}

void FieldValues::set(std::string_view key, FieldValue value) {
  Values.insert_or_assign(std::string(key), std::move(value));
}

nlohmann::json FieldValues::toJson() const {
  nlohmann::json object = nlohmann::json::object();
  for (const auto &[key, value] : Values)
    std::visit([&, &name = key](const auto &it) { object[name] = it; }, value);
  return object;
}

std::vector<std::string>
FieldValues::changedFrom(const FieldValues &other) const {
  std::vector<std::string> keys;
  for (const auto &[key, value] : Values)
    if (other.at(key) != value)
      keys.push_back(key);
  return keys;
}

uint64_t FieldValues::hash() const {
  const std::string text = toJson().dump();
  return XXH3_64bits(text.data(), text.size());
}

FieldTable::FieldTable(absl::Span<const FieldSpec> rows) : Specs(rows) {}

const FieldSpec *FieldTable::find(std::string_view key) const {
  for (const FieldSpec &it : Specs)
    if (it.Key == key)
      return &it;
  return nullptr;
}

leaf::result<FieldValues> FieldTable::read(const nlohmann::json &object) const {
  if (!object.is_object())
    return leaf::new_error(FieldError{"", "expected an object of fields"});
  FieldValues values;
  for (const auto &[key, value] : object.items()) {
    const FieldSpec *spec = find(key);
    if (spec == nullptr)
      return leaf::new_error(FieldError{key, "unknown key"});
    BOOST_LEAF_AUTO(parsed, readValue(*spec, value));
    values.set(key, std::move(parsed));
  }
  for (const FieldSpec &it : Specs) {
    if (object.contains(it.Key))
      continue;
    if (it.Default.empty())
      return leaf::new_error(
          FieldError{std::string(it.Key), "required key is missing"});
    BOOST_LEAF_AUTO(parsed, readValue(it, nlohmann::json::parse(it.Default)));
    values.set(it.Key, std::move(parsed));
  }
  return values;
}

uint64_t FieldTable::hash() const {
  std::string text;
  for (const FieldSpec &it : Specs)
    text += fmt::format("{} {} {} {} {}\n", it.Key, typeName(it.Type), it.Min,
                        it.Max, it.Choices);
  return XXH3_64bits(text.data(), text.size());
}

std::string FieldTable::markdown() const {
  std::string out = "| key | type | unit | default | range | meaning |\n"
                    "| --- | --- | --- | --- | --- | --- |\n";
  for (const FieldSpec &it : Specs)
    out += fmt::format("| `{}` | {} | {} | {} | {} | {} |\n", it.Key,
                       typeName(it.Type), it.Unit,
                       it.Default.empty() ? std::string("required")
                                          : fmt::format("`{}`", it.Default),
                       rangeText(it), it.Doc);
  return out;
}

} // namespace orioletally::core::fields

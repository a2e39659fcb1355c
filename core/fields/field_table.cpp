#include "core/fields/field_table.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <optional>
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

std::string expectationText(const FieldSpec &spec) {
  std::string reason = fmt::format("expected {}", typeName(spec.Type));
  const std::string range = rangeText(spec);
  if (!range.empty())
    reason += fmt::format(", {}", range);
  if (!spec.Unit.empty())
    reason += fmt::format(" ({})", spec.Unit);
  return reason;
}

leaf::error_id invalidValue(const FieldSpec &spec) {
  return leaf::new_error(
      FieldError{std::string(spec.Key), expectationText(spec)});
}

leaf::error_id missingKey(const FieldSpec &spec) {
  return leaf::new_error(
      FieldError{std::string(spec.Key), "required key is missing"});
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
  const bool isInRange =
      n >= static_cast<double>(spec.Min) && n <= static_cast<double>(spec.Max);
  // NaN isn't in any range.
  if (!isInRange)
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

/// Returns the number for \p spec that is nearest to \p value; empty if
/// \p value isn't a finite number or the field has no number.
std::optional<FieldValue> nearestNumber(const FieldSpec &spec,
                                        const nlohmann::json &value) {
  const bool isNumber =
      spec.Type == FieldType::Integer || spec.Type == FieldType::Real;
  if (!isNumber || !value.is_number() || !std::isfinite(value.get<double>()))
    return std::nullopt;
  const double n =
      std::clamp(value.get<double>(), static_cast<double>(spec.Min),
                 static_cast<double>(spec.Max));
  if (spec.Type == FieldType::Real)
    return FieldValue(n);
  return FieldValue(static_cast<int64_t>(std::floor(n)));
}

bool isSameNumber(const nlohmann::json &value, const FieldValue &used) {
  if (const auto *n = std::get_if<int64_t>(&used))
    return value.get<double>() == static_cast<double>(*n);
  return value.get<double>() == std::get<double>(used);
}

std::string valueText(const FieldValue &value) {
  return std::visit([](const auto &it) { return nlohmann::json(it).dump(); },
                    value);
}

leaf::result<FieldValue> defaultOf(const FieldSpec &spec) {
  if (spec.Default.empty())
    return missingKey(spec);
  return readValue(spec, nlohmann::json::parse(spec.Default));
}

/// Returns \p given if it is valid, or what replaces it; then adds the reason
/// to \p rejected.
leaf::result<FieldValue> usableValue(const FieldSpec &spec,
                                     const nlohmann::json &given,
                                     const FieldValues *known,
                                     std::vector<FieldError> &rejected) {
  std::optional<FieldValue> used = nearestNumber(spec, given);
  if (used.has_value() && isSameNumber(given, *used))
    return *used;
  const leaf::result<FieldValue> valid = readValue(spec, given);
  if (valid)
    return *valid;
  if (!used.has_value() && known != nullptr) {
    const FieldValue *const before = known->find(spec.Key);
    if (before != nullptr)
      used = *before;
  }
  if (!used.has_value()) {
    BOOST_LEAF_ASSIGN(used, defaultOf(spec));
  }
  rejected.push_back(
      {std::string(spec.Key),
       fmt::format("{}; {} is used", expectationText(spec), valueText(*used))});
  return *used;
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

const FieldValue *FieldValues::find(std::string_view key) const {
  const auto it = Values.find(key);
  return it == Values.end() ? nullptr : &it->second;
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
    BOOST_LEAF_AUTO(value, defaultOf(it));
    values.set(it.Key, std::move(value));
  }
  return values;
}

leaf::result<TolerantFields>
FieldTable::readTolerantly(const nlohmann::json &object,
                           const FieldValues *known) const {
  if (!object.is_object())
    return leaf::new_error(FieldError{"", "expected an object of fields"});
  TolerantFields result;
  for (const auto &[key, value] : object.items())
    if (find(key) == nullptr)
      result.Rejected.push_back({key, "unknown key, ignored"});
  for (const FieldSpec &it : Specs) {
    if (!object.contains(it.Key)) {
      BOOST_LEAF_AUTO(value, defaultOf(it));
      result.Values.set(it.Key, std::move(value));
      continue;
    }
    const nlohmann::json &given = object.at(std::string(it.Key));
    BOOST_LEAF_AUTO(value, usableValue(it, given, known, result.Rejected));
    result.Values.set(it.Key, std::move(value));
  }
  return result;
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

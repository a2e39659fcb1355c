#include "main/toml_json.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fmt/format.h>
#include <toml++/toml.h>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::main {

namespace {

using nlohmann::json;

json scalar(const toml::node &node) {
  if (const auto it = node.value_exact<bool>())
    return *it;
  if (const auto it = node.value_exact<int64_t>())
    return *it;
  if (const auto it = node.value_exact<std::string>())
    return *it;
  if (const auto it = node.value_exact<double>())
    return *it;
  return nullptr;
}

json valueOf(const toml::node &node) {
  const toml::array *items = node.as_array();
  if (items == nullptr)
    return scalar(node);
  json result = json::array();
  for (const toml::node &it : *items)
    result.push_back(scalar(it));
  return result;
}

/// Adds the values of \p table and its inner tables to \p flat, each with its
/// line and its full key, such as "http.port".
void flatten(const toml::table &table, const std::string &prefix,
             FlatToml &flat) {
  for (const auto &[key, node] : table) {
    const std::string name = fmt::format("{}{}", prefix, key.str());
    const toml::table *inner = node.as_table();
    // "key = {}" gives the key a value, unlike an empty section.
    const bool isSection =
        inner != nullptr && !(inner->is_inline() && inner->empty());
    if (isSection) {
      flatten(*inner, name + ".", flat);
      continue;
    }
    flat.Object[name] = valueOf(node);
    flat.Lines.push_back({name, static_cast<int>(key.source().begin.line)});
  }
}

} // namespace

int FlatToml::lineOf(std::string_view key) const {
  for (const KeyLine &it : Lines)
    if (it.Key == key)
      return it.Line;
  return 0;
}

FlatToml flattenReadableToml(std::string_view text) {
  std::vector<std::string> lines = absl::StrSplit(std::string(text), '\n');
  std::vector<TomlError> errors;
  for (;;) {
    const auto failed = [&](const TomlError &ec) {
      errors.push_back(ec);
      return FlatToml();
    };
    const size_t known = errors.size();
    FlatToml flat = leaf::try_handle_all(
        [&] { return flattenToml(absl::StrJoin(lines, "\n")); }, failed,
        [&] {
          return failed({0, "unexpected failure"});
        });
    const bool isParsed = errors.size() == known;
    const size_t line =
        isParsed ? 0 : static_cast<size_t>(std::max(0, errors.back().Line));
    // Each round leaves out one more line.
    if (line == 0 || line > lines.size() || lines[line - 1].empty()) {
      flat.Errors = std::move(errors);
      return flat;
    }
    lines[line - 1].clear();
  }
}

leaf::result<FlatToml> flattenToml(std::string_view text) {
  FlatToml flat;
  try {
    const toml::table parsed = toml::parse(text);
    flatten(parsed, "", flat);
  } catch (const toml::parse_error &ec) {
    return leaf::new_error(TomlError{static_cast<int>(ec.source().begin.line),
                                     std::string(ec.description())});
  }
  return flat;
}

} // namespace orioletally::main
